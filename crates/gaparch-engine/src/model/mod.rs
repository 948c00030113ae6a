//! The model of an engine: slots, waiting places, memory, steps of work, and faults.
//!
//! Work goes in steps. In a step a reader reads so many prompt tokens, first come first; a writer adds one
//! token to each answer in work, and the more there are the longer the step takes. A write waits for a slot
//! and memory, fetches its state, and streams. When memory runs out the newest answer goes back to the queue
//! and is read anew. What is kept of earlier prompts is not counted against the memory.

mod cold;
mod kept;
mod work;

use crate::fault::Fault;
use crate::observe::Note;
use crate::spec::EngineSpec;
use cold::Cold;
use gaparch_protocol::engine::{
    AttemptKey, EngineFacts, EngineFrame, Job, KvCacheKey, KvCacheLocation, KvCacheUnavailable, Peer,
    RouterRun, VERSION,
};
use gaparch_scheduler::api::{AttemptStatus, LoadReport, Nanos, Role};
use kept::KeptTexts;
use std::collections::{BTreeMap, VecDeque};
use work::{answer_length, answer_word, prompt_tokens, Work, WorkKind};

/// A connection to this engine, from a router or from another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Names a fetch that this engine has asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FetchId(pub u64);

/// What happens to an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    Frame {
        conn: ConnId,
        frame: EngineFrame,
    },
    Closed {
        conn: ConnId,
    },
    /// A fetch has ended: the state's tokens, or none.
    Fetched {
        fetch: FetchId,
        tokens: Option<u32>,
    },
    Fault(Fault),
    /// Time has come to [`Model::next_at`].
    Time,
}

/// What an engine does.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        conn: ConnId,
        frame: EngineFrame,
    },
    /// Close a connection whose peer broke the protocol.
    Close {
        conn: ConnId,
        reason: String,
    },
    /// Get a state from another engine.
    Fetch {
        fetch: FetchId,
        from: KvCacheLocation,
        state: KvCacheKey,
    },
    /// The process is gone: every connection breaks.
    Die,
    Note(Note),
}

/// States and places that one router run may have here.
const MOST_STATES: usize = 100_000;

#[derive(Clone, Debug)]
struct State {
    conn: ConnId,
    tokens: u32,
    /// Tokens of memory that it takes.
    memory: u64,
    prompt: String,
}

/// A place held ahead, and the state once it is here.
#[derive(Clone, Debug)]
struct Place {
    conn: ConnId,
    tokens: u32,
    fetch: Option<FetchId>,
}

/// A state on its way out.
#[derive(Clone, Debug)]
struct Transfer {
    conn: ConnId,
    state: KvCacheKey,
}

#[derive(Clone, Debug, Default)]
struct Troubles {
    paused: bool,
    slow: f64,
    errors: f64,
    /// Errors owed by the share above: no randomness.
    errors_due: f64,
    full_to_class: Option<u16>,
    full_to_tenant: Option<u16>,
    silent_to_class: Option<u16>,
    slow_moves: f64,
    late_reports: Nanos,
    draining_until: Option<Nanos>,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Model {
    spec: EngineSpec,
    facts: EngineFacts,
    alive: bool,
    conns: BTreeMap<ConnId, Option<Peer>>,
    queue: VecDeque<Work>,
    active: Vec<Work>,
    states: BTreeMap<KvCacheKey, State>,
    places: BTreeMap<KvCacheKey, Place>,
    fetches: BTreeMap<FetchId, KvCacheKey>,
    /// Fetches by others of states that are still being read.
    parked: BTreeMap<KvCacheKey, ConnId>,
    transfers: BTreeMap<(Nanos, u64), Transfer>,
    port_free_at: Nanos,
    kept: KeptTexts,
    /// Tokens of memory in use.
    held: u64,
    step_at: Option<Nanos>,
    cold: Cold,
    troubles: Troubles,
    reports: VecDeque<(Nanos, LoadReport)>,
    next: u64,
}

impl Model {
    /// An engine that starts now. `started_at` is what it says of that, in nanoseconds since the Unix epoch.
    pub fn new(spec: EngineSpec, now: Nanos, started_at: u64) -> Model {
        Model {
            facts: spec.facts(started_at),
            alive: true,
            conns: BTreeMap::new(),
            queue: VecDeque::new(),
            active: Vec::new(),
            states: BTreeMap::new(),
            places: BTreeMap::new(),
            fetches: BTreeMap::new(),
            parked: BTreeMap::new(),
            transfers: BTreeMap::new(),
            port_free_at: now,
            kept: KeptTexts::new(spec.kept_texts),
            held: 0,
            step_at: None,
            cold: Cold::new(now),
            troubles: Troubles { slow: 1.0, slow_moves: 1.0, ..Troubles::default() },
            reports: VecDeque::new(),
            next: 0,
            spec,
        }
    }

