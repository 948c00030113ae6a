//! What a server that has just started was sent, and may be sent.

use crate::api::Nanos;
use crate::state::{DecayingSum, TokenBucket};

/// Recent work sent to a server, and its budget during slow start; both in mean requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartRecord {
    recovered_at: Nanos,
    recent_work: DecayingSum,
    budget: TokenBucket,
}

impl SlowStartRecord {
    /// A server whose process began just now.
    pub(super) fn in_debt(now: Nanos, debt: f64) -> SlowStartRecord {
        SlowStartRecord { budget: TokenBucket::in_debt(now, debt), ..SlowStartRecord::default() }
    }

    /// When it could be reached again after it could not; 0: it always could.
    pub fn recovered_at(&self) -> Nanos {
        self.recovered_at
    }

    /// It can be reached again: it may be a new process that the list has not named yet.
    pub fn record_recovery(&mut self, now: Nanos, debt: f64) {
        self.recovered_at = now;
        self.budget = TokenBucket::in_debt(now, debt);
    }

    /// Records work that is sent there.
    pub fn record_work(&mut self, now: Nanos, work: f64, time_constant: Nanos) {
        self.recent_work.add(now, work, time_constant);
        self.budget.spend(work);
    }

    /// The work sent there recently, as a decaying sum.
    pub fn recent_work(&self, now: Nanos, time_constant: Nanos) -> f64 {
        self.recent_work.value_at(now, time_constant)
    }

    /// What it may be sent now; below 0 nothing.
    pub fn budget(&self) -> f64 {
        self.budget.tokens()
    }

    /// Adds to its budget what it has earned, without letting it save anything up.
    pub fn refill_budget(&mut self, now: Nanos, per_second: f64) {
        self.budget.refill(now, per_second, 0.0);
    }
}
