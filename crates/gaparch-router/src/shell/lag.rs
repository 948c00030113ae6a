//! How late the owner task is: the one figure that tells whether a router still keeps its times.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// From here on the owner is late.
const LATE: Duration = Duration::from_millis(10);

/// Written by the owner, read by anyone.
#[derive(Debug, Default)]
pub struct Lag {
    most: AtomicU64,
    late: AtomicU64,
    rounds: AtomicU64,
}

/// The lag since it was last asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LagSummary {
    /// The longest lag.
    pub most: Duration,
    /// Rounds that were late by over 10 ms.
    pub late: u64,
    /// All rounds.
    pub rounds: u64,
}

impl Lag {
    /// One round of the owner, that much after it was due.
    pub(super) fn add(&self, lag: Duration) {
        self.most.fetch_max(u64::try_from(lag.as_nanos()).unwrap_or(u64::MAX), Ordering::Relaxed);
        self.late.fetch_add(u64::from(lag > LATE), Ordering::Relaxed);
        self.rounds.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn take(&self) -> LagSummary {
        LagSummary {
            most: Duration::from_nanos(self.most.swap(0, Ordering::Relaxed)),
            late: self.late.swap(0, Ordering::Relaxed),
            rounds: self.rounds.swap(0, Ordering::Relaxed),
        }
    }
}
