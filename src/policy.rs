//! Every decision of the router. The interface (settings, events, actions) is in `src/api.rs`,
//! the tables are in `src/state.rs`, the reasons at length in `docs/design.md`.
//!
//! Read it along a request's path: asked -> held while all writers look full -> read at its home reader
//! -> written near that reader -> answered. Then come health, cold servers and the clock.

use crate::api::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

/// How often deadlines, held requests and overdue attempts are looked at.
const TICK: Nanos = 10_000_000;
/// A request that no attempt answers ends this long before its client gives up: two ticks and the way back.
const LAST_CALL: Nanos = 25_000_000;
/// A held state is sent somewhere or let go this share of the release time after its last outcome.
const RELEASE_SHARE: f64 = 0.7;
/// 'Answered full recently', the design's default.
const FULL_FOR: Nanos = 1_000_000_000;
/// A writer looks full from this share of its memory on: answers in progress still grow.
const FULL_SHARE: f64 = 0.92;
/// A writer nearer to the state yields when its share of memory is this much above the least loaded's.
const WRITER_YIELD: f64 = 0.08;
/// Gap between messages on held memory to other routers, where servers report none: some 50 bytes each.
const TELL_EVERY: Nanos = 300_000_000;
/// How long such a message is believed.
const TOLD_FOR: Nanos = 1_500_000_000;
/// That much more for each second that writes out of the cell take longer to begin: its link is slow.
const MOVE_YIELD: f64 = 0.5;
/// Home yields when the wait there, in tokens to read, is this much above the least loaded's.
const READER_YIELD: f64 = 3000.0;
/// A read costs about this many tokens whatever its length: steps, hand-over.
const READ_BASE: f64 = 400.0;
/// Prompt length taken when none is told.
const PROMPT_UNKNOWN: f64 = 500.0;
/// How late reports are taken to be when own work is told from that of other routers.
const REPORT_LAG: Nanos = 500_000_000;
/// Weight of a new sample in the running means: about the last ten count.
const GAIN: f64 = 0.1;
/// Weight of a new outcome in a server's share of failures: three in a row tell.
const FAIL_GAIN: f64 = 0.25;
/// A server that fails this share is shunned, unless its peers fail as often.
const FAIL_SHARE: f64 = 0.4;
/// A server counts as slow from this multiple of its peers' median latency on.
const SLOW_FROM: f64 = 2.0;
/// From this multiple on a server gets one request at a time, as one that fails does.
const SLOW_SHUN: f64 = 3.0;
/// Samples before a server's own mean is believed.
const SAMPLES: u32 = 3;
/// How long a shunned server rests before it gets one request at a time again.
const SHUN_FOR: Nanos = 1_000_000_000;
/// Gap between probes to a server that could not be reached: cheap, and recovery is seen soon.
const PROBE_EVERY: Nanos = 400_000_000;
/// A write that has not begun for this long is queued: its writer looks full, whatever it reports.
const STALLED: Nanos = 400_000_000;
/// A write that has not begun for this long is called off if another writer has room.
const WRITE_PATIENCE: Nanos = 900_000_000;
/// A reader looks full when a read there would take longer than this: the rest waits here, in order.
const READ_WAIT: Nanos = 300_000_000;
/// A read is overdue after this and `READ_TIMES` its expected time.
const READ_PATIENCE: Nanos = 300_000_000;
const READ_TIMES: f64 = 3.0;
/// Time-out of a send where attempts can't be called off: nothing tells by then that it is only busy.
const BLIND_PATIENCE: Nanos = 1_500_000_000;
/// Attempts kept back for a read and a write from the start.
const ATTEMPTS_KEPT: u32 = 2;
/// Part used of what a cold server may be sent: warm peers carry well below what they could.
const COLD_CAUTION: f64 = 1.0;
/// Span over which the load of warm peers is averaged for the cold budget.
const PEER_SPAN: Nanos = 5_000_000_000;
/// Weight of each tick's sample in that load's mean, which stands in while no peer is warm: some 5 s.
const USUAL_GAIN: f64 = 0.002;
/// A cold server gets at least this many mean requests in each window, when peers tell nothing.
const COLD_FLOOR: f64 = 0.5;
/// A tenant may go over its share by this much before it counts: routers see uneven parts of it.
const SHARE_SLACK: f64 = 1.5;
/// Seconds of a tenant's share that may come at once.
const SHARE_BURST: f64 = 2.0;
/// Gap between calls to a list service that failed.
const ASK_AGAIN: Nanos = 1_000_000_000;
const TICK_TIMER: TimerToken = TimerToken(0);
const ASK_TIMER: TimerToken = TimerToken(1);

