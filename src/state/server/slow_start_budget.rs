//! How much a router may send to a server that is warming up.

use crate::api::Nanos;
use crate::state::seconds;

/// A budget in mean requests, which is earned at a rate and allows one request whenever it is not in debt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlowStartBudget {
    /// What was earned less what was spent. Above 0 it only measures for how long a request has been allowed.
    earned: f64,
    refilled_at: Nanos,
}

impl SlowStartBudget {
    /// A budget that starts `debt` below zero.
    pub(super) fn in_debt(now: Nanos, debt: f64) -> SlowStartBudget {
        SlowStartBudget { earned: -debt, refilled_at: now }
    }

    /// The balance, at most 0.
    pub(super) fn balance(&self) -> f64 {
        self.earned.min(0.0)
    }

    /// Takes the cost of a request; the budget may go into debt.
    pub(super) fn spend(&mut self, cost: f64) {
        self.earned = self.balance() - cost;
    }

    /// Adds what was earned since the last refill. A request that has been allowed for `kept_for` is forfeited: it
    /// costs as much as one that was sent.
    pub(super) fn refill(&mut self, now: Nanos, per_second: f64, kept_for: Option<Nanos>) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.earned += seconds(elapsed) * per_second;
        self.refilled_at = now;
        let Some(kept_for) = kept_for else { return };
        let forfeited_from = seconds(kept_for) * per_second;
        if self.earned >= forfeited_from {
            // As if each request since then had been forfeited in turn.
            self.earned = (self.earned + 1.0).rem_euclid(1.0 + forfeited_from) - 1.0;
        }
    }
}
