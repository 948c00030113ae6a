//! How much a router may send to a server that is warming up.
//!
//! Routers start with different debts, so that their first requests spread evenly over the time in which one request
//! is earned. The more work a request is, the longer it waits for its first turn, in the same proportion: routers would
//! otherwise all begin with their heaviest requests, and pay for them later.

use crate::api::Nanos;
use crate::state::seconds;

/// A budget in mean requests, which is earned at a rate. A mean request is allowed whenever it is not in debt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlowStartBudget {
    /// What was earned less what was spent. What is above 0 can't be saved for further requests.
    earned: f64,
    /// The debt that it started with, from 0 to 1.
    first_debt: f64,
    refilled_at: Nanos,
}

impl SlowStartBudget {
    /// A budget that starts `debt` below zero.
    pub(super) fn in_debt(now: Nanos, debt: f64) -> SlowStartBudget {
        SlowStartBudget { earned: -debt, first_debt: debt, refilled_at: now }
    }

    /// The balance, at most 0.
    pub(super) fn balance(&self) -> f64 {
        self.earned.min(0.0)
    }

    /// What has to be earned before a request of this work is allowed.
    fn needed_for(&self, work: f64) -> f64 {
        self.first_debt * (work - 1.0)
    }

    /// Whether a request of this work is allowed.
    pub(super) fn allows(&self, work: f64) -> bool {
        self.earned >= self.needed_for(work)
    }

    /// Takes the work of a request; the budget may go into debt.
    pub(super) fn spend(&mut self, work: f64) {
        self.earned = self.earned.min(self.needed_for(work)) - work;
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
