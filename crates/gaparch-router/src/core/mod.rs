//! A router without I/O: what it is told, what it does, and the module that decides between the two.

mod actions;
mod attempts;
mod connection;
mod counters;
mod endpoint_table;
mod endpoint_updates;
mod engine_connections;
mod engine_frames;
mod input;
mod kv_cache;
mod load_values;
mod operator_orders;
mod operator_views;
mod output;
mod probes;
mod reason_counters;
mod request;
mod request_endings;
mod request_lifecycle;
mod sending;
mod streams;
mod timeouts;
mod timers;
mod wire_names;

pub use connection::ConnectionNumber;
pub use counters::Counters;
pub use endpoint_table::ListUpdate;
pub use input::Input;
pub use operator_orders::Proposal;
pub use output::{Output, ResponseEvent};
pub use reason_counters::{HeldKvCache, ReasonCounters, ReasonsByKind};
pub use request::{AcceptedRequest, Phase};
pub(crate) use wire_names::retry_after_millis;

use connection::EngineConnection;
use endpoint_table::EndpointTable;
use gaparch_config::Config;
use gaparch_ops::OrderRegistry;
use gaparch_protocol::engine::{KvCacheLocation, RouterRun};
use gaparch_protocol::ops::outcome::EngineEvidence;
use gaparch_scheduler::api::{EndpointUpdate, Event, Nanos, RequestId, ServerId};
use gaparch_scheduler::policy::Policy;
use request::TrackedRequest;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use timers::Timers;

/// One router.
pub struct Core {
    config: Config,
    run: RouterRun,
    policy: Policy,
    now: Nanos,
    scheduler_events: VecDeque<Event>,
    requests: BTreeMap<RequestId, TrackedRequest>,
    connections: BTreeMap<ServerId, EngineConnection>,
    endpoints: EndpointTable,
    timers: Timers,
    counters: Counters,
    reasons_by_kind: ReasonsByKind,
    /// From when on nothing new is taken.
    stop_at: Option<Nanos>,
    /// The operators' orders.
    orders: OrderRegistry,
    /// Requests whose final answer is owed.
    unanswered: usize,
    /// How the engines looked a moment ago, for requests that are given up in one go.
    evidence: Option<(Nanos, Vec<EngineEvidence>)>,
    /// Engines that may have nothing more of ours, and are no longer listed or set aside.
    disconnect_candidates: Vec<ServerId>,
    /// Frames to hand over at the end of the action.
    pending_frames: Vec<Output>,
    next_conn: u64,
    next_nonce: u64,
}

