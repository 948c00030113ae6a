//! Which servers are probed before a choice, and what that may cost.

use super::constants::{INFORMATION_POINTS, LOAD_PROBES_PER_SECOND, POPULARITY_SPAN, RECENT};
use super::Policy;
use crate::api::{Action, ServerId};
use crate::state::{Server, NANOS_PER_SECOND};

impl Policy {
    /// Whether a probe would say something new of a server, and probes are allowed.
    pub(super) fn needs_probe(&self, server: &Server) -> bool {
        let is_recent = server.liveness.last_response_at() + RECENT >= self.now;
        self.settings.can_probe && server.liveness.probe_sent_at().is_none() && !is_recent
    }

    /// Probes those not heard from lately, as many routers hear too seldom; whether an answer is
    /// awaited.
    pub(super) fn probe_loads(&mut self, ids: &[ServerId]) -> bool {
        let cost = self.load_probe_cost();
        for id in ids {
            if self.servers.get(*id).is_some_and(|server| self.needs_probe(server)) {
                self.send_load_probe(*id, cost);
            }
        }
        let awaits_answer = |server: &Server| server.liveness.probe_sent_at().is_some();
        ids.iter().any(|id| self.servers.get(*id).is_some_and(awaits_answer))
    }

    /// The cost of a probe in points; where there are many servers it bounds their number in a
    /// second.
    pub(super) fn load_probe_cost(&self) -> f64 {
        if !self.fleet.uses_neighborhoods() {
            return self.settings.probe_cost.max(0.0);
        }
        let interval = self.traffic.mean_interval(self.now, POPULARITY_SPAN).max(1.0);
        let bounding = INFORMATION_POINTS * NANOS_PER_SECOND / (interval * LOAD_PROBES_PER_SECOND);
        self.settings.probe_cost.max(bounding)
    }

    /// Probes a server if the budget allows it.
    pub(super) fn send_load_probe(&mut self, id: ServerId, cost: f64) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if self.probe_budget.try_spend(cost) {
            server.liveness.record_probe_sent(self.now);
            self.actions.push(Action::Probe(id));
        }
    }
}
