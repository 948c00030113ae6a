//! A router without I/O: what it is told, what it does, and the module that decides between the two.

mod actions;
mod attempts;
mod clients;
mod engines;
mod figures;
mod following;
mod links;
mod operate;
mod reasons;
mod request;
mod roster;
mod timers;

pub use engines::ConnNo;
pub(crate) use operate::told_to_stay_away;
pub use operate::Proposal;
pub use reasons::{HeldState, ReasonCounts, Reasons};
pub use request::{Accepted, Phase};
pub use roster::ListUpdate;

use engines::EngineLink;
use gaparch_config::Config;
use gaparch_ops::book::Book;
use gaparch_protocol::client::{StopReason, Usage};
use gaparch_protocol::engine::{EngineFacts, EngineFrame, RouterRun, StateAt};
use gaparch_protocol::ops::ending::{Cause, Ending, Evidence, WaitedFor};
use gaparch_protocol::ops::intent::Taken;
use gaparch_scheduler::api::{AttemptStatus, EndpointUpdate, Event, Nanos, RequestId, ServerId};
use gaparch_scheduler::policy::send_guards::Denials;
use gaparch_scheduler::policy::Policy;
use request::Live;
use roster::Roster;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use timers::Timers;

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
    /// What came of a probe, where not the engine itself tells.
    Probed {
        engine: ServerId,
        nonce: u64,
        status: AttemptStatus,
    },
    /// A message of another router, by its number.
    Peer {
        from: u32,
        data: Vec<u8>,
    },
    /// How many routers share limits and parts now, this one among them.
    Routers(u32),
    /// An operator's change, [proposed](Core::propose) or found again at the start.
    Taken(Taken),
    /// Takes nothing new from that time on.
    StopAt(Nanos),
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
    /// A message to another router, or to all of them.
    Tell {
        peer: Option<u32>,
        data: Vec<u8>,
    },
    /// Close the connections to an engine that carry nothing now.
    CloseIdle(ServerId),
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
    /// Sends and refusals of the module that a rule forbade as they were to be carried out.
    pub denials: Denials,
    /// Final answers beside the one that was given; dropped. Should stay 0.
    pub second_answers: u64,
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
    reasons: Reasons,
    /// From when on nothing new is taken.
    stop_at: Option<Nanos>,
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
            reasons: Reasons::default(),
            stop_at: None,
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
        let entries = core.roster.take_settings(&core.config, &core.book, now);
        core.events
            .push_back(Event::EndpointsChanged { update: EndpointUpdate::Cached, endpoints: entries.into() });
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

    /// When the last byte of a request's attempt has to be written; what can't be by then is not sent.
    pub fn write_by(&self, id: RequestId) -> Nanos {
        self.live.get(&id).map_or(Nanos::MAX, |live| live.write_by)
    }

    /// When the client of a request stops waiting for its first token; the present where it is not known any more.
    pub fn give_up_at(&self, id: RequestId) -> Nanos {
        self.live.get(&id).map_or(self.now, |live| live.give_up_at)
    }

    /// When a request came; the present where it is not known any more.
    pub fn asked_at(&self, id: RequestId) -> Nanos {
        self.live.get(&id).map_or(self.now, |live| live.asked_at)
    }

    /// Where a listed engine is, and when its process began; 0: long ago.
    pub fn process(&self, engine: ServerId) -> Option<(SocketAddr, Nanos)> {
        self.roster.process(engine)
    }

    /// The engines that are listed and not gone.
    pub fn listed(&self) -> impl Iterator<Item = ServerId> {
        self.roster.engines().into_iter()
    }

    /// Timers that are set, and would be kept for as long as they run.
    pub fn timers(&self) -> usize {
        self.timers.len()
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
            Input::Probed { engine, nonce, status } => self.on_probed(engine, nonce, status),
            Input::Peer { from, data } => self.events.push_back(Event::GossipReceived { from, data }),
            Input::Routers(routers) => self.events.push_back(Event::RouterCountChanged(routers)),
            Input::Taken(taken) => self.on_taken(taken, out),
            Input::StopAt(at) => self.stop_at(at),
            Input::StopNow => self.stop_now(out),
        }
        self.pump(out);
    }

    fn stop_at(&mut self, at: Nanos) {
        self.stop_at = Some(self.stop_at.map_or(at, |before| before.min(at)));
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
}

/// Where a state waits, as a writer has to know it.
fn state_at(engine: &str, address: &str) -> StateAt {
    StateAt { engine: engine.to_owned(), address: address.to_owned() }
}