    /// A warm engine: one that started long ago.
    pub fn warm(spec: EngineSpec, now: Nanos, started_at: u64) -> Model {
        let cold = Cold::new(now.saturating_sub(spec.cold));
        Model { cold, ..Model::new(spec, now, started_at) }
    }

    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// What it says of itself.
    pub fn facts(&self) -> &EngineFacts {
        &self.facts
    }

    /// Whether its process runs.
    pub fn alive(&self) -> bool {
        self.alive
    }

    /// Tokens of memory in use.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// States that wait here and places held ahead.
    pub fn pinned(&self) -> usize {
        self.states.len() + self.places.len()
    }

    /// When it has something to do by itself.
    pub fn next_at(&self) -> Option<Nanos> {
        let transfer = self.transfers.keys().next().map(|(at, _)| *at);
        let step = self.step_at.filter(|_| !self.troubles.paused);
        let due = [transfer, step, self.troubles.draining_until].into_iter().flatten().min();
        due.filter(|_| self.alive)
    }

    /// Takes one input at a time that never goes back.
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        if !self.alive {
            return;
        }
        match input {
            Input::Frame { conn, frame } => self.on_frame(now, conn, frame, out),
            Input::Closed { conn } => self.on_closed(conn, out),
            Input::Fetched { fetch, tokens } => self.on_fetched(now, fetch, tokens, out),
            Input::Fault(fault) => self.on_fault(now, fault, out),
            Input::Time => self.on_time(now, out),
        }
        self.start_steps(now);
    }

    fn on_frame(&mut self, now: Nanos, conn: ConnId, frame: EngineFrame, out: &mut Vec<Output>) {
        if let EngineFrame::Hello { version, peer } = frame {
            return self.on_hello(conn, version, peer, out);
        }
        let Some(peer) = self.conns.get(&conn).cloned().flatten() else {
            return refuse(conn, "a frame before the hello", out);
        };
        match (peer, frame) {
            (Peer::Router { run, .. }, frame) => self.on_router_frame(now, conn, run, frame, out),
            (Peer::Engine(facts), EngineFrame::Fetch { kv_cache: state }) => {
                self.on_fetch(now, conn, &facts, state, out)
            }
            (_, EngineFrame::Bye { .. }) => {}
            _ => refuse(conn, "a frame that an engine does not send", out),
        }
    }

    fn on_hello(&mut self, conn: ConnId, version: u16, peer: Peer, out: &mut Vec<Output>) {
        if self.conns.contains_key(&conn) {
            return refuse(conn, "a second hello", out);
        }
        if version != VERSION {
            return refuse(conn, &format!("version {version} is not spoken here, {VERSION} is"), out);
        }
        if let Peer::Router { run, .. } = &peer {
            out.push(Output::Note(Note::Router { conn, run: *run }));
        }
        self.conns.insert(conn, Some(peer));
        let hello = EngineFrame::Hello { version: VERSION, peer: Peer::Engine(self.facts.clone()) };
        out.push(Output::Send { conn, frame: hello });
    }

    fn on_router_frame(
        &mut self,
        now: Nanos,
        conn: ConnId,
        run: RouterRun,
        frame: EngineFrame,
        out: &mut Vec<Output>,
    ) {
        match frame {
            EngineFrame::Prefill(job) => self.on_job(now, conn, run, job, WorkKind::Read, out),
            EngineFrame::Decode { job, kv_cache: state } => {
                self.on_job(now, conn, run, job, WorkKind::Write { state }, out);
            }
            EngineFrame::Cancel(key) => self.on_cancel(now, conn, key, out),
            EngineFrame::Reserve { job, from } => self.on_reserve(conn, run, &job, from, out),
            EngineFrame::Release { request } => {
                self.release(KvCacheKey { router: run, request }, out);
                self.admit(now, out);
            }
            EngineFrame::Probe { nonce } => {
                let work = Work::probe(conn, run, nonce, self.number());
                self.queue.push_back(work);
                self.admit(now, out);
            }
            EngineFrame::Bye { .. } => {}
            _ => refuse(conn, "a frame that a router does not send", out),
        }
    }

