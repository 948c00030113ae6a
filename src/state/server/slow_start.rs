//! The work that a server completes, and its budget while it is warming up.

use super::SlowStartBudget;
use crate::api::Nanos;
use crate::state::DecayingSum;

/// Recent work that a server completed, and its budget during slow start, both in units of the mean request.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartRecord {
    recovered_at: Nanos,
    completed_work: DecayingSum,
    budget: SlowStartBudget,
    budget_per_second: f64,
    sent_attempts: u32,
    sent_work: f64,
}

impl SlowStartRecord {
    /// The record of a server whose process has just started.
    pub(super) fn in_debt(now: Nanos, debt: f64) -> SlowStartRecord {
        SlowStartRecord { budget: SlowStartBudget::in_debt(now, debt), ..SlowStartRecord::default() }
    }

    /// When it last became reachable again after a failed connection; 0 if never.
    pub fn recovered_at(&self) -> Nanos {
        self.recovered_at
    }

    /// Records that the server is reachable again: it may be a new process that the endpoint list does not
    /// show yet.
    pub fn record_recovery(&mut self, now: Nanos, debt: f64) {
        self.recovered_at = now;
        self.budget = SlowStartBudget::in_debt(now, debt);
        self.sent_attempts = 0;
        self.sent_work = 0.0;
    }

    /// Records work sent to the server.
    pub fn record_sent(&mut self, work: f64) {
        self.budget.spend(work);
        self.sent_attempts = self.sent_attempts.saturating_add(1);
        self.sent_work += work;
    }

    /// The attempts sent since its process started, or was first listed.
    pub fn sent_attempts(&self) -> u32 {
        self.sent_attempts
    }

    /// The work of these attempts.
    pub fn sent_work(&self) -> f64 {
        self.sent_work
    }

    /// The rate at which its budget was last refilled.
    pub fn budget_per_second(&self) -> f64 {
        self.budget_per_second
    }

    /// Records work that the server has completed, or started to stream.
    pub fn record_completed(&mut self, now: Nanos, work: f64, time_constant: Nanos) {
        self.completed_work.add(now, work, time_constant);
    }

    /// The work that the server completed recently, as a decaying sum.
    pub fn completed_work(&self, now: Nanos, time_constant: Nanos) -> f64 {
        self.completed_work.value_at(now, time_constant)
    }

    /// The balance of its budget, at most 0. While it is negative, a server that is warming up may not be
    /// sent anything.
    pub fn budget(&self) -> f64 {
        self.budget.balance()
    }

    /// Whether its budget allows a request of this work.
    pub fn allows(&self, work: f64) -> bool {
        self.budget.allows(work)
    }

    /// Adds earned budget. It can't be saved for more than one request. A request that the budget has allowed
    /// for `kept_for` without being sent is forfeited; `None`: never.
    pub fn refill_budget(&mut self, now: Nanos, per_second: f64, kept_for: Option<Nanos>) {
        self.budget.refill(now, per_second, kept_for);
        self.budget_per_second = per_second;
    }
}
