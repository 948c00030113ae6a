//! Load probes: which servers are probed before a choice, and their cost budget.

use super::constants::{
    LOAD_INFO_POINTS_PER_REQUEST, LOAD_PROBES_PER_SECOND, POPULARITY_SPAN, RECENT_WINDOW,
};
use super::Policy;
use crate::api::{Action, ServerId};
use crate::state::{Server, NANOS_PER_SECOND};

impl Policy {
    /// Whether a probe of the server is allowed and would give new information.
    pub(super) fn needs_probe(&self, server: &Server) -> bool {
        let is_recent = server.liveness.last_response_at() + RECENT_WINDOW >= self.now;
        self.settings.can_probe && server.liveness.probe_sent_at().is_none() && !is_recent
    }

    /// Probes the servers without a recent response, and returns whether any answer is outstanding. With
    /// many routers, each of them hears too seldom from a server.
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

    /// Cost of a probe in budget points. If there are many servers, it also bounds the probes per second.
    pub(super) fn load_probe_cost(&self) -> f64 {
        if !self.fleet.uses_neighborhoods() {
            return self.settings.probe_cost.max(0.0);
        }
        let interval = self.traffic.mean_interval(self.now, POPULARITY_SPAN).max(1.0);
        let bounding = LOAD_INFO_POINTS_PER_REQUEST * NANOS_PER_SECOND / (interval * LOAD_PROBES_PER_SECOND);
        self.settings.probe_cost.max(bounding)
    }

    /// Probes a server if the budget covers the cost.
    pub(super) fn send_load_probe(&mut self, id: ServerId, cost: f64) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if self.probe_budget.try_spend(cost) {
            server.liveness.record_probe_sent(self.now);
            self.actions.push(Action::Probe(id));
        }
    }
}
