//! The router without I/O: inputs go in, the scheduler decides, outputs come out. [`Core`] owns all state of
//! requests, connections and endpoints.

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
mod request_lifecycle;
mod request_outcomes;
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
use gaparch_scheduler::view::SlowStartView;
use request::TrackedRequest;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use timers::Timers;

/// The state of one router.
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
    /// New requests are rejected from this time on.
    stop_at: Option<Nanos>,
    /// Orders of operators that are in force.
    orders: OrderRegistry,
    /// How many requests have no final answer yet.
    unanswered: usize,
    /// The last evidence of the engines' state and when it was recorded; requests given up together share it.
    evidence: Option<(Nanos, Vec<EngineEvidence>)>,
    /// Engines that are no longer listed, or detached by an operator, and that may have nothing left in
    /// flight.
    disconnect_candidates: Vec<ServerId>,
    /// Frames to send once the current action has been carried out.
    pending_frames: Vec<Output>,
    next_conn: u64,
    next_nonce: u64,
}

impl Core {
    /// A router that starts now, with the operators' orders that were in force before. `run` must differ from
    /// that of any earlier run.
    pub fn new(
        config: Config,
        orders: OrderRegistry,
        run: RouterRun,
        now: Nanos,
        out: &mut Vec<Output>,
    ) -> Core {
        let mut core = Core {
            policy: Policy::new(config.scheduler.clone()),
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
            orders,
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
        core.reconcile_all_connections(out);
        core.run_scheduler(out);
        core
    }

    /// The counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The run id of this router, by which engines tell its requests from those of other runs.
    pub fn run(&self) -> RouterRun {
        self.run
    }

    /// How many requests have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.unanswered
    }

    /// The phase of a request, if it is still known.
    pub fn phase(&self, id: RequestId) -> Option<Phase> {
        self.requests.get(&id).map(TrackedRequest::phase)
    }

    /// When the last byte of a request's attempt must be written at the latest; an attempt that can't meet
    /// this time is not sent.
    pub fn send_by(&self, id: RequestId) -> Nanos {
        self.requests.get(&id).map_or(Nanos::MAX, |tracked| tracked.send_by)
    }

    /// When the client of a request stops waiting for its first token; the current time if the request is no
    /// longer known.
    pub fn deadline_at(&self, id: RequestId) -> Nanos {
        self.requests.get(&id).map_or(self.now, |tracked| tracked.deadline_at)
    }

    /// When a request arrived; the current time if it is no longer known.
    pub fn arrived_at(&self, id: RequestId) -> Nanos {
        self.requests.get(&id).map_or(self.now, |tracked| tracked.arrived_at)
    }

    /// The address of a listed engine, and when its process started; 0: long ago.
    pub fn endpoint_process(&self, engine: ServerId) -> Option<(SocketAddr, Nanos)> {
        self.endpoints.process(engine)
    }

    /// The engines that are warming up after a start.
    pub fn slow_starts(&self) -> impl Iterator<Item = SlowStartView> + '_ {
        self.policy.slow_starts()
    }

    /// Whether an engine is listed and not removed.
    pub fn is_listed(&self, engine: ServerId) -> bool {
        self.endpoints.is_present(engine)
    }

    /// The engines that are listed and not removed.
    pub fn listed_engines(&self) -> impl Iterator<Item = ServerId> {
        self.endpoints.present().into_iter()
    }

    /// How many timers are set.
    pub fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// When [`on_timers_due`](Core::on_timers_due) has to be called next; `None` if no timer is set.
    pub fn next_timer_at(&self) -> Option<Nanos> {
        self.timers.next_at()
    }

    /// Handles all timers that are due. The core's time never goes back: a `now` before the last one is
    /// ignored.
    pub fn on_timers_due(&mut self, now: Nanos, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        while let Some(timer) = self.timers.pop_due(self.now) {
            self.on_timer(timer, out);
            self.run_scheduler(out);
        }
    }

    /// Handles one input, and lets the scheduler decide on it.
    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        match input {
            Input::RequestArrived { id, request } => self.on_request(id, request, out),
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
            Input::OperatorChange(accepted) => self.on_operator_change(accepted, out),
            Input::StopAt(at) => self.stop_at(at),
            Input::StopUnanswered => self.stop_requests(|phase| phase != Phase::Streaming, out),
            Input::StopNow => self.stop_requests(|_| true, out),
        }
        self.run_scheduler(out);
    }

    fn stop_at(&mut self, at: Nanos) {
        self.stop_at = Some(self.stop_at.map_or(at, |before| before.min(at)));
    }

    /// Passes all pending events to the scheduler and carries out its actions, until these cause no new
    /// events.
    fn run_scheduler(&mut self, out: &mut Vec<Output>) {
        loop {
            while let Some(event) = self.scheduler_events.pop_front() {
                for action in self.policy.handle(self.now, event) {
                    self.perform(action, out);
                }
            }
            out.append(&mut self.pending_frames);
            match self.disconnect_candidates.pop() {
                // A disconnect may cause further events for the scheduler.
                Some(engine) => self.disconnect_if_idle(engine, out),
                None => return,
            }
        }
    }
}

/// The location from which a decode worker fetches a KV cache.
fn kv_cache_location(engine: &str, address: &str) -> KvCacheLocation {
    KvCacheLocation { engine: engine.to_owned(), address: address.to_owned() }
}