    fn on_job(
        &mut self,
        now: Nanos,
        conn: ConnId,
        run: RouterRun,
        job: Job,
        kind: WorkKind,
        out: &mut Vec<Output>,
    ) {
        let key = job.key;
        let tokens = prompt_tokens(&job);
        let length = answer_length(&job);
        let read = matches!(kind, WorkKind::Read);
        let seconds = if read {
            self.spec.read_work(f64::from(tokens))
        } else {
            self.spec.answer_work(f64::from(length))
        };
        out.push(Output::Note(Note::Work { seconds }));
        if self.cold.push(now, seconds, &self.spec) {
            out.push(Output::Note(Note::Fell));
            return self.die(out);
        }
        self.troubles.errors_due += self.troubles.errors;
        if self.troubles.errors_due >= 1.0 {
            self.troubles.errors_due -= 1.0;
            return self.end(conn, key, AttemptStatus::Error, 0, 0, out);
        }
        let class = self.troubles.full_to_class == Some(job.class);
        let tenant = job.tenant.is_some() && self.troubles.full_to_tenant == job.tenant;
        let wrong_role = match self.spec.role {
            Role::Prefill => !read,
            Role::Decode => read,
            Role::Mixed => false,
        };
        let draining = self.troubles.draining_until.is_some();
        if self.troubles.silent_to_class == Some(job.class) {
            return;
        }
        if class || tenant || wrong_role || draining || self.queue.len() >= self.spec.queue {
            return self.end(conn, key, AttemptStatus::Rejected, 0, 0, out);
        }
        let place = KvCacheKey { router: run, request: key.request };
        let no_state = matches!(kind, WorkKind::Write { state: None }) && !self.places.contains_key(&place);
        let reads_itself = self.spec.role == Role::Mixed || self.spec.self_prefill;
        if !read && no_state && !reads_itself {
            return self.end(conn, key, AttemptStatus::Rejected, 1, 0, out);
        }
        let work = Work::new(conn, run, job, kind, tokens, length, now, self.number());
        self.queue.push_back(work);
        self.admit(now, out);
    }

    fn on_cancel(&mut self, now: Nanos, conn: ConnId, key: AttemptKey, out: &mut Vec<Output>) {
        let is_it = |w: &Work| w.conn == conn && w.key() == Some(key);
        if let Some(at) = self.queue.iter().position(is_it) {
            self.queue.remove(at);
        } else if let Some(at) = self.active.iter().position(is_it) {
            let work = self.active.remove(at);
            self.held -= work.memory;
        } else {
            return;
        }
        self.end(conn, key, AttemptStatus::Cancelled, 0, 0, out);
        self.admit(now, out);
    }

    fn on_reserve(
        &mut self,
        conn: ConnId,
        run: RouterRun,
        job: &Job,
        from: KvCacheLocation,
        out: &mut Vec<Output>,
    ) {
        let state = KvCacheKey { router: run, request: job.key.request };
        let tokens = prompt_tokens(job);
        let fits = self.held + u64::from(tokens) <= self.spec.memory;
        let free = self.queue.is_empty() && self.active.len() + self.places.len() < self.spec.slots;
        let held = fits && free && self.spec.role != Role::Prefill && !self.places.contains_key(&state);
        if held {
            self.held += u64::from(tokens);
            let fetch = FetchId(self.number());
            self.fetches.insert(fetch, state);
            self.places.insert(state, Place { conn, tokens, fetch: Some(fetch) });
            out.push(Output::Note(Note::PlaceHeld { run, request: state.request, held: true }));
            out.push(Output::Fetch { fetch, from, state });
        }
        out.push(Output::Send { conn, frame: EngineFrame::Reserved { key: job.key, reserved: held } });
    }

