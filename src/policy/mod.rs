//! Every decision of the router. The interface (settings, events, actions) is in `src/api/`, the
//! tables are in `src/state/`, the reasons at length in `docs/design.md`.
//!
//! Read it along a request's path: it arrives and is queued while all decode workers look
//! saturated, is prefilled at the worker that it has affinity to, decoded near that worker, and
//! answered. Then come health, slow start and the clock.
//!
//! | module | decides |
//! | --- | --- |
//! | `request_arrival` | what is expected of a request that arrives, and which prefill workers it prefers |
//! | `quotas` | whether a request is beyond its tenant's quota |
//! | `admission` | which queued requests are admitted to their prefill, and when |
//! | `prefill_placement` | where it is prefilled: at its preferred worker, unless that is clearly busier |
//! | `prefill_affinity` | which prefill workers a request has affinity to |
//! | `decode_placement` | where it is decoded: at a worker with capacity near its KV cache |
//! | `decode_capacity` | whether a decode worker has capacity |
//! | `eligibility` | which servers a request may be sent to now |
//! | `load_probes` | which servers are probed before a choice, and what that may cost |
//! | `unanswered_decode` | whether a decode attempt has arrived, and what is done while nobody knows |
//! | `attempts` | when and how an attempt is sent, and its first token |
//! | `attempt_end` | what is learnt from the end of an attempt, and what follows it |
//! | `request_end` | the end of a request: rejected where a retry is harmless, else failed |
//! | `health` | health of servers, by their failures and against their peers |
//! | `slow_start` | what a server that has just started may be sent |
//! | `send_guards` | whether something may be sent, sent again or rejected now, by the rules |
//! | `kv_release` | how the KV cache of a request is released until some server has confirmed it |
//! | `shutdown_intake` | what is accepted while a router shuts down, and which connection is closed |
//! | `process_start` | when a listed process started, by the router's own clock |
//! | `endpoints` | the endpoint list |
//! | `connect` | what a failed connection says, and whether it is retried |
//! | `deadlines` | the clock: deadlines, and attempts that take too long |
//! | `gossip` | messages between routers, and the load of silent ones |

mod admission;
mod attempt_end;
mod attempts;
pub mod connect;
mod constants;
mod deadlines;
mod decode_capacity;
mod decode_placement;
mod eligibility;
mod endpoints;
mod gossip;
mod health;
pub mod kv_release;
mod load_probes;
mod prefill_affinity;
mod prefill_placement;
pub mod process_start;
mod quotas;
mod request_arrival;
mod request_end;
pub mod send_guards;
pub mod shutdown_intake;
mod slow_start;
pub mod unanswered_decode;

pub(crate) use health::is_unhealthy;
pub(crate) use slow_start::{is_warming_up, slow_start_allows};

use crate::api::{Action, Event, Nanos, Settings};
use crate::state::{
    decode_gossip, Budget, DecodeStartDelays, FleetSummary, PeerLoad, PrefillCostModel, RequestTable,
    ServerTable, TrafficStatistics,
};
use admission::Admission;
use constants::{
    ENDPOINT_POLL_TIMER, INITIAL_CANCELLATIONS, LOAD_MAX_AGE, SERVERS_PER_STEP, TICK_INTERVAL, TICK_TIMER,
};
use gossip::Gossip;
use quotas::TenantQuotas;
use slow_start::SlowStart;

/// The decisions of one router. Each field owns the state of one concern; the modules turn events
/// into calls on them.
pub struct Policy {
    pub(crate) settings: Settings,
    pub(crate) now: Nanos,
    actions: Vec<Action>,
    pub(crate) servers: ServerTable,
    fleet: FleetSummary,
    requests: RequestTable,
    admission: Admission,
    quotas: TenantQuotas,
    traffic: TrafficStatistics,
    prefill_cost: PrefillCostModel,
    decode_delays: DecodeStartDelays,
    slow_start: SlowStart,
    probe_budget: Budget,
    cancellation_budget: Budget,
    gossip: Gossip,
    peer_load: PeerLoad,
    tick_is_scheduled: bool,
}

impl Policy {
    /// A router that knows its settings, and no server yet.
    pub fn new(settings: Settings) -> Policy {
        let allowances = settings.classes.iter().map(|class| class.latency_objective_per_prompt_token);
        let slowest_pace = allowances.fold(0.0, f64::max);
        Policy {
            now: 0,
            actions: Vec::new(),
            servers: ServerTable::default(),
            fleet: FleetSummary::default(),
            requests: RequestTable::default(),
            admission: Admission::default(),
            quotas: TenantQuotas::new(settings.tenants.len()),
            traffic: TrafficStatistics::new(settings.classes.len()),
            prefill_cost: PrefillCostModel::with_unloaded_time_per_token(slowest_pace),
            decode_delays: DecodeStartDelays::default(),
            slow_start: SlowStart::new(settings.kinds.len()),
            probe_budget: Budget::default(),
            cancellation_budget: Budget::with_balance(INITIAL_CANCELLATIONS),
            gossip: Gossip::default(),
            peer_load: PeerLoad::default(),
            tick_is_scheduled: false,
            settings,
        }
    }

    /// Takes an event, and returns what is to be done, in this order.
    pub fn handle(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        // A clock that went back would make ages negative.
        self.now = now.max(self.now);
        if let Event::GossipReceived { from, data } = event {
            self.peer_load.record(self.now, from, decode_gossip(&data));
            return Vec::new();
        }
        let interval = self.servers.sweep_interval(TICK_INTERVAL, SERVERS_PER_STEP);
        self.update_fleet_load(interval);
        self.dispatch(event);
        self.admit();
        self.schedule_tick();
        std::mem::take(&mut self.actions)
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::EndpointsChanged { update, endpoints } => self.on_endpoints_changed(update, &endpoints),
            Event::RequestArrived(request) => self.on_request_arrived(request),
            Event::TimerFired(TICK_TIMER) => self.on_tick(),
            Event::TimerFired(ENDPOINT_POLL_TIMER) => self.actions.push(Action::WatchEndpoints(true)),
            Event::FirstToken { id, attempt, latency, .. } => self.on_first_token(id, attempt, latency),
            Event::AttemptFinished(outcome) => self.on_attempt_finished(&outcome),
            Event::ClientDisconnected(id) => self.end_request(id, None),
            Event::QuotaChanged { tenant, quota_per_second } => {
                self.settings.set_quota(tenant, quota_per_second);
            }
            Event::RouterCountChanged(routers) => self.settings.router_count = routers.max(1),
            Event::ProbeFinished { server, status, latency, report } => {
                self.on_probe_finished(server, status, latency, report);
            }
            Event::TimerFired(_) | Event::ReservationAnswered { .. } | Event::GossipReceived { .. } => {}
        }
    }

    /// Brings up to date what is known of all servers' load, at most once an interval.
    fn update_fleet_load(&mut self, interval: Nanos) {
        let (servers, peer_load) = (&mut self.servers, &mut self.peer_load);
        self.fleet.update_load(self.now, interval, LOAD_MAX_AGE, servers, peer_load);
        self.estimate_unreported_load();
    }

    /// Keeps the tick running while there is anything that time alone may change.
    fn schedule_tick(&mut self) {
        let has_waiting_requests = !self.admission.is_empty() || !self.requests.active().is_empty();
        let is_needed =
            || has_waiting_requests || self.servers.iter().any(|server| server.liveness.is_unreachable());
        if !self.tick_is_scheduled && is_needed() {
            self.tick_is_scheduled = true;
            self.actions.push(Action::SetTimer { token: TICK_TIMER, delay: TICK_INTERVAL });
        }
    }
}