#[derive(Default)]
pub struct Policy {
    set: Settings,
    now: Nanos,
    out: Vec<Action>,
    servers: BTreeMap<ServerId, Server>,
    works: BTreeMap<RequestId, Work>,
    /// Requests held before their read, in the order in which they leave.
    waiting: BTreeSet<(bool, Nanos, RequestId)>,
    shares: Vec<Bucket>,
    /// Mean tokens by class, to read and to write, for the cold budget.
    class_read: Vec<Mean>,
    class_write: Vec<Mean>,
    /// Time from the read's send to the first token.
    to_first: Mean,
    /// Nanoseconds a token of a read, all readers together.
    read_pace: Mean,
    /// What a warm server of each role is sent, in mean requests a second.
    usual: [Mean; 3],
    /// Seconds to the first token of a write, in the reader's cell and out of it.
    moves: [Mean; 2],
    /// What other routers told that they hold, and when.
    told: BTreeMap<u32, (Nanos, BTreeMap<ServerId, f64>)>,
    told_at: Nanos,
    ticking: bool,
}

impl Policy {
    pub fn new(set: Settings) -> Policy {
        Policy {
            shares: vec![Bucket::default(); set.tenants.len()],
            class_read: vec![Mean::default(); set.classes.len()],
            class_write: vec![Mean::default(); set.classes.len()],
            set,
            ..Policy::default()
        }
    }