    /// Another engine wants a state: it leaves through the port, one after the other.
    fn on_fetch(
        &mut self,
        now: Nanos,
        conn: ConnId,
        peer: &EngineFacts,
        key: KvCacheKey,
        out: &mut Vec<Output>,
    ) {
        let reading = |w: &Work| w.run == key.router && w.key().is_some_and(|k| k.request == key.request);
        let Some(state) = self.states.get(&key) else {
            let being_read = self.queue.iter().chain(&self.active).any(reading);
            if being_read && !self.parked.contains_key(&key) {
                self.parked.insert(key, conn);
                return;
            }
            let why = if being_read { KvCacheUnavailable::NotReady } else { KvCacheUnavailable::Unknown };
            return out.push(Output::Send {
                conn,
                frame: EngineFrame::KvCacheUnavailable { kv_cache: key, reason: why },
            });
        };
        let near = peer.rack == self.spec.rack && peer.zone == self.spec.zone;
        let rate = if near { self.spec.near_rate } else { self.spec.far_rate };
        let seconds = f64::from(state.tokens) / rate.max(1.0) * self.troubles.slow_moves;
        self.port_free_at = self.port_free_at.max(now) + (seconds * 1e9) as Nanos;
        let number = self.number();
        self.transfers.insert((self.port_free_at, number), Transfer { conn, state: key });
    }

    fn on_fetched(&mut self, now: Nanos, fetch: FetchId, tokens: Option<u32>, out: &mut Vec<Output>) {
        let Some(state) = self.fetches.remove(&fetch) else { return };
        if let Some(place) = self.places.get_mut(&state).filter(|p| p.fetch == Some(fetch)) {
            place.fetch = None;
            if tokens.is_none() {
                self.drop_place(state, out);
            }
        }
        let Some(at) = self.active.iter().position(|w| w.fetch == Some(fetch)) else { return };
        match tokens {
            Some(_) => {
                self.active[at].fetch = None;
                self.begin(at, out);
            }
            None => {
                let work = self.active.remove(at);
                self.held -= work.memory;
                if let Some(key) = work.key() {
                    self.end(work.conn, key, AttemptStatus::Rejected, 1, 0, out);
                }
                self.admit(now, out);
            }
        }
    }

    fn on_closed(&mut self, conn: ConnId, out: &mut Vec<Output>) {
        if self.conns.remove(&conn).is_none() {
            return;
        }
        out.push(Output::Note(Note::ConnectionClosed { conn }));
        self.queue.retain(|w| w.conn != conn);
        self.active.retain(|w| {
            self.held -= if w.conn == conn { w.memory } else { 0 };
            w.conn != conn
        });
        self.parked.retain(|_, c| *c != conn);
        let states: Vec<KvCacheKey> =
            self.states.iter().filter(|(_, s)| s.conn == conn).map(|(k, _)| *k).collect();
        let places: Vec<KvCacheKey> =
            self.places.iter().filter(|(_, p)| p.conn == conn).map(|(k, _)| *k).collect();
        states.into_iter().for_each(|key| self.drop_state(key, out));
        places.into_iter().for_each(|key| self.drop_place(key, out));
    }

    fn on_fault(&mut self, now: Nanos, fault: Fault, out: &mut Vec<Output>) {
        let troubles = &mut self.troubles;
        match fault {
            Fault::Stop => {
                for conn in self.conns.keys().copied() {
                    let frame = EngineFrame::Bye { reason: "stopped".to_owned() };
                    out.push(Output::Send { conn, frame });
                }
                self.die(out);
            }
            Fault::Crash => self.die(out),
            Fault::Pause(on) => {
                troubles.paused = on;
                // What stood still goes on where it was.
                self.step_at = self.step_at.map(|at| at.max(now));
            }
            Fault::Slow(factor) => troubles.slow = factor.max(1.0),
            Fault::Errors(share) => (troubles.errors, troubles.errors_due) = (share, 0.0),
            Fault::FullToClass(class) => troubles.full_to_class = class,
            Fault::FullToTenant(tenant) => troubles.full_to_tenant = tenant,
            Fault::SilentToClass(class) => troubles.silent_to_class = class,
            Fault::SlowMoves(factor) => troubles.slow_moves = factor.max(1.0),
            Fault::LateReports(late) => troubles.late_reports = late,
            Fault::Drain(notice) => troubles.draining_until = Some(now.saturating_add(notice)),
            // The link's and the process's own; whoever holds the model does these.
            Fault::CutLink(_) | Fault::SlowLink(_) | Fault::Start => {}
        }
    }

