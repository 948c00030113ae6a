//! A router without I/O: what it is told, what it does, and the module that decides between the two.

mod engines;
mod figures;
mod operate;
mod request;
mod roster;
mod timers;

pub use engines::ConnNo;
pub use operate::Proposal;
pub use request::{Accepted, Phase};
pub use roster::ListUpdate;

use engines::EngineLink;
use figures::clean;
use gaparch::api::{
    Action, AttemptNo, Event, ListKind, Nanos, Outcome, Report, RequestId, Role, ServerId, Status,
};
use gaparch::policy::Policy;
use gaparch_config::Config;
use gaparch_ops::book::Book;
use gaparch_ops::limits::OPEN_REQUESTS;
use gaparch_protocol::client::{StopReason, Usage};
use gaparch_protocol::engine::{AttemptKey, EngineFacts, EngineFrame, RouterRun, StateAt};
use gaparch_protocol::ops::ending::{Cause, Ending, Evidence, WaitedFor};
use gaparch_protocol::ops::intent::Taken;
use request::{Attempt, Live, Stage};
use roster::Roster;
use std::collections::{BTreeMap, VecDeque};
use timers::{Timer, Timers};

/// What a router is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client asks. The id must be new.
    Ask {
        id: RequestId,
        ask: Accepted,
    },
    /// The client of a request has left, or reads too slowly to be kept.
    ClientGone(RequestId),
    /// A connection asked for is up, and its engine has said who it is.
    EngineUp {
        engine: ServerId,
        conn: ConnNo,
        facts: EngineFacts,
    },
    /// A connection is down or did not come up.
    EngineDown {
        engine: ServerId,
        conn: ConnNo,
    },
    EngineFrame {
        engine: ServerId,
        conn: ConnNo,
        frame: EngineFrame,
    },
    /// The list service can be reached.
    ListUp,
    /// It can't, or it says that it can't answer.
    ListDown,
    List(ListUpdate),
    /// An operator's change, [proposed](Core::propose) or found again at the start.
    Taken(Taken),
    /// Takes nothing new from now on.
    Stop,
    /// Ends what still runs.
    StopNow,
}

/// What a client is told, in order: at most one opened, parts, and exactly one of the rest.
#[derive(Clone, Debug, PartialEq)]
pub enum ToClient {
    /// The answer begins.
    Opened {
        usage: Usage,
    },
    Part {
        text: String,
    },
    /// It has ended in good order.
    Finished {
        usage: Usage,
        reason: StopReason,
    },
    /// Not done; a retry is harmless.
    Refused {
        retry_after: Nanos,
        cause: Cause,
        waited_for: Option<WaitedFor>,
    },
    /// Nothing is promised.
    Failed {
        why: &'static str,
        cause: Cause,
    },
}

impl ToClient {
    /// Nothing follows it.
    pub fn is_last(&self) -> bool {
        !matches!(self, ToClient::Opened { .. } | ToClient::Part { .. })
    }
}

/// What a router does.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Client {
        id: RequestId,
        event: ToClient,
    },
    Engine {
        engine: ServerId,
        frame: EngineFrame,
    },
    /// Connect; answer with [`Input::EngineUp`] or [`Input::EngineDown`] within the connect time-out.
    Connect {
        engine: ServerId,
        conn: ConnNo,
        name: String,
        address: String,
    },
    /// Close the connection after a last word.
    Disconnect {
        engine: ServerId,
        reason: &'static str,
    },
    /// Ask the list service for changes, or for no more of them.
    Watch(bool),
    /// Ask it for the whole list once.
    Fetch,
    Log(String),
    /// A request has ended. Only where there is somebody to keep it.
    Ended(Box<Ending>),
}

/// What went wrong that was survived, counted from the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub requests: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    /// Served with the first token within the aim, and tokens sent to clients.
    pub in_time: u64,
    pub tokens: u64,
    /// Answered by the core since the module had not when the client's time was up. Should stay 0.
    pub overdue: u64,
    /// Frames about attempts that are no more.
    pub late_frames: u64,
    /// Connections closed since their frames made no sense.
    pub violations: u64,
    /// Figures of engines and of the list that no one should send.
    pub dropped_figures: u64,
    /// Entries of the list that can't be used.
    pub dropped_entries: u64,
    /// Actions of the module that came too late to be carried out.
    pub moot: u64,
}