impl Core {
    /// A router that starts now, with what its operators have ordered before. `run` must differ from that of
    /// any earlier run.
    pub fn new(
        config: Config,
        book: OrderRegistry,
        run: RouterRun,
        now: Nanos,
        out: &mut Vec<Output>,
    ) -> Core {
        let mut core = Core {
            policy: Policy::new(config.module.clone()),
            endpoints: EndpointTable::default(),
            run,
            now,
            scheduler_events: VecDeque::new(),
            requests: BTreeMap::new(),
            connections: BTreeMap::new(),
            timers: Timers::default(),
            counters: Counters::default(),
            reasons_by_kind: ReasonsByKind::default(),
            stop_at: None,
            orders: book,
            unanswered: 0,
            evidence: None,
            disconnect_candidates: Vec::new(),
            pending_frames: Vec::new(),
            next_conn: 0,
            next_nonce: 0,
            config,
        };
        core.set_quotas();
        let entries = core.endpoints.load_settings(&core.config, &core.orders, now);
        core.scheduler_events
            .push_back(Event::EndpointsChanged { update: EndpointUpdate::Cached, endpoints: entries.into() });
        core.follow_all_endpoints(out);
        core.run_scheduler(out);
        core
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    pub fn run(&self) -> RouterRun {
        self.run
    }

    /// Requests whose final answer is still owed.
    pub fn open_requests(&self) -> usize {
        self.unanswered
    }

    /// Where a request is, if it is still known.
    pub fn phase(&self, id: RequestId) -> Option<Phase> {
        self.requests.get(&id).map(TrackedRequest::phase)
    }

    /// When the last byte of a request's attempt has to be written; what can't be by then is not sent.
    pub fn send_by(&self, id: RequestId) -> Nanos {
        self.requests.get(&id).map_or(Nanos::MAX, |tracked| tracked.send_by)
    }

    /// When the client of a request stops waiting for its first token; the present where it is not known any more.
    pub fn deadline_at(&self, id: RequestId) -> Nanos {
        self.requests.get(&id).map_or(self.now, |tracked| tracked.deadline_at)
    }

    /// When a request came; the present where it is not known any more.
    pub fn arrived_at(&self, id: RequestId) -> Nanos {
        self.requests.get(&id).map_or(self.now, |tracked| tracked.arrived_at)
    }

    /// Where a listed engine is, and when its process began; 0: long ago.
    pub fn endpoint_process(&self, engine: ServerId) -> Option<(SocketAddr, Nanos)> {
        self.endpoints.process(engine)
    }

    /// The engines that are listed and not gone.
    pub fn listed_engines(&self) -> impl Iterator<Item = ServerId> {
        self.endpoints.present().into_iter()
    }

    /// Timers that are set, and would be kept for as long as they run.
    pub fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// When [`on_time`](Core::on_time) has something to do.
    pub fn next_timer_at(&self) -> Option<Nanos> {
        self.timers.next_at()
    }

    /// Does what has fallen due. Time never goes back.
    pub fn on_timers_due(&mut self, now: Nanos, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        while let Some(timer) = self.timers.pop_due(self.now) {
            self.on_timer(timer, out);
            self.run_scheduler(out);
        }
    }

    /// Takes one input.
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        match input {
            Input::RequestArrived { id, request: ask } => self.on_request(id, ask, out),
            Input::ClientDisconnected(id) => self.on_client_disconnected(id, out),
            Input::EngineConnected { engine, conn, facts } => {
                self.on_engine_connected(engine, conn, &facts, out)
            }
            Input::EngineDisconnected { engine, conn } => self.on_engine_disconnected(engine, conn, out),
            Input::EngineFrame { engine, conn, frame } => self.on_frame(engine, conn, frame, out),
            Input::ListServiceUp => self.on_list_service_up(out),
            Input::ListServiceDown => self.on_list_service_down(),
            Input::ListUpdated(update) => self.on_list_update(update, out),
            Input::ProbeFinished { engine, nonce, status } => self.on_probe_finished(engine, nonce, status),
            Input::GossipReceived { from, data } => {
                self.scheduler_events.push_back(Event::GossipReceived { from, data })
            }
            Input::RouterCountChanged(routers) => {
                self.scheduler_events.push_back(Event::RouterCountChanged(routers))
            }
            Input::OperatorChange(taken) => self.on_operator_change(taken, out),
            Input::StopAt(at) => self.stop_at(at),
            Input::StopNow => self.stop_now(out),
        }
        self.run_scheduler(out);
    }

    fn stop_at(&mut self, at: Nanos) {
        self.stop_at = Some(self.stop_at.map_or(at, |before| before.min(at)));
    }

    /// Lets the module decide on all that has happened, and on what comes of its own actions.
    fn run_scheduler(&mut self, out: &mut Vec<Output>) {
        loop {
            while let Some(event) = self.scheduler_events.pop_front() {
                for action in self.policy.handle(self.now, event) {
                    self.perform(action, out);
                }
            }
            out.append(&mut self.pending_frames);
            match self.disconnect_candidates.pop() {
                // The module hears of what that does, too.
                Some(engine) => self.disconnect_if_idle(engine, out),
                None => return,
            }
        }
    }
}

/// Where a state waits, as a writer has to know it.
fn kv_cache_location(engine: &str, address: &str) -> KvCacheLocation {
    KvCacheLocation { engine: engine.to_owned(), address: address.to_owned() }
}
