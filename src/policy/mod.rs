//! All decisions of the router. The interface (settings, events, actions) is in `src/api/`, the
//! tables are in `src/state/`, the rationale in `docs/design.md`.
//!
//! The modules follow the path of a request: it arrives, is queued while all decode workers are
//! saturated, is prefilled at a worker that it has affinity to, is decoded near that worker, and is
//! answered. Health, slow start and timing come after that.
//!
//! | module | decides |
//! | --- | --- |
//! | `request_arrival` | the estimates for a new request, and which prefill workers it prefers |
//! | `quotas` | whether a request exceeds its tenant's quota |
//! | `admission` | which queued requests are admitted to prefill, and when |
//! | `prefill_placement` | where a request is prefilled: at its preferred worker unless clearly busier |
//! | `prefill_affinity` | which prefill workers a request has affinity to |
//! | `decode_placement` | where a request is decoded: at a worker with capacity near its KV cache |
//! | `decode_capacity` | whether a decode worker has capacity |
//! | `eligibility` | which servers a request may be sent to now |
//! | `load_probes` | which servers are probed before a choice, within a cost budget |
//! | `unanswered_decode` | what is done about a decode attempt that may not have reached its server |
//! | `attempts` | when and how an attempt is sent, and what follows its first token |
//! | `attempt_end` | what the end of an attempt says about its server, and how the request continues |
//! | `request_end` | how a request ends: rejected if a retry is harmless, otherwise failed |
//! | `health` | the health of servers, from their failures and from comparison with peers |
//! | `slow_start` | how much a server that has just started may be sent |
//! | `send_guards` | whether a send, a repeat or a rejection is allowed now |
//! | `repeated_ids` | whether a request may be run under an id that was used before |
//! | `stream_progress` | when a stream that makes no progress is cut off |
//! | `kv_release` | how a KV cache release is repeated until a server confirms it |
//! | `memory` | how memory is divided among buffers, and who gives some back |
//! | `shutdown_intake` | what a router accepts during shutdown, and which connection is closed first |
//! | `turns` | how much is done for one connection before the others get their turn |
//! | `process_start` | when a listed process started, on the router's own clock |
//! | `endpoints` | how the endpoint list is applied |
//! | `connect` | what a failed connection means, and whether it is retried |
//! | `deadlines` | the tick: deadlines and overdue attempts |
//! | `gossip` | when routers exchange load, and the estimated load of routers without a report |

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
pub mod intake_wait;
pub mod kv_release;
mod load_probes;
pub mod memory;
mod prefill_affinity;
mod prefill_placement;
pub mod process_start;
mod quotas;
pub mod repeated_ids;
mod request_arrival;
mod request_end;
pub mod send_guards;
pub mod shutdown_intake;
mod slow_start;
pub mod startup_list;
pub mod stream_progress;
pub mod turns;
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
    ENDPOINT_POLL_TIMER, FULL_SCAN_SERVER_LIMIT, INITIAL_CANCELLATIONS, LOAD_MAX_AGE, TICK_INTERVAL,
    TICK_TIMER,
};
use gossip::Gossip;
use quotas::TenantQuotas;
use slow_start::SlowStart;

/// The scheduler of one router. Each field owns the state of one concern; the decision modules turn
/// events into calls on them.
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
    /// Creates a scheduler that does not know any server yet.
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

    /// Handles an event, and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        // If the clock went back, ages would be negative.
        self.now = now.max(self.now);
        if let Event::GossipReceived { from, data } = event {
            self.peer_load.record(self.now, from, decode_gossip(&data));
            return Vec::new();
        }
        let interval = self.servers.sweep_interval(TICK_INTERVAL, FULL_SCAN_SERVER_LIMIT);
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

    /// Updates the load summary of all servers, at most once per interval.
    fn update_fleet_load(&mut self, interval: Nanos) {
        let (servers, peer_load) = (&mut self.servers, &mut self.peer_load);
        self.fleet.update_load(self.now, interval, LOAD_MAX_AGE, servers, peer_load);
        self.estimate_unreported_load();
    }

    /// Schedules the next tick if there is anything that may change with time alone.
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