    /// Takes one event; the actions take effect at `now`, in order.
    pub fn handle(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::Members { kind, entries } => self.on_members(kind, &entries),
            Event::Request(request) => self.on_request(request),
            Event::Timer(TICK_TIMER) => self.on_tick(),
            Event::Timer(ASK_TIMER) => self.out.push(Action::Watch(true)),
            Event::First { id, attempt, latency, .. } => self.on_first(id, attempt, latency),
            Event::Outcome(outcome) => self.on_outcome(outcome),
            Event::Gone(id) => self.end(id, None),
            Event::Probed { server, status, report, .. } => self.on_probed(server, status, report),
            Event::Peer { from, data } => {
                self.told.insert(from, (self.now, held_from_bytes(&data)));
            }
            Event::Timer(_) | Event::Note { .. } => {}
        }
        self.admit();
        if !self.ticking && (!self.works.is_empty() || self.servers.values().any(|s| s.unreachable)) {
            self.ticking = true;
            self.out.push(Action::Timer { token: TICK_TIMER, delay: TICK });
        }
        std::mem::take(&mut self.out)
    }

    // --- A request comes in -------------------------------------------------------------------------

    fn on_request(&mut self, request: Request) {
        let Some(class) = self.set.classes.get(request.class.0).cloned() else {
            self.out.push(Action::Fail(request.id));
            return;
        };
        let prompt = if request.prompt_len > 0.0 { request.prompt_len } else { PROMPT_UNKNOWN };
        // The design's guess of a stream's memory: the hint, else half of what is allowed.
        let answer = match request.hint {
            Some(hint) if class.token_aim > 0 => hint as f64 / class.token_aim as f64,
            _ => request.max_out / 2.0,
        };
        let answer = if request.max_out > 0.0 { answer.min(request.max_out) } else { answer };
        let over_share = self.over_share(request.tenant);
        self.class_read[request.class.0].add(prompt, GAIN);
        self.class_write[request.class.0].add(answer, GAIN);
        let (id, give_up_at) = (request.id, request.give_up_at);
        let aim_at = self.now + class.aim + (class.aim_per_token * prompt) as Nanos;
        let request = Request { prompt_len: prompt, ..request };
        self.works.insert(id, Work::new(request, over_share, aim_at, answer));
        if give_up_at <= self.now + LAST_CALL {
            return self.give_up(id);
        }
        self.hold(id);
    }

    /// Whether this request is beyond its tenant's share, of which each router takes an even part.
    fn over_share(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(tenant) = tenant.filter(|t| t.0 < self.shares.len()) else { return false };
        let rate = self.set.tenants[tenant.0].quota_per_s / f64::from(self.set.routers) * SHARE_SLACK;
        rate > 0.0 && !self.shares[tenant.0].take(self.now, rate, rate * SHARE_BURST)
    }

    fn hold(&mut self, id: RequestId) {
        self.waiting.extend(self.works.get(&id).map(|w| (w.over_share, w.aim_at, id)));
    }

    // --- Before the read: held while all writers look full ------------------------------------------

    /// Sends held requests to be read as far as writers have room for them.
    fn admit(&mut self) {
        for held in self.waiting.iter().copied().collect::<Vec<_>>() {
            let Some(work) = self.works.get(&held.2) else { continue };
            if !self.writers_have_room(work.need()) {
                break;
            }
            if self.start(held.2) {
                self.waiting.remove(&held);
            }
        }
    }

    /// Room for `need` tokens besides what is being read for writers already.
    fn writers_have_room(&self, need: f64) -> bool {
        let pledged: f64 = self.works.values().filter(|w| w.pledged()).map(Work::need).sum();
        let mut with_room = self.candidates(false, None);
        with_room.retain(|s| self.has_room(s, need));
        let free: f64 = with_room.iter().map(|s| (FULL_SHARE - self.memory_share(s)) * s.memory).sum();
        !with_room.is_empty() && (free >= pledged + need || with_room.iter().any(|s| s.memory <= 0.0))
    }

    /// Sends a request to its home reader, or to the least loaded one where home is clearly busier.
    fn start(&mut self, id: RequestId) -> bool {
        let Some(work) = self.works.get(&id) else { return true };
        let mut readers = self.candidates(true, Some(work));
        if readers.is_empty() {
            return self.start_at_writer(id);
        }
        readers.retain(|s| s.role != Role::Both || self.has_room(s, work.need()));
        let key = work.request.prefix.or(work.request.session).unwrap_or(Key(id.0));
        let rank_first = readers.iter().map(|s| s.id).max_by_key(|s| key.rank(*s));
        let unread = |s: &Server| {
            let kept = if Some(s.id) == rank_first { work.request.prefix_len } else { 0.0 };
            READ_BASE + (work.request.prompt_len - kept).max(0.0)
        };
        let cost = |s: &Server| (s.unread + s.others_unread + unread(s)) * s.slow / self.speed(s);
        // A reader looks full when it said so, or when the wait there is long by what reads take now.
        // One that has nothing of ours is tried all the same, or its pace could not be learnt again.
        let long = |s: &Server| s.unbegun > 0 && cost(s) * self.read_pace.value > READ_WAIT as f64;
        let room = |s: &&&Server| !self.answered_full(s) && !long(s);
        let Some(least) = readers.iter().filter(room).min_by(|a, b| cost(a).total_cmp(&cost(b))) else {
            return false;
        };
        let home = readers.iter().filter(room).find(|s| Some(s.id) == rank_first).unwrap_or(least);
        let chosen = if cost(home) > cost(least) + READER_YIELD { least } else { home };
        let stage = if chosen.role == Role::Both { Stage::Whole } else { Stage::Read };
        let (unread, queued) = (unread(chosen), cost(chosen));
        self.send(id, Sent { unread, queued, ..Sent::to(chosen.id, stage) });
        true
    }

    /// With no reader at all a writer that reads by itself takes the request whole.
    fn start_at_writer(&mut self, id: RequestId) -> bool {
        let Some(work) = self.works.get(&id).filter(|_| self.set.self_prefill) else { return false };
        let unread = READ_BASE + work.request.prompt_len;
        let Some(server) = self.pick_writer(work, false) else { return false };
        self.send(id, Sent { unread, queued: unread, ..Sent::to(server, Stage::Whole) });
        true
    }

    // --- After the read: a writer with room, near the state ------------------------------------------

    /// The writer for a state. `must`: one is needed now, with room or without.
    fn pick_writer(&self, work: &Work, must: bool) -> Option<ServerId> {
        let need = work.need();
        let all = self.candidates(false, Some(work));
        let open: Vec<&Server> = all.iter().copied().filter(|s| self.has_room(s, need)).collect();
        let open = if open.is_empty() && must { all } else { open };
        let least = self.least_loaded(open.iter().copied())?;
        let reader = work.state.and_then(|(r, _)| self.servers.get(&r));
        let cell = |s: &&&Server| reader.is_some_and(|r| r.cell.is_some() && r.cell == s.cell);
        let zone = |s: &&&Server| reader.is_some_and(|r| r.zone.is_some() && r.zone == s.zone);
        let margin = WRITER_YIELD + MOVE_YIELD * (self.moves[1].value - self.moves[0].value).max(0.0);
        let in_cell = self.least_loaded(open.iter().filter(cell).copied());
        let in_zone = self.least_loaded(open.iter().filter(zone).copied());
        let near = in_cell.into_iter().chain(in_zone).find(|s| self.load(s) <= self.load(least) + margin);
        Some(near.unwrap_or(least).id)
    }

    /// Ties go to the least guessed memory.
    fn least_loaded<'s>(&self, servers: impl Iterator<Item = &'s Server>) -> Option<&'s Server> {
        servers.min_by(|a, b| {
            let (la, lb) = (self.load(a), self.load(b));
            la.total_cmp(&lb).then(a.held.total_cmp(&b.held)).then(a.id.cmp(&b.id))
        })
    }

    /// Full: as it reported, as it answered within the last second, or as guessed.
    fn has_room(&self, s: &Server, need: f64) -> bool {
        let fits = s.memory <= 0.0 || self.memory_share(s) + need / s.memory <= FULL_SHARE || s.held <= 0.0;
        !self.answered_full(s) && !s.reported_full && fits
    }

    fn answered_full(&self, s: &Server) -> bool {
        s.full_at.is_some_and(|at| self.now < at + FULL_FOR)
    }

    /// Share of a writer's memory that is held, by guess: own sends, and the others'.
    fn memory_share(&self, s: &Server) -> f64 {
        (s.held + self.others(s).unwrap_or_else(|| self.told(s))) / s.memory.max(1.0)
    }

    /// What the reports say that others hold at a server; one not heard from counts as average.
    fn others(&self, s: &Server) -> Option<f64> {
        let known = |o: &Server| if o.kind == s.kind { o.others } else { None };
        s.others.or_else(|| average(self.servers.values().filter_map(known)))
    }

    /// Without any report: what routers told, for one not heard from our own average. Only for fullness.
    fn told(&self, s: &Server) -> f64 {
        let fresh = self.told.values().filter(|t| self.now < t.0 + TOLD_FOR);
        let heard: Vec<f64> = fresh.map(|t| t.1.get(&s.id).copied().unwrap_or(0.0)).collect();
        let own = |o: &Server| (o.kind == s.kind && o.ready).then_some(o.held);
        let unheard = f64::from(self.set.routers) - 1.0 - heard.len() as f64;
        let own = average(self.servers.values().filter_map(own)).unwrap_or(0.0);
        heard.iter().sum::<f64>() + unheard.max(0.0) * own
    }

    fn load(&self, s: &Server) -> f64 {
        (s.held + self.others(s).unwrap_or(0.0)) / s.memory.max(1.0) * s.slow / self.speed(s)
    }

    /// Its weight beside the mean of its role, less while it is cold.
    fn speed(&self, s: &Server) -> f64 {
        let peers = self.servers.values().filter(|p| p.ready && p.role == s.role);
        let relative = average(peers.map(|p| p.weight)).map_or(1.0, |mean| s.weight / mean);
        relative.max(0.1) * if self.cold(s) { self.set.cold_from.clamp(0.1, 1.0) } else { 1.0 }
    }

    /// A state waits: send it on, let it wait a little, or let it go when the release time runs out.
    fn place(&mut self, id: RequestId) {
        let Some(work) = self.works.get(&id) else { return };
        let Some((_, since)) = work.state.filter(|_| work.sent.is_none()) else { return };
        let patience = (self.set.release_within as f64 * RELEASE_SHARE) as Nanos;
        let must = self.now + TICK >= since + patience;
        if let Some(server) = self.pick_writer(work, must) {
            self.send(id, Sent::to(server, Stage::Write));
        } else if must {
            self.give_up(id);
        }
    }

    /// Servers of one stage that may be sent to now, leaving out ill ones while enough others are left.
    fn candidates(&self, reads: bool, work: Option<&Work>) -> Vec<&Server> {
        let split = self.servers.values().any(|s| s.ready && s.role == Role::Write);
        let fits = |s: &&Server| match s.role {
            Role::Read => reads,
            Role::Write => !reads,
            Role::Both => reads || !split,
        };
        let allowed = |s: &&Server| work.is_none_or(|w| self.may_go_to(w, s));
        let ready = self.servers.values().filter(|s| s.ready && self.cold_budget_allows(s));
        let open: Vec<&Server> = ready.filter(fits).filter(allowed).collect();
        let tried = |s: &&Server| work.is_some_and(|w| w.avoid.contains(&s.id));
        let well: Vec<&Server> = open.iter().copied().filter(|s| !self.ill(s) && !tried(s)).collect();
        // Where most look ill the cause is likely elsewhere, and the few left would be swamped.
        if !well.is_empty() && well.len() * 3 >= open.len() {
            return well;
        }
        let none = open.iter().all(|s| s.unreachable);
        open.into_iter().filter(|s| none || !s.unreachable).collect()
    }

    /// Rule 2 for keyed requests that may have run: same group, within the window.
    fn may_go_to(&self, work: &Work, s: &Server) -> bool {
        let Some(ran) = work.may_have_run else { return true };
        let Some(class) = self.set.classes.get(work.request.class.0) else { return false };
        let same = match class.group {
            Group::All => true,
            Group::Zone => ran.zone.is_some() && ran.zone == s.zone,
            Group::Cell => ran.cell.is_some() && ran.cell == s.cell,
        };
        class.effect != Effect::Unsafe && same && self.now + TICK < ran.at + class.window
    }

    fn send(&mut self, id: RequestId, plan: Sent) {
        let (now, server, stage) = (self.now, plan.server, plan.stage);
        let cost = self.cold_cost(id, stage);
        let (Some(work), Some(s)) = (self.works.get_mut(&id), self.servers.get_mut(&server)) else { return };
        let held = if stage == Stage::Read { 0.0 } else { work.need() };
        let sent = Sent { no: AttemptNo(work.attempts), at: now, held, ..plan };
        s.take(now, REPORT_LAG, &sent);
        s.sent.add(now, cost, PEER_SPAN);
        s.budget.level -= cost;
        work.attempts += 1;
        work.read_at = work.read_at.or(Some(now));
        work.sent = Some(sent);
        // Without a way to call an attempt off, its time-out has to do it.
        let safe = stage == Stage::Read || self.set.classes[work.request.class.0].effect == Effect::Safe;
        let timeout = if self.set.cancel || !safe { 0 } else { BLIND_PATIENCE };
        self.out.push(Action::Send { id, server, timeout });
    }

    fn on_first(&mut self, id: RequestId, attempt: AttemptNo, latency: Nanos) {
        let now = self.now;
        let Some(work) = self.works.get_mut(&id) else { return };
        // Whatever the stream took over is let go by itself.
        let cell = work.state.take().and_then(|(reader, _)| self.servers.get(&reader)?.cell);
        let Some(sent) = work.sent.as_mut().filter(|s| s.no == attempt && !s.begun) else { return };
        if let Some(read_at) = work.read_at {
            self.to_first.add(now.saturating_sub(read_at) as f64, GAIN);
        }
        if let Some(s) = self.servers.get_mut(&sent.server) {
            s.begin(now, REPORT_LAG, sent);
            s.heard_at = now;
            if sent.stage == Stage::Write {
                self.moves[usize::from(s.cell != cell)].add(latency as f64 / 1e9, GAIN);
            }
        }
        sent.begun = true;
        let (server, stage) = (sent.server, sent.stage);
        if stage == Stage::Write {
            self.learn_pace(server, latency as f64);
        }
    }

    fn on_outcome(&mut self, o: Outcome) {
        self.note_health(&o);
        let Some(work) = self.works.get_mut(&o.id) else { return };
        let Some(sent) = work.sent.take_if(|s| s.no == o.attempt) else { return };
        work.ended |= o.closed;
        if let Some(s) = self.servers.get_mut(&o.server) {
            s.close(self.now, REPORT_LAG, &sent);
        }
        self.on_report(o.server, o.report);
        if sent.stage == Stage::Read && o.status == Status::Read {
            let per_token = o.latency as f64 / sent.queued.max(READ_BASE);
            self.read_pace.add(per_token, GAIN);
            self.learn_pace(o.server, per_token);
        }
        self.settle(o, sent);
    }

    /// What an outcome means for its request.
    fn settle(&mut self, o: Outcome, sent: Sent) {
        let now = self.now;
        let Some(work) = self.works.get_mut(&o.id) else { return };
        let read = sent.stage == Stage::Read;
        match work.state.as_mut() {
            // The release time starts again with each outcome.
            Some((_, since)) if !read => *since = now,
            _ if o.status == Status::Read => work.state = Some((o.server, now)),
            _ => {}
        }
        if work.ended {
            if !sent.begun {
                self.out.push(Action::Release(o.id));
            }
            self.works.remove(&o.id);
            return;
        }
        let effect = self.set.classes[work.request.class.0].effect;
        let not_run = matches!(o.status, Status::Full | Status::ConnectFailed | Status::Moot | Status::Read);
        if !read && !not_run && effect != Effect::Safe && work.may_have_run.is_none() {
            let (zone, cell) = self.servers.get(&o.server).map_or((None, None), |s| (s.zone, s.cell));
            work.may_have_run = Some(MayHaveRun { zone, cell, at: sent.at });
        }
        let unsafe_ran = effect == Effect::Unsafe && work.may_have_run.is_some();
        let no_state = o.status == Status::Full && o.note == 1 && !read;
        if no_state {
            // Out of the writer's reach is not gone: a cut-off reader holds it still, and it must be let go.
            work.state = None;
            self.out.push(Action::Release(o.id));
        } else if o.status != Status::Read && !work.avoid.contains(&o.server) {
            work.avoid.push(o.server);
        }
        // A way on needs one send with a state, two without.
        let steps = if work.state.is_some() { 1 } else { ATTEMPTS_KEPT };
        if unsafe_ran || o.status == Status::Moot || work.attempts + steps > self.set.max_attempts.max(steps)
        {
            return self.give_up(o.id);
        }
        if work.state.is_some() {
            return self.place(o.id);
        }
        self.hold(o.id);
    }

    /// A refusal where trying again is harmless, else a failure; nothing stays pinned.
    fn give_up(&mut self, id: RequestId) {
        let Some(work) = self.works.get(&id) else { return };
        let Some(class) = self.set.classes.get(work.request.class.0) else { return };
        let ran = work.may_have_run.is_some() || work.sent.is_some_and(|s| s.stage != Stage::Read);
        let harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => !ran || class.group == Group::All,
            Effect::Unsafe => !ran,
        };
        let retry_after = if self.set.retry_after { self.set.max_retry_after } else { 0 };
        let answer = if harmless { Action::Refuse { id, retry_after } } else { Action::Fail(id) };
        self.end(id, Some(answer));
    }

    /// Closes a request: by a final answer of ours, or because its client has left.
    fn end(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(work) = self.works.get_mut(&id).filter(|w| !w.ended) else { return };
        work.ended = true;
        self.waiting.remove(&(work.over_share, work.aim_at, id));
        self.out.extend(answer);
        match work.sent {
            Some(sent) if self.set.cancel && !sent.begun && !sent.cancelled => {
                self.out.push(Action::Cancel { id, attempt: sent.no });
            }
            Some(_) => {}
            None => {
                if work.state.is_some() {
                    self.out.push(Action::Release(id));
                }
                self.works.remove(&id);
            }
        }
    }

    // --- Health: by symptom, against peers -----------------------------------------------------------

    fn ill(&self, s: &Server) -> bool {
        let on_trial = fails_often(s) || s.slow >= SLOW_SHUN;
        s.unreachable || self.now < s.shunned_until || on_trial && s.unbegun > 0
    }

    fn note_health(&mut self, o: &Outcome) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&o.server) else { return };
        match o.status {
            Status::Ok | Status::Read => {
                s.failing.add(0.0, FAIL_GAIN);
                (s.unreachable, s.lost) = (false, false);
            }
            Status::Error | Status::Unknown => s.failing.add(1.0, FAIL_GAIN),
            Status::Full if o.note != 1 || s.role == Role::Read => s.full_at = Some(now),
            // Dead, cut off, or with all connections taken: a probe tells when it is back.
            Status::ConnectFailed | Status::Reset => {
                (s.unreachable, s.lost) = (true, true);
                s.shunned_until = now + SHUN_FOR;
                s.probe_at = now;
            }
            _ => {}
        }
        if !matches!(o.status, Status::Timeout | Status::Cancelled | Status::ConnectFailed | Status::Moot) {
            s.heard_at = now;
        }
        if o.status == Status::Error && fails_often(s) {
            s.shunned_until = now + SHUN_FOR;
        }
    }

    fn on_probed(&mut self, server: ServerId, status: Status, report: Option<Report>) {
        let now = self.now;
        if let Some(s) = self.servers.get_mut(&server).filter(|_| status == Status::Ok) {
            if s.lost {
                // It may be a new process that the list has not told of: cold, or all routers pour onto it
                // at once. After a mere cut that costs some seconds of its work.
                s.back_at = now;
                s.budget = Bucket::owing(now);
            }
            (s.unreachable, s.lost) = (false, false);
            s.shunned_until = now;
            s.heard_at = now;
        }
        self.on_report(server, report);
    }

    /// A report counts own work too, as it was a while ago; what is left is the others'.
    fn on_report(&mut self, server: ServerId, report: Option<Report>) {
        let (now, read) = (self.now, mean(&self.class_read));
        let (Some(s), Some(report)) = (self.servers.get_mut(&server), report) else { return };
        s.follow(now, REPORT_LAG);
        if let Some(share) = report.memory.filter(|_| s.role != Role::Read) {
            s.others = Some((share * s.memory - s.held_seen.value).max(0.0));
            s.reported_full = share >= FULL_SHARE;
        }
        let requests = report.inflight.or(report.queue).map(|n| (n - s.unbegun_seen.value) * read);
        let waiting = report.unread_k.map(|k| k * 1000.0 - s.unread).or(requests);
        if let Some(tokens) = waiting.filter(|_| s.role != Role::Write) {
            s.others_unread = tokens.max(0.0);
        }
    }

    /// Compares a server's latency with the median of its role.
    fn learn_pace(&mut self, server: ServerId, sample: f64) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.pace.add(sample, FAIL_GAIN);
        let role = s.role;
        let believed = |p: &&mut Server| p.role == role && p.pace.samples >= SAMPLES;
        let median = median(self.servers.values_mut().filter(believed).map(|p| p.pace.value));
        for p in self.servers.values_mut().filter(believed) {
            let ratio = p.pace.value / median.max(1.0);
            p.slow = if ratio >= SLOW_FROM { ratio } else { 1.0 };
        }
    }

    fn cold(&self, s: &Server) -> bool {
        let since = s.ready_at.max(s.back_at);
        since > 0 && self.now < since + self.set.cold
    }

    /// What a send weighs at a cold server: its class's mean work, in mean requests.
    fn cold_cost(&self, id: RequestId, stage: Stage) -> f64 {
        let means = if stage == Stage::Read { &self.class_read } else { &self.class_write };
        let own = self.works.get(&id).and_then(|w| means.get(w.request.class.0)).map_or(0.0, |m| m.value);
        let mean = mean(means);
        (own / mean.max(1.0)).max(0.1)
    }

    /// Rule 4, kept by each router alone: that part of what it sends itself to a warm peer.
    fn cold_budget_allows(&self, s: &Server) -> bool {
        !self.cold(s) || s.budget.level >= 0.0
    }

    fn fill_cold_budgets(&mut self) {
        let (now, span_s) = (self.now, PEER_SPAN as f64 / 1e9);
        let floor = COLD_FLOOR / (self.set.fall as f64 / 1e9).max(0.1) / f64::from(self.set.routers);
        let part = (self.set.fall_multiple * self.set.cold_from * COLD_CAUTION).min(1.0);
        for role in [Role::Read, Role::Write, Role::Both] {
            let warm = self.servers.values().filter(|p| p.ready && p.role == role && !self.cold(p));
            let sent = average(warm.map(|p| p.sent.get(now, PEER_SPAN) / span_s));
            let usual = &mut self.usual[role as usize];
            let peers = sent.unwrap_or(usual.value);
            usual.add(peers, USUAL_GAIN);
            let rate = (peers.max(usual.value) * part).max(floor);
            for s in self.servers.values_mut().filter(|s| s.role == role) {
                s.budget.fill(now, rate, 0.0);
            }
        }
    }

    fn on_members(&mut self, kind: ListKind, entries: &[Entry]) {
        if kind == ListKind::Failed {
            return self.out.push(Action::Timer { token: ASK_TIMER, delay: ASK_AGAIN });
        }
        if kind == ListKind::Cached && self.set.ask {
            self.out.push(Action::Watch(true));
        }
        if kind != ListKind::Delta {
            self.servers.values_mut().for_each(|s| s.ready = false);
        }
        entries.iter().for_each(|e| self.on_entry(e));
    }

    fn on_entry(&mut self, e: &Entry) {
        let kind = e.kind.map_or(usize::MAX, |k| k.0);
        let role = self.set.roles.get(kind).copied().unwrap_or(Role::Both);
        let memory = self.set.memory.get(kind).copied().unwrap_or(0.0);
        let s = self.servers.entry(e.server).or_insert_with(|| new_server(e.server, role, memory));
        (s.zone, s.cell, s.kind) = (e.zone, e.cell, e.kind);
        s.weight = e.weight.filter(|w| *w > 0.0).unwrap_or(1.0);
        // Nothing new goes to a draining or gone server from now on: rule 3 with nothing of its grace used.
        s.ready = e.state == ServerState::Ready;
        if e.ready_at.unwrap_or(0) != s.ready_at {
            s.restarted(self.now, e.ready_at.unwrap_or(0));
        }
    }

    // --- The clock ----------------------------------------------------------------------------------

    fn on_tick(&mut self) {
        self.ticking = false;
        self.fill_cold_budgets();
        let ids: Vec<RequestId> = self.works.iter().filter(|w| !w.1.ended).map(|w| *w.0).collect();
        ids.into_iter().for_each(|id| self.look_after(id));
        self.probe();
        self.tell();
    }

    fn look_after(&mut self, id: RequestId) {
        let Some(work) = self.works.get(&id) else { return };
        if work.sent.is_some_and(|s| s.begun) {
            return;
        }
        if self.now + LAST_CALL >= work.request.give_up_at {
            return self.give_up(id);
        }
        let late = self.now + self.to_first.value as Nanos > work.aim_at;
        match work.sent {
            Some(sent) => self.check_overdue(id, sent),
            // Held, it can't make its aim any more: it ends now, so that others can.
            None if late && work.state.is_none() => self.give_up(id),
            None => self.place(id),
        }
    }

    /// An attempt that takes too long: its server queues, is slow, is cut off or died without a word.
    fn check_overdue(&mut self, id: RequestId, sent: Sent) {
        let age = self.now - sent.at;
        let state = self.works.get(&id).and_then(|w| w.state);
        let cell = state.and_then(|(reader, _)| self.servers.get(&reader)?.cell);
        let Some(s) = self.servers.get_mut(&sent.server) else { return };
        // What crosses cells may wait for a slow link: another far writer is no better then.
        let (silent, near) = (s.heard_at < sent.at, s.cell == cell);
        if sent.stage == Stage::Write && age >= STALLED {
            s.full_at = Some(self.now);
        }
        let patience = match sent.stage {
            Stage::Write => WRITE_PATIENCE,
            _ => READ_PATIENCE + (READ_TIMES * self.read_pace.value * sent.queued) as Nanos,
        };
        // A reader that answers others meanwhile is busy, not dead: reading again elsewhere doubles its work.
        if age < patience || sent.cancelled || !silent && sent.stage != Stage::Write {
            return;
        }
        if silent && self.set.probes && !s.unreachable {
            s.unreachable = true;
            s.probe_at = self.now;
        }
        let Some(work) = self.works.get(&id) else { return };
        let safe = sent.stage == Stage::Read || self.set.classes[work.request.class.0].effect == Effect::Safe;
        let reads = sent.stage != Stage::Write;
        let room = |s: &Server| self.has_room(s, work.need());
        let better = |s: &&Server| {
            s.id != sent.server && !self.ill(s) && (reads || room(s) && (near || silent || s.cell == cell))
        };
        let left = work.attempts + ATTEMPTS_KEPT <= self.set.max_attempts && self.set.cancel;
        if !safe || !left || !self.candidates(reads, Some(work)).iter().any(better) {
            return;
        }
        if let Some(sent) = self.works.get_mut(&id).and_then(|w| w.sent.as_mut()) {
            sent.cancelled = true;
            self.out.push(Action::Cancel { id, attempt: sent.no });
        }
    }

    /// Tells the other routers what we hold, where no server does.
    fn tell(&mut self) {
        let silent = self.servers.values().all(|s| s.others.is_none());
        if self.set.peers && self.set.routers > 1 && silent && self.now >= self.told_at + TELL_EVERY {
            self.told_at = self.now;
            let data = held_to_bytes(self.servers.values().map(|s| (s.id, s.held)));
            self.out.push(Action::Tell { peer: None, data });
        }
    }

    fn probe(&mut self) {
        for s in self.servers.values_mut().filter(|s| s.ready && s.unreachable && s.probe_at <= self.now) {
            if self.set.probes {
                s.probe_at = self.now + PROBE_EVERY;
                self.out.push(Action::Probe(s.id));
            } else if self.now >= s.shunned_until {
                s.unreachable = false;
            }
        }
    }
}

fn fails_often(s: &Server) -> bool {
    s.failing.value >= FAIL_SHARE && s.failing.samples >= SAMPLES
}
