//! Health of servers, from their failures and from comparison with their peers.

use super::constants::{
    ejection_bounds, HEALTH_CHECK_INTERVAL, OUTLIER_LATENCY_RATIO, POPULARITY_SPAN, RECENT_WINDOW,
    REPORT_LAG, SLOW_PROBE_LATENCY,
};
use super::Policy;
use crate::api::{Action, AffinityKey, AttemptOutcome, AttemptStatus, LoadReport, Nanos, Role, ServerId};
use crate::state::{InFlightRequest, Server, TrafficClassKey};

/// Whether a server is to be avoided: unreachable, ejected for all traffic or for this class, or an
/// outlier that already has its single request.
pub(crate) fn is_unhealthy(now: Nanos, server: &Server, traffic: Option<TrafficClassKey>) -> bool {
    let is_ejected = server.ejections.is_ejected(now, None)
        || traffic.is_some() && server.ejections.is_ejected(now, traffic);
    let is_busy_outlier =
        server.latency.ratio() >= OUTLIER_LATENCY_RATIO && server.local_load.awaiting_first_token() > 0;
    server.liveness.is_unreachable() || is_ejected || is_busy_outlier
}

impl Policy {
    /// Ejects a server temporarily, for all traffic or for a class that it rejects or leaves unanswered
    /// while it serves other traffic. A single failure is enough, since a router may send only seldom to
    /// each server.
    pub(super) fn eject(&mut self, id: ServerId, traffic: Option<TrafficClassKey>) {
        let interval = self.traffic.mean_interval(self.now, POPULARITY_SPAN);
        let bounds = ejection_bounds(interval * self.servers.len() as f64);
        if let Some(server) = self.servers.get_mut(id) {
            server.ejections.eject(self.now, traffic, bounds);
        }
    }

    /// Updates the health of a server from the outcome of an attempt.
    pub(super) fn record_health(&mut self, outcome: &AttemptOutcome) {
        let now = self.now;
        let traffic = self.requests.get(outcome.id).map(InFlightRequest::traffic);
        let Some(server) = self.servers.get_mut(outcome.server) else { return };
        let is_answer = outcome.status.is_answer();
        if is_answer {
            server.liveness.record_answer(now, outcome.latency);
        }
        if is_answer || outcome.status == AttemptStatus::Reset {
            server.liveness.record_response(now);
        }
        match outcome.status {
            AttemptStatus::Ok | AttemptStatus::Prefilled => {
                server.liveness.mark_reachable();
                if let Some(traffic) = traffic {
                    server.ejections.record_success(traffic);
                }
            }
            AttemptStatus::Error | AttemptStatus::Unknown => self.eject(outcome.server, None),
            AttemptStatus::Rejected if is_saturated(outcome, server.listing.role) => {
                server.saturated_at = Some(now);
                self.eject(outcome.server, traffic);
            }
            AttemptStatus::Timeout => self.eject(outcome.server, traffic),
            // A probe detects when the server is back. A broken connection alone does not mean that a new
            // process has started, which would be warming up.
            AttemptStatus::ConnectFailed => server.liveness.mark_connection_lost(now),
            AttemptStatus::Reset => server.liveness.mark_unresponsive(now),
            _ => {}
        }
    }

    /// Handles the end of a probe.
    pub(super) fn on_probe_finished(
        &mut self,
        id: ServerId,
        status: AttemptStatus,
        latency: Nanos,
        report: Option<LoadReport>,
    ) {
        let now = self.now;
        let queued_tokens = self.prefill_cost.tokens_within(latency);
        // The debt differs between routers, so that they do not all send to a new process at once.
        let debt = AffinityKey(self.settings.seed).unit_interval(id);
        let Some(server) = self.servers.get_mut(id) else { return };
        server.record_report(now, REPORT_LAG, report, self.prefill_cost.mean_computed_tokens());
        server.liveness.record_probe_finished();
        if status.is_answer() {
            server.liveness.record_answer(now, latency);
        }
        if matches!(status, AttemptStatus::Ok | AttemptStatus::Timeout) {
            record_probe_latency(now, server, latency, queued_tokens);
        }
        match status {
            AttemptStatus::ConnectFailed => {
                server.liveness.mark_connection_lost(now + HEALTH_CHECK_INTERVAL);
            }
            AttemptStatus::Ok => record_probe_success(now, server, latency, debt),
            _ => {}
        }
    }

    /// Probes unreachable servers, or makes them eligible again after a while if probes are not allowed.
    pub(super) fn check_unreachable_servers(&mut self) {
        let now = self.now;
        for server in self.servers.iter_mut() {
            let is_checked = server.listing.is_ready() && server.liveness.is_unreachable();
            if !is_checked || server.liveness.next_probe_at() > now {
                continue;
            }
            if self.settings.can_probe {
                server.liveness.schedule_probe(now + HEALTH_CHECK_INTERVAL);
                self.actions.push(Action::Probe(server.id));
            } else if now >= server.liveness.next_probe_at() + RECENT_WINDOW {
                server.liveness.presume_reachable();
            }
        }
    }
}

/// Whether a rejection indicates saturation. A decode worker may instead have rejected the attempt
/// because its KV cache was missing.
fn is_saturated(outcome: &AttemptOutcome, role: Role) -> bool {
    !outcome.kv_cache_missing || role == Role::Prefill
}

/// Estimates the server's queue from the latency of a probe, which waits in the same queue.
fn record_probe_latency(now: Nanos, server: &mut Server, latency: Nanos, queued_tokens: f64) {
    let peer_tokens = (queued_tokens - server.local_load.queued_prompt_tokens()).max(0.0);
    server.reported_load.record_queue(now, peer_tokens);
    if server.listing.role != Role::Prefill && latency >= SLOW_PROBE_LATENCY {
        server.saturated_at = Some(now);
    }
}

fn record_probe_success(now: Nanos, server: &mut Server, latency: Nanos, debt: f64) {
    if server.liveness.is_connection_lost() {
        // It may be a new process that is not listed yet. It counts as warming up, or all routers would
        // overload it at once.
        server.slow_start.record_recovery(now, debt);
    }
    server.liveness.mark_reachable();
    server.liveness.record_response(now);
    if latency < SLOW_PROBE_LATENCY {
        server.liveness.record_fast_probe(now);
    }
}
