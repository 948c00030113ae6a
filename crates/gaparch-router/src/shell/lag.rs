//! Measures how late a task runs. While the lag is low, the router keeps its deadlines and timers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A round with more lag than this counts as late.
const LATE_THRESHOLD: Duration = Duration::from_millis(10);

/// Lag statistics, written by the measured task and read from any task.
#[derive(Debug, Default)]
pub struct Lag {
    max_nanos: AtomicU64,
    late: AtomicU64,
    rounds: AtomicU64,
}

/// The lag since the last summary was taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LagSummary {
    /// The longest lag.
    pub max: Duration,
    /// Rounds with a lag over 10 ms.
    pub late: u64,
    /// All rounds that were recorded.
    pub rounds: u64,
}

impl Lag {
    /// Records a round that began or finished this long after it was due.
    pub fn record(&self, lag: Duration) {
        self.max_nanos.fetch_max(u64::try_from(lag.as_nanos()).unwrap_or(u64::MAX), Ordering::Relaxed);
        self.late.fetch_add(u64::from(lag > LATE_THRESHOLD), Ordering::Relaxed);
        self.rounds.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the statistics and resets them.
    pub fn take(&self) -> LagSummary {
        LagSummary {
            max: Duration::from_nanos(self.max_nanos.swap(0, Ordering::Relaxed)),
            late: self.late.swap(0, Ordering::Relaxed),
            rounds: self.rounds.swap(0, Ordering::Relaxed),
        }
    }
}