/// One router.
pub struct Core {
    config: Config,
    run: RouterRun,
    policy: Policy,
    now: Nanos,
    events: VecDeque<Event>,
    live: BTreeMap<RequestId, Live>,
    engines: BTreeMap<ServerId, EngineLink>,
    roster: Roster,
    timers: Timers,
    counts: Counts,
    stopping: bool,
    /// The operators' orders.
    book: Book,
    /// Requests whose final answer is owed.
    owed: usize,
    /// How the engines looked a moment ago, for requests that are given up in one go.
    evidence: Option<(Nanos, Vec<Evidence>)>,
    /// Engines that may have nothing more of ours, and are no longer listed or set aside.
    leaving: Vec<ServerId>,
    /// Frames to hand over at the end of the action.
    wire: Vec<Output>,
    next_conn: u64,
    next_nonce: u64,
}

impl Core {
    /// A router that starts now, with what its operators have ordered before. `run` must differ from that of
    /// any earlier run.
    pub fn new(config: Config, book: Book, run: RouterRun, now: Nanos, out: &mut Vec<Output>) -> Core {
        let mut core = Core {
            policy: Policy::new(config.module.clone()),
            roster: Roster::default(),
            run,
            now,
            events: VecDeque::new(),
            live: BTreeMap::new(),
            engines: BTreeMap::new(),
            timers: Timers::default(),
            counts: Counts::default(),
            stopping: false,
            book,
            owed: 0,
            evidence: None,
            leaving: Vec::new(),
            wire: Vec::new(),
            next_conn: 0,
            next_nonce: 0,
            config,
        };
        core.set_quotas();
        let entries = core.roster.take_settings(&core.config, &core.book);
        core.events.push_back(Event::Members { kind: ListKind::Cached, entries: entries.into() });
        core.follow_roster(out);
        core.pump(out);
        core
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn run(&self) -> RouterRun {
        self.run
    }

    /// Requests whose final answer is still owed.
    pub fn open(&self) -> usize {
        self.owed
    }

    /// Where a request is, if it is still known.
    pub fn phase(&self, id: RequestId) -> Option<Phase> {
        self.live.get(&id).map(Live::phase)
    }

    /// When [`on_time`](Core::on_time) has something to do.
    pub fn next_at(&self) -> Option<Nanos> {
        self.timers.next()
    }

    /// Does what has fallen due. Time never goes back.
    pub fn on_time(&mut self, now: Nanos, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        while let Some(timer) = self.timers.pop(self.now) {
            self.on_timer(timer, out);
            self.pump(out);
        }
    }

    /// Takes one input.
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        match input {
            Input::Ask { id, ask } => self.on_ask(id, ask, out),
            Input::ClientGone(id) => self.on_gone(id, out),
            Input::EngineUp { engine, conn, facts } => self.on_engine_up(engine, conn, &facts, out),
            Input::EngineDown { engine, conn } => self.on_engine_down(engine, conn, out),
            Input::EngineFrame { engine, conn, frame } => self.on_frame(engine, conn, frame, out),
            Input::ListUp => self.on_list_up(out),
            Input::ListDown => self.on_list_down(),
            Input::List(update) => self.on_list(update, out),
            Input::Taken(taken) => self.on_taken(taken, out),
            Input::Stop => self.stopping = true,
            Input::StopNow => self.stop_now(out),
        }
        self.pump(out);
    }

    /// Lets the module decide on all that has happened, and on what comes of its own actions.
    fn pump(&mut self, out: &mut Vec<Output>) {
        loop {
            while let Some(event) = self.events.pop_front() {
                for action in self.policy.handle(self.now, event) {
                    self.act(action, out);
                }
            }
            out.append(&mut self.wire);
            match self.leaving.pop() {
                // The module hears of what that does, too.
                Some(engine) => self.let_go(engine, out),
                None => return,
            }
        }
    }

    // --- Clients --------------------------------------------------------------------------------------

    fn on_ask(&mut self, id: RequestId, ask: Accepted, out: &mut Vec<Output>) {
        self.counts.requests += 1;
        if self.live.contains_key(&id) {
            self.counts.refused += 1;
            return out.push(Output::Client { id, event: self.closed(Cause::TooMuchOpen) });
        }
        let request = ask.request(id, &self.config.module, self.now);
        let most = self.book.limit(OPEN_REQUESTS).map_or(usize::MAX, |most| most as usize);
        let closed = match () {
            () if self.stopping => Some(Cause::Stopping),
            () if self.book.paused() => Some(Cause::Paused),
            () if self.owed >= most => Some(Cause::TooMuchOpen),
            () => None,
        };
        self.owed += 1;
        if let Some(cause) = closed {
            // The module never hears of it: it is not accepted.
            self.live.insert(id, Live::new(ask, request.give_up_at, self.now));
            self.answer(id, self.closed(cause), out);
            return self.forget_if_done(id);
        }
        let overdue = request.give_up_at.saturating_add(self.config.module.answer_slack);
        self.timers.set(overdue, Timer::Overdue(id));
        self.live.insert(id, Live::new(ask, request.give_up_at, self.now));
        self.events.push_back(Event::Request(request));
    }