    fn on_time(&mut self, now: Nanos, out: &mut Vec<Output>) {
        if self.troubles.draining_until.is_some_and(|at| at <= now) {
            return self.on_fault(now, Fault::Stop, out);
        }
        while let Some(((at, _), transfer)) = self.transfers.pop_first() {
            if at > now {
                let number = self.number();
                self.transfers.insert((at, number), transfer);
                break;
            }
            self.give(now, &transfer, out);
        }
        if !self.troubles.paused && self.step_at.is_some_and(|at| at <= now) {
            self.step_at = None;
            self.step(now, out);
        }
    }

    fn give(&mut self, now: Nanos, transfer: &Transfer, out: &mut Vec<Output>) {
        let (conn, key) = (transfer.conn, transfer.state);
        let frame = match self.states.get(&key) {
            Some(state) => {
                EngineFrame::KvCache { kv_cache: key, tokens: state.tokens, prompt: state.prompt.clone() }
            }
            None => EngineFrame::KvCacheUnavailable { kv_cache: key, reason: KvCacheUnavailable::Unknown },
        };
        out.push(Output::Send { conn, frame });
        self.drop_state(key, out);
        self.admit(now, out);
    }

    /// One step of work has been done.
    fn step(&mut self, now: Nanos, out: &mut Vec<Output>) {
        let mut budget = self.spec.read_rate * self.spec.step as f64 / 1e9;
        let mut at = 0;
        while at < self.active.len() {
            let work = &mut self.active[at];
            if work.fetch.is_some() {
                at += 1;
                continue;
            }
            if work.unread > 0.0 {
                let read = work.unread.min(budget);
                work.unread -= read;
                budget -= read;
                if work.unread > 0.0 {
                    at += 1;
                    continue;
                }
                if matches!(work.kind, WorkKind::Write { .. }) {
                    self.begin(at, out);
                    at += 1;
                    continue;
                }
            }
            let done = match &self.active[at].kind {
                WorkKind::Read => self.finish_read(now, at, out),
                WorkKind::Probe { .. } => self.finish_probe(now, at, out),
                WorkKind::Write { .. } => self.write_token(now, at, out),
            };
            at += usize::from(!done);
        }
        self.make_room();
        self.admit(now, out);
    }

    fn finish_read(&mut self, now: Nanos, at: usize, out: &mut Vec<Output>) -> bool {
        let work = self.active.remove(at);
        let Some(job) = work.job else { return true };
        let key = KvCacheKey { router: work.run, request: job.key.request };
        for (text, tokens) in [(job.session, work.tokens), (job.prefix, job.prefix_tokens)] {
            text.filter(|_| tokens > 0).into_iter().for_each(|text| self.kept.keep(text, tokens));
        }
        if self.states.len() >= MOST_STATES {
            self.held -= work.memory;
            self.end(work.conn, job.key, AttemptStatus::Rejected, 0, 0, out);
            return true;
        }
        // Read again by the same router: the older state goes.
        self.drop_state(key, out);
        self.states.insert(
            key,
            State { conn: work.conn, tokens: work.tokens, memory: work.memory, prompt: job.prompt },
        );
        out.push(Output::Note(Note::StateHeld { run: work.run, request: key.request, held: true }));
        let frame = EngineFrame::PrefillDone {
            key: job.key,
            cached_prompt_tokens: work.kept,
            prompt_tokens: work.tokens,
            report: self.report(now),
        };
        out.push(Output::Send { conn: work.conn, frame });
        if let Some(conn) = self.parked.remove(&key) {
            if let Some(Some(Peer::Engine(peer))) = self.conns.get(&conn).cloned() {
                self.on_fetch(now, conn, &peer, key, out);
            }
        }
        true
    }

    fn finish_probe(&mut self, now: Nanos, at: usize, out: &mut Vec<Output>) -> bool {
        let work = self.active.remove(at);
        if let WorkKind::Probe { nonce } = work.kind {
            let frame = EngineFrame::Probed { nonce, report: self.report(now) };
            out.push(Output::Send { conn: work.conn, frame });
        }
        true
    }

