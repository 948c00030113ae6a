//! Slow start: what a server that has just started may be sent.

use super::constants::*;
use super::Policy;
use crate::state::*;

impl Policy {
    pub(crate) fn cold(&self, s: &Server) -> bool {
        s.began_at() > 0 && self.now < s.began_at().saturating_add(self.set.slow_start_duration)
    }

    /// Rule 4, kept by each router alone: a part of what it sends to a warm peer; debts differ at the start.
    pub(crate) fn cold_budget_allows(&self, s: &Server) -> bool {
        !self.cold(s) || s.budget.level >= 0.0
    }

    pub(super) fn fill_cold_budgets(&mut self) {
        let (now, span_s) = (self.now, PEER_SPAN as f64 / 1e9);
        let floor =
            COLD_FLOOR / (self.set.overload_window as f64 / 1e9).max(0.1) / f64::from(self.set.router_count);
        let part = (self.set.overload_factor * self.set.slow_start_speed).min(1.0);
        // Servers of a kind are of one size, and where weights differ they tell of smaller ones.
        let rate = |s: &Server| s.sent.get(now, PEER_SPAN) / span_s;
        let warm = warm_by_kind(&self.servers, self.usual.len(), |s| !self.cold(s), rate);
        for ((usual, weight), warm) in self.usual.iter_mut().zip(warm) {
            *weight = warm.weight.unwrap_or(*weight);
            let peers = warm.rate.unwrap_or(usual.value);
            usual.follow(now, peers, PEER_SPAN);
            let rate = peers.max(usual.value) * part;
            let size = |s: &Server| (s.weight / *weight).min(1.0);
            self.servers.change_at(&warm.cold, |s| s.budget.fill(now, (rate * size(s)).max(floor), 0.0));
        }
    }
}