    /// The refusal of what is not accepted.
    fn closed(&self, cause: Cause) -> ToClient {
        let module = &self.config.module;
        let retry_after = if module.retry_after { module.max_retry_after } else { 0 };
        ToClient::Refused { retry_after, cause, waited_for: None }
    }

    fn on_gone(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(live) = self.live.get_mut(&id).filter(|l| !l.ended) else { return };
        live.ended = true;
        self.owed -= 1;
        self.counts.left += 1;
        self.note_ending(id, None, out);
        let Some(live) = self.live.get(&id) else { return };
        let begun = live.attempt.filter(|a| a.begun);
        self.events.push_back(Event::Gone(id));
        // Nobody reads the stream: it ends, and the module hears of its attempt.
        if let Some(attempt) = begun {
            self.call_off(id, attempt);
            self.close(id, attempt, Status::Cancelled, 0, None);
        }
        self.forget_if_done(id);
    }

    /// The one final answer. Whatever comes second is dropped.
    fn answer(&mut self, id: RequestId, event: ToClient, out: &mut Vec<Output>) {
        let Some(live) = self.live.get_mut(&id).filter(|l| !l.ended) else { return };
        live.ended = true;
        self.owed -= 1;
        match event {
            ToClient::Finished { .. } => self.counts.served += 1,
            ToClient::Refused { .. } => self.counts.refused += 1,
            _ => self.counts.failed += 1,
        }
        self.counts.in_time += u64::from(self.is_in_time(id, &event));
        self.note_ending(id, Some(&event), out);
        out.push(Output::Client { id, event });
    }

    fn forget_if_done(&mut self, id: RequestId) {
        if self.live.get(&id).is_some_and(Live::is_done) {
            self.live.remove(&id);
        }
    }

    fn stop_now(&mut self, out: &mut Vec<Output>) {
        self.stopping = true;
        let open: Vec<RequestId> = self.live.iter().filter(|(_, l)| !l.ended).map(|(id, _)| *id).collect();
        for id in open {
            // What was never sent anywhere is harmless to repeat; of the rest nothing is promised.
            let untouched = self.live.get(&id).is_some_and(|l| l.next_attempt == 0);
            let answer = match untouched {
                true => self.closed(Cause::Stopping),
                false => ToClient::Failed { why: "the router was stopped", cause: Cause::Stopping },
            };
            self.answer(id, answer, out);
            self.events.push_back(Event::Gone(id));
            if let Some(attempt) = self.live.get(&id).and_then(|l| l.attempt) {
                self.call_off(id, attempt);
                self.close(id, attempt, Status::Cancelled, 0, None);
            }
        }
    }

    // --- What the module wants ------------------------------------------------------------------------