    fn write_token(&mut self, now: Nanos, at: usize, out: &mut Vec<Output>) -> bool {
        let work = &mut self.active[at];
        let Some(key) = work.key() else { return false };
        let (conn, from) = (work.conn, work.produced);
        work.produced += 1;
        work.memory += 1;
        self.held += 1;
        let text = answer_word(key.request, from);
        out.push(Output::Send {
            conn,
            frame: EngineFrame::Tokens { key, sent_before: from, count: 1, text },
        });
        let (done, produced, kept) = (work.produced >= work.length, work.produced, work.kept);
        if done {
            let work = self.active.remove(at);
            self.held -= work.memory;
            let frame = EngineFrame::Outcome {
                key,
                status: AttemptStatus::Ok,
                note: u64::from(kept),
                produced_tokens: produced,
                report: self.report(now),
            };
            out.push(Output::Send { conn, frame });
        }
        done
    }

    /// An answer begins, or goes on after it was read anew.
    fn begin(&mut self, at: usize, out: &mut Vec<Output>) {
        let work = &mut self.active[at];
        if !std::mem::replace(&mut work.begun, true) {
            if let Some(key) = work.key() {
                out.push(Output::Note(Note::Effect { run: work.run, key }));
            }
        }
    }

    /// Memory ran out: the newest answer goes back and is read anew.
    fn make_room(&mut self) {
        while self.held > self.spec.memory {
            let newest = self.active.iter().enumerate().filter(|(_, w)| w.begun);
            let Some((at, _)) = newest.max_by_key(|(_, w)| w.number) else { return };
            let mut work = self.active.remove(at);
            self.held -= work.memory;
            work.memory = 0;
            work.unread = f64::from(work.tokens) + f64::from(work.produced);
            self.queue.push_front(work);
        }
    }

    /// Waiting work goes in as slots and memory are free, first come first.
    fn admit(&mut self, now: Nanos, out: &mut Vec<Output>) {
        self.drop_impatient(now, out);
        while let Some(work) = self.queue.front() {
            let place = work.key().map(|k| KvCacheKey { router: work.run, request: k.request });
            let writes = matches!(work.kind, WorkKind::Write { .. });
            let place = place.filter(|_| writes).filter(|key| self.places.contains_key(key));
            let need = if place.is_some() { 0 } else { work.need() };
            let slots = self.active.len() + self.places.len() - usize::from(place.is_some());
            // One that is larger than all memory still goes in alone, or it would wait for ever.
            let fits = self.held + need <= self.spec.memory || self.active.is_empty() && self.held == 0;
            if slots >= self.spec.slots || !fits {
                return;
            }
            let Some(work) = self.queue.pop_front() else { return };
            self.take_in(work, place, need, out);
        }
    }

    fn take_in(&mut self, mut work: Work, place: Option<KvCacheKey>, need: u64, out: &mut Vec<Output>) {
        work.memory = need;
        self.held += need;
        let key = work.key();
        if let Some(place) = place.and_then(|key| self.places.remove(&key)) {
            work.memory = u64::from(place.tokens);
            work.fetch = place.fetch;
            let request = key.map_or(0, |k| k.request);
            out.push(Output::Note(Note::PlaceHeld { run: work.run, request, held: false }));
            let begins = work.fetch.is_none();
            self.active.push(work);
            return if begins {
                self.begin(self.active.len() - 1, out)
            };
        }
        match &work.kind {
            WorkKind::Read => {
                let job = work.job.as_ref();
                let found = |text: Option<u64>, kept: &mut KeptTexts| text.map_or(0, |t| kept.find(t));
                let session = found(job.and_then(|j| j.session), &mut self.kept);
                let prefix = found(job.and_then(|j| j.prefix), &mut self.kept);
                work.kept = session.max(prefix).min(work.tokens.saturating_sub(1));
                work.unread = f64::from(work.tokens - work.kept).max(1.0);
            }
            WorkKind::Write { state: Some(from) } if !work.begun => {
                let request = key.map_or(0, |k| k.request);
                let state = KvCacheKey { router: work.run, request };
                let fetch = FetchId(self.number());
                self.fetches.insert(fetch, state);
                work.fetch = Some(fetch);
                out.push(Output::Fetch { fetch, from: from.clone(), state });
            }
            WorkKind::Write { .. } if !work.begun => work.unread = f64::from(work.tokens).max(1.0),
            WorkKind::Write { .. } | WorkKind::Probe { .. } => {}
        }
        self.active.push(work);
    }

