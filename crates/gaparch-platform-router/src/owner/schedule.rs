//! Work that the owner does at fixed intervals, whatever else there is to do.

use std::time::Duration;
use tokio::time::Instant;

/// When periodic work is due. It is first due at once.
#[derive(Debug)]
pub(super) struct Schedule {
    interval: Duration,
    next_at: Instant,
}

impl Schedule {
    pub fn every(interval: Duration) -> Schedule {
        Schedule { interval, next_at: Instant::now() }
    }

    /// When the work is next due.
    pub fn next_at(&self) -> Instant {
        self.next_at
    }

    /// Whether the work is due now. If so, it is next due an interval from now: what was missed is not made up
    /// for.
    pub fn take_due(&mut self, now: Instant) -> bool {
        let is_due = now >= self.next_at;
        if is_due {
            self.next_at = now + self.interval;
        }
        is_due
    }
}