    fn act(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, timeout),
            Action::Cancel { id, attempt } => self.cancel(id, attempt),
            Action::Refuse { id, retry_after, why } => {
                let (cause, waited_for) = (why.reason.into(), why.held_by.map(Into::into));
                self.answer(id, ToClient::Refused { retry_after, cause, waited_for }, out);
                self.forget_if_done(id);
            }
            Action::Fail { id, why } => {
                let cause = why.reason.into();
                let why = "it may have been tried, and could not be ended";
                self.answer(id, ToClient::Failed { why, cause }, out);
                self.forget_if_done(id);
            }
            Action::Release(id) => self.release(id),
            Action::Ahead { id, server } => self.ahead(id, server),
            Action::Probe(server) => self.probe(server),
            Action::Timer { token, delay } => {
                self.timers.set(self.now.saturating_add(delay), Timer::Module(token));
            }
            Action::Watch(on) => out.push(Output::Watch(on)),
            Action::Fetch => out.push(Output::Fetch),
            Action::Log(text) => out.push(Output::Log(text)),
            // One connection to each engine stays; there are no messages between routers yet, and a stream
            // that breaks can't be resumed: the module is told so in its settings and does none of these.
            Action::Close(_) | Action::Tell { .. } | Action::Move(_) => {}
        }
        out.append(&mut self.wire);
    }

    fn send(&mut self, id: RequestId, server: ServerId, timeout: Nanos) {
        let now = self.now;
        let most = self.config.module.max_attempts;
        let Some(live) = self.live.get_mut(&id) else { return self.moot(id, AttemptNo(0), server, true) };
        let no = AttemptNo(live.next_attempt);
        live.next_attempt += 1;
        let second = live.attempt.is_some() && !self.config.module.second_copies;
        if live.ended || second || no.0 >= most || now >= live.give_up_at {
            let ended = live.ended;
            return self.moot(id, no, server, ended);
        }
        let role = self.roster.role(server, &self.config.module);
        let until =
            if timeout == 0 { live.give_up_at } else { live.give_up_at.min(now.saturating_add(timeout)) };
        let stage = if role == Some(Role::Read) { Stage::Read } else { Stage::Write };
        live.attempt = Some(Attempt { no, server, stage, sent_at: now, begun: false, waits: false });
        live.step_begins(server, stage, now);
        self.timers.set(until, Timer::Attempt(id, no));
        let Some(link) = self.engines.get_mut(&server) else {
            return self.close_by(id, no, Status::ConnectFailed);
        };
        link.tally.attempts += 1;
        if link.is_up() {
            self.write_attempt(id);
        } else if link.is_coming() {
            if let Some(attempt) = live.attempt.as_mut() {
                attempt.waits = true;
            }
            self.timers.set(now.saturating_add(self.config.module.connect_timeout), Timer::Connect(id, no));
        } else {
            self.close_by(id, no, Status::ConnectFailed);
        }
    }

    fn moot(&mut self, id: RequestId, attempt: AttemptNo, server: ServerId, closed: bool) {
        self.counts.moot += 1;
        self.events.push_back(Event::Outcome(Outcome {
            id,
            attempt,
            server,
            status: Status::Moot,
            latency: 0,
            closed,
            note: 0,
            report: None,
        }));
    }

    /// Puts an attempt's frame on its engine's connection, which is up.
    fn write_attempt(&mut self, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let Some(attempt) = live.attempt.as_mut() else { return };
        attempt.waits = false;
        let attempt = *attempt;
        let job = live.ask.job(id, attempt.no, live.give_up_at, self.now);
        let state = live.state_at.and_then(|server| self.roster.address(server));
        let frame = match attempt.stage {
            Stage::Read => EngineFrame::Read(job),
            Stage::Write => EngineFrame::Write { job, state },
        };
        if let Some(link) = self.engines.get_mut(&attempt.server) {
            self.wire.push(Output::Engine { engine: attempt.server, frame });
            link.attempts.insert(id);
        }
    }

    fn cancel(&mut self, id: RequestId, no: AttemptNo) {
        let attempt = self.live.get(&id).and_then(|l| l.attempt).filter(|a| a.no == no && !a.begun);
        let Some(attempt) = attempt else { return };
        self.call_off(id, attempt);
        self.close(id, attempt, Status::Cancelled, 0, None);
    }

    /// Tells the engine that nobody waits. A read may have ended meanwhile: its state goes too.
    fn call_off(&mut self, id: RequestId, attempt: Attempt) {
        if attempt.waits {
            return;
        }
        let key = AttemptKey { request: id.0, attempt: attempt.no.0 };
        self.tell(attempt.server, EngineFrame::Cancel(key));
        if attempt.stage == Stage::Read {
            self.tell(attempt.server, EngineFrame::Release { request: id.0 });
        }
    }

    /// Lets go of all that is held for the request, but for a state that a write is out for.
    fn release(&mut self, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let fetched_from = live.state_at.filter(|_| live.attempt.is_some_and(|a| a.stage == Stage::Write));
        let held = std::mem::take(&mut live.held_at);
        live.held_at.extend(fetched_from.filter(|s| held.contains(s)));
        live.state_at = fetched_from;
        for server in held.into_iter().filter(|s| Some(*s) != fetched_from) {
            self.tell(server, EngineFrame::Release { request: id.0 });
            self.may_leave(server);
        }
        self.forget_if_done(id);
    }

    /// Puts a frame on the connection of an engine, if it is up.
    fn tell(&mut self, engine: ServerId, frame: EngineFrame) {
        if self.engines.get(&engine).is_some_and(EngineLink::is_up) {
            self.wire.push(Output::Engine { engine, frame });
        }
    }

    fn ahead(&mut self, id: RequestId, server: ServerId) {
        let Some(live) = self.live.get_mut(&id).filter(|l| !l.ended) else { return };
        let Some(reading) = live.attempt.filter(|a| a.stage == Stage::Read) else { return };
        let Some(from) = self.roster.address(reading.server) else { return };
        let job = live.ask.job(id, reading.no, live.give_up_at, self.now);
        live.hold(server);
        self.tell(server, EngineFrame::Reserve { job, from });
    }

    fn probe(&mut self, server: ServerId) {
        self.next_nonce += 1;
        let nonce = self.next_nonce;
        let now = self.now;
        let Some(link) = self.engines.get_mut(&server) else {
            return self.probed(server, 0, Status::ConnectFailed, None);
        };
        if link.is_up() {
            link.probes.insert(nonce, now);
            self.wire.push(Output::Engine { engine: server, frame: EngineFrame::Probe { nonce } });
            self.timers
                .set(now.saturating_add(self.config.attempts.probe_timeout), Timer::Probe(server, nonce));
        } else {
            self.probed(server, 0, Status::ConnectFailed, None);
        }
    }

    fn probed(&mut self, server: ServerId, latency: Nanos, status: Status, report: Option<Report>) {
        self.events.push_back(Event::Probed { server, status, latency, report });
    }

    // --- How attempts end -----------------------------------------------------------------------------

    /// Ends the attempt that is out, if it is that one, with what the router itself has seen.
    fn close_by(&mut self, id: RequestId, no: AttemptNo, status: Status) {
        if let Some(attempt) = self.live.get(&id).and_then(|l| l.attempt).filter(|a| a.no == no) {
            self.close(id, attempt, status, 0, None);
        }
    }

    /// An attempt's one outcome, told to the module.
    fn close(&mut self, id: RequestId, attempt: Attempt, status: Status, note: u64, report: Option<Report>) {
        let Some(live) = self.live.get_mut(&id) else { return };
        live.attempt = None;
        live.step_ends(status, self.now);
        if let Some(link) = self.engines.get_mut(&attempt.server) {
            link.attempts.remove(&id);
            match status {
                Status::Ok | Status::Read | Status::Moot => {}
                Status::Cancelled => link.tally.called_off += 1,
                _ => link.tally.failed += 1,
            }
        }
        if status == Status::Read {
            live.state_at = Some(attempt.server);
            live.hold(attempt.server);
        }
        let closed = live.ended;
        self.may_leave(attempt.server);
        self.events.push_back(Event::Outcome(Outcome {
            id,
            attempt: attempt.no,
            server: attempt.server,
            status,
            latency: self.now.saturating_sub(attempt.sent_at),
            closed,
            note,
            report,
        }));
        self.forget_if_done(id);
    }

    /// A begun stream has broken: its client is told, the request is finished by it.
    fn break_stream(&mut self, id: RequestId, attempt: Attempt, status: Status, out: &mut Vec<Output>) {
        let cause = if status == Status::Timeout { Cause::Stalled } else { Cause::BrokeOff };
        self.answer(id, ToClient::Failed { why: "the answer broke off", cause }, out);
        self.close(id, attempt, status, 0, None);
    }

    fn on_timer(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Module(token) => self.events.push_back(Event::Timer(token)),
            Timer::Attempt(id, no) => {
                let attempt = self.live.get(&id).and_then(|l| l.attempt);
                let Some(attempt) = attempt.filter(|a| a.no == no && !a.begun) else { return };
                self.call_off(id, attempt);
                self.close(id, attempt, Status::Timeout, 0, None);
            }
            Timer::Connect(id, no) => {
                let waits = self.live.get(&id).and_then(|l| l.attempt).is_some_and(|a| a.no == no && a.waits);
                if waits {
                    self.close_by(id, no, Status::ConnectFailed);
                }
            }
            Timer::Overdue(id) => self.on_overdue(id, out),
            Timer::Stream(id) => self.on_stream_time(id, out),
            Timer::Probe(server, nonce) => {
                let sent = self.engines.get_mut(&server).and_then(|l| l.probes.remove(&nonce));
                if let Some(sent) = sent {
                    self.probed(server, self.now.saturating_sub(sent), Status::Timeout, None);
                }
            }
            Timer::Reconnect(server) => self.connect(server, out),
        }
        out.append(&mut self.wire);
    }

    /// The client's time is up and the module has not answered: that should never be.
    fn on_overdue(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(live) = self.live.get(&id).filter(|l| !l.ended) else { return };
        if live.attempt.is_some_and(|a| a.begun) {
            return;
        }
        self.counts.overdue += 1;
        self.answer(id, ToClient::Failed { why: "it was not ended in time", cause: Cause::Overdue }, out);
        self.events.push_back(Event::Gone(id));
        self.forget_if_done(id);
    }

    /// Whether a begun stream has gone on for too long, or has been silent for too long.
    fn on_stream_time(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(live) = self.live.get(&id) else { return };
        let Some(attempt) = live.attempt.filter(|a| a.begun) else { return };
        let until = live.stream_until(&self.config.class_times);
        if self.now < until {
            return self.timers.set(until, Timer::Stream(id));
        }
        self.call_off(id, attempt);
        self.break_stream(id, attempt, Status::Timeout, out);
    }

    // --- Engines --------------------------------------------------------------------------------------

    fn connect(&mut self, engine: ServerId, out: &mut Vec<Output>) {
        let Some((name, address)) = self.roster.contact(engine) else { return };
        let Some(link) = self.engines.get_mut(&engine).filter(|l| l.is_down()) else { return };
        self.next_conn += 1;
        let conn = ConnNo(self.next_conn);
        link.connecting(conn);
        out.push(Output::Connect { engine, conn, name, address });
    }

    fn on_engine_up(&mut self, engine: ServerId, conn: ConnNo, facts: &EngineFacts, out: &mut Vec<Output>) {
        let Some(link) = self.engines.get_mut(&engine) else { return };
        if !link.up(conn) {
            return;
        }
        if let Err(reason) = self.roster.agrees(engine, facts, &self.config) {
            return self.violate(engine, reason, out);
        }
        if let Some(entry) = self.roster.started(engine, facts.started_at, self.now, &mut self.counts) {
            self.events.push_back(Event::Members { kind: ListKind::Delta, entries: vec![entry].into() });
        }
        let waits = |l: &Live| l.attempt.is_some_and(|a| a.server == engine && a.waits);
        let waiting: Vec<RequestId> = self.live.iter().filter(|(_, l)| waits(l)).map(|(id, _)| *id).collect();
        waiting.into_iter().for_each(|id| self.write_attempt(id));
        out.append(&mut self.wire);
    }

    fn on_engine_down(&mut self, engine: ServerId, conn: ConnNo, out: &mut Vec<Output>) {
        let Some(link) = self.engines.get_mut(&engine) else { return };
        let Some(down) = link.down(conn, &self.config.attempts) else { return };
        if self.roster.wanted(engine) {
            self.timers.set(self.now.saturating_add(down.retry_after), Timer::Reconnect(engine));
        }
        for (_, sent) in down.probes {
            self.probed(engine, self.now.saturating_sub(sent), Status::ConnectFailed, None);
        }
        if down.was_up {
            // The module hears of a lost connection even if nothing of it was out there.
            self.probed(engine, 0, Status::ConnectFailed, None);
        }
        let of = |l: &Live| l.attempt.filter(|a| a.server == engine);
        let hit: Vec<(RequestId, Attempt)> =
            self.live.iter().filter_map(|(id, l)| Some((*id, of(l)?))).collect();
        for (id, attempt) in hit {
            match attempt {
                Attempt { begun: true, .. } => self.break_stream(id, attempt, Status::Reset, out),
                Attempt { waits: true, .. } => self.close(id, attempt, Status::ConnectFailed, 0, None),
                _ => self.close(id, attempt, Status::Reset, 0, None),
            }
        }
        // What it held for this router went with the connection.
        let held: Vec<RequestId> =
            self.live.iter().filter(|(_, l)| l.held_at.contains(&engine)).map(|(id, _)| *id).collect();
        for id in held {
            if let Some(live) = self.live.get_mut(&id) {
                live.held_at.retain(|s| *s != engine);
            }
            self.forget_if_done(id);
        }
    }

    /// Closes a connection whose frames make no sense. It costs only its own requests.
    fn violate(&mut self, engine: ServerId, reason: &'static str, out: &mut Vec<Output>) {
        self.counts.violations += 1;
        out.push(Output::Disconnect { engine, reason });
        let conn = self.engines.get(&engine).and_then(EngineLink::conn);
        if let Some(conn) = conn {
            self.on_engine_down(engine, conn, out);
        }
    }

    fn on_frame(&mut self, engine: ServerId, conn: ConnNo, frame: EngineFrame, out: &mut Vec<Output>) {
        // Frames of a connection that is no more are of no use.
        if !self.engines.get(&engine).is_some_and(|l| l.is_on(conn)) {
            return;
        }
        if let Some(key) = frame.attempt() {
            return self.on_attempt_frame(engine, key, frame, out);
        }
        match frame {
            EngineFrame::Probed { nonce, report } => {
                let sent = self.engines.get_mut(&engine).and_then(|l| l.probes.remove(&nonce));
                let report = clean(report, &mut self.counts);
                if let Some(sent) = sent {
                    self.probed(engine, self.now.saturating_sub(sent), Status::Ok, report);
                }
            }
            EngineFrame::Report(report) => {
                let report = clean(Some(report), &mut self.counts);
                if let Some(link) = self.engines.get_mut(&engine) {
                    link.report = report;
                }
            }
            EngineFrame::Bye { .. } => {}
            _ => self.violate(engine, "a frame that an engine does not send", out),
        }
    }

    fn on_attempt_frame(
        &mut self,
        engine: ServerId,
        key: AttemptKey,
        frame: EngineFrame,
        out: &mut Vec<Output>,
    ) {
        let id = RequestId(key.request);
        let no = AttemptNo(key.attempt);
        let live = self.live.get(&id);
        if live.is_some_and(|l| no.0 >= l.next_attempt) {
            return self.violate(engine, "an attempt that was never made", out);
        }
        let attempt = live.and_then(|l| l.attempt).filter(|a| a.no == no && a.server == engine);
        // Called off, timed out or ended meanwhile: what it held was let go of then.
        let Some(attempt) = attempt.filter(|a| !a.waits) else {
            return self.counts.late_frames += 1;
        };
        match frame {
            EngineFrame::ReadDone { kept, report, .. } if attempt.stage == Stage::Read => {
                let report = self.report(engine, report);
                if let Some(live) = self.live.get_mut(&id) {
                    live.usage.kept = kept;
                }
                self.close(id, attempt, Status::Read, u64::from(kept), report);
            }
            EngineFrame::Tokens { from, count, text, .. } if attempt.stage == Stage::Write => {
                self.on_tokens(id, attempt, from, count, text, out);
            }
            EngineFrame::Outcome { status, note, produced, report, .. } => {
                self.on_outcome(id, attempt, status, note, produced, report, out);
            }
            EngineFrame::Reserved { held, .. } => {
                let server = engine;
                self.events.push_back(Event::Note { id, attempt: no, server, held });
            }
            _ => self.violate(engine, "a frame out of order", out),
        }
    }

    fn report(&mut self, engine: ServerId, report: Option<Report>) -> Option<Report> {
        let own = clean(report, &mut self.counts);
        own.or_else(|| self.engines.get_mut(&engine).and_then(|l| l.report.take()))
    }

    fn on_tokens(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        from: u32,
        count: u16,
        text: String,
        out: &mut Vec<Output>,
    ) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let have = live.usage.output;
        if from > have {
            return self.violate(attempt.server, "tokens are missing", out);
        }
        if from < have {
            return self.counts.late_frames += 1;
        }
        live.usage.output = have.saturating_add(u32::from(count));
        self.counts.tokens += u64::from(count);
        live.last_token_at = self.now;
        if !attempt.begun {
            self.begin(id, attempt, out);
        }
        out.push(Output::Client { id, event: ToClient::Part { text } });
    }

    /// The first token is there: the attempt belongs to the client, and its time-outs stop.
    fn begin(&mut self, id: RequestId, attempt: Attempt, out: &mut Vec<Output>) {
        let Some(live) = self.live.get_mut(&id) else { return };
        live.attempt = Some(Attempt { begun: true, ..attempt });
        live.begun_at = self.now;
        live.first_at = Some(self.now);
        live.last_token_at = self.now;
        let usage = Usage { output: 0, ..live.usage };
        let until = live.stream_until(&self.config.class_times);
        self.timers.set(until, Timer::Stream(id));
        out.push(Output::Client { id, event: ToClient::Opened { usage } });
        // The writer has taken the state; all else that was held goes.
        let live_state = live.state_at.take();
        let others: Vec<ServerId> = std::mem::take(&mut live.held_at);
        for server in others {
            if Some(server) != live_state && server != attempt.server {
                self.tell(server, EngineFrame::Release { request: id.0 });
            }
            self.may_leave(server);
        }
        self.events.push_back(Event::First {
            id,
            attempt: attempt.no,
            server: attempt.server,
            latency: self.now.saturating_sub(attempt.sent_at),
        });
    }

    #[allow(clippy::too_many_arguments)]
    fn on_outcome(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        status: Status,
        note: u64,
        produced: u32,
        report: Option<Report>,
        out: &mut Vec<Output>,
    ) {
        let report = self.report(attempt.server, report);
        let Some(live) = self.live.get(&id) else { return };
        if status == Status::Ok && attempt.stage == Stage::Read {
            return self.violate(attempt.server, "an answer to a read", out);
        }
        if status != Status::Ok {
            return match attempt.begun {
                true => {
                    let cause = Cause::BrokeOff;
                    self.answer(id, ToClient::Failed { why: "the answer broke off", cause }, out);
                    self.close(id, attempt, status, note, report);
                }
                false => self.close(id, attempt, status, note, report),
            };
        }
        if produced != live.usage.output {
            return self.violate(attempt.server, "an answer whose tokens did not all come", out);
        }
        let attempt = match attempt.begun {
            true => attempt,
            false => {
                self.begin(id, attempt, out);
                Attempt { begun: true, ..attempt }
            }
        };
        let Some(live) = self.live.get(&id) else { return };
        let usage = live.usage;
        let reason =
            if usage.output >= live.ask.max_out { StopReason::MaxTokens } else { StopReason::Finished };
        self.answer(id, ToClient::Finished { usage, reason }, out);
        self.close(id, attempt, Status::Ok, note, report);
    }

    // --- The list -------------------------------------------------------------------------------------

    fn on_list_up(&mut self, out: &mut Vec<Output>) {
        // Where it must be asked, the module asks.
        if !self.config.module.ask {
            out.push(Output::Watch(true));
        }
    }

    fn on_list_down(&mut self) {
        if self.config.module.ask {
            self.events.push_back(Event::Members { kind: ListKind::Failed, entries: Vec::new().into() });
        }
    }

    fn on_list(&mut self, update: ListUpdate, out: &mut Vec<Output>) {
        let Some((kind, entries)) = self.roster.update(update, &self.config, &self.book, &mut self.counts)
        else {
            // A change was missed: the whole list tells.
            return out.push(Output::Fetch);
        };
        self.events.push_back(Event::Members { kind, entries: entries.into() });
        self.follow_roster(out);
    }

    /// Connects to what is listed anew, and lets go of what is gone.
    fn follow_roster(&mut self, out: &mut Vec<Output>) {
        for engine in self.roster.engines() {
            self.engines.entry(engine).or_default();
        }
        let all: Vec<ServerId> = self.engines.keys().copied().collect();
        for engine in all {
            if !self.roster.ready(engine) {
                // Sends that wait for a connection are not to go out after the drain.
                let waits = |l: &Live| l.attempt.filter(|a| a.server == engine && a.waits);
                let waiting: Vec<(RequestId, Attempt)> =
                    self.live.iter().filter_map(|(id, l)| Some((*id, waits(l)?))).collect();
                for (id, attempt) in waiting {
                    self.close(id, attempt, Status::ConnectFailed, 0, None);
                }
            }
            let Some(link) = self.engines.get(&engine) else { continue };
            if self.roster.wanted(engine) {
                if link.is_new() {
                    self.connect(engine, out);
                }
            } else {
                self.let_go(engine, out);
            }
        }
    }

    /// Something of ours has ended at an engine: if it is not wanted any more, that may have been the last.
    fn may_leave(&mut self, engine: ServerId) {
        if !self.roster.wanted(engine) && !self.leaving.contains(&engine) {
            self.leaving.push(engine);
        }
    }

    /// Closes the connection to an engine that is not wanted any more, once nothing of ours runs or waits there: a
    /// state that is still to be fetched would go with it.
    fn let_go(&mut self, engine: ServerId, out: &mut Vec<Output>) {
        let Some(link) = self.engines.get(&engine).filter(|_| !self.roster.wanted(engine)) else { return };
        let holds = |l: &Live| l.held_at.contains(&engine);
        if !link.attempts.is_empty() || self.live.values().any(holds) {
            return;
        }
        if let Some(conn) = link.conn() {
            out.push(Output::Disconnect { engine, reason: "no longer listed, or set aside" });
            self.on_engine_down(engine, conn, out);
        }
        self.engines.remove(&engine);
    }
}

/// Where a state waits, as a writer has to know it.
fn state_at(engine: &str, address: &str) -> StateAt {
    StateAt { engine: engine.to_owned(), address: address.to_owned() }
}