    /// Work whose answer is of no use any more.
    fn drop_impatient(&mut self, now: Nanos, out: &mut Vec<Output>) {
        while let Some(at) = self.queue.iter().position(|w| w.until.is_some_and(|until| until <= now)) {
            let Some(work) = self.queue.remove(at) else { return };
            if let Some(key) = work.key() {
                self.end(work.conn, key, AttemptStatus::Timeout, 0, work.produced, out);
            }
        }
    }

    fn start_steps(&mut self, now: Nanos) {
        let busy = self.active.iter().any(|w| w.fetch.is_none());
        if self.step_at.is_none() && busy && self.alive {
            let answers = self.active.iter().filter(|w| w.begun).count() as u64;
            let step = self.spec.step + self.spec.step_per_answer * answers;
            let speed = self.cold.speed(now, &self.spec).max(0.01);
            self.step_at = Some(now + (step as f64 * self.troubles.slow / speed) as Nanos);
        }
    }

    fn end(
        &self,
        conn: ConnId,
        key: AttemptKey,
        status: AttemptStatus,
        note: u64,
        produced: u32,
        out: &mut Vec<Output>,
    ) {
        let report = self.reports.front().map(|(_, report)| *report);
        out.push(Output::Send {
            conn,
            frame: EngineFrame::Outcome { key, status, note, produced_tokens: produced, report },
        });
    }

    fn release(&mut self, key: KvCacheKey, out: &mut Vec<Output>) {
        self.drop_state(key, out);
        self.drop_place(key, out);
    }

    fn drop_state(&mut self, key: KvCacheKey, out: &mut Vec<Output>) {
        if let Some(state) = self.states.remove(&key) {
            self.held -= state.memory;
            out.push(Output::Note(Note::StateHeld { run: key.router, request: key.request, held: false }));
        }
    }

    fn drop_place(&mut self, key: KvCacheKey, out: &mut Vec<Output>) {
        if let Some(place) = self.places.remove(&key) {
            self.held -= u64::from(place.tokens);
            out.push(Output::Note(Note::PlaceHeld { run: key.router, request: key.request, held: false }));
        }
    }

    fn die(&mut self, out: &mut Vec<Output>) {
        self.alive = false;
        out.push(Output::Note(Note::Ended));
        out.push(Output::Die);
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// The load report: made anew now and then, and told late while that trouble lasts.
    fn report(&mut self, now: Nanos) -> Option<LoadReport> {
        let last = self.reports.back().map(|(at, _)| *at);
        if last.is_none_or(|at| now >= at + self.spec.report_every) {
            let waiting = self.queue.iter().filter(|w| w.job.is_some());
            let unread: f64 = self.active.iter().map(|w| w.unread).sum::<f64>()
                + waiting.clone().map(|w| f64::from(w.tokens)).sum::<f64>();
            let queue = waiting.count() as f64;
            let report = LoadReport {
                in_flight: Some(self.active.len() as f64 + queue + self.states.len() as f64),
                queued: Some(queue),
                slot_utilization: Some(self.active.len() as f64 / self.spec.slots.max(1) as f64),
                memory_utilization: Some(self.held as f64 / self.spec.memory.max(1) as f64),
                pending_prefill_kilotokens: Some(unread / 1000.0),
            };
            self.reports.push_back((now, report));
        }
        // The newest that is old enough is told; what is older than that is of no use.
        let old_enough = now.saturating_sub(self.troubles.late_reports);
        while self.reports.get(1).is_some_and(|(at, _)| *at <= old_enough) {
            self.reports.pop_front();
        }
        self.reports.front().filter(|(at, _)| *at <= old_enough).map(|(_, report)| *report)
    }
}

fn refuse(conn: ConnId, reason: &str, out: &mut Vec<Output>) {
    out.push(Output::Close { conn, reason: reason.to_owned() });
}
