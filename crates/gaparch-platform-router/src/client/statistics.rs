//! Counts of what clients send and of how late they were answered, for the log.

use gaparch_scheduler::counts::write_counts;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The statuses with which a message is rejected before it reaches the owner, and the names in the log summary.
const REJECTIONS: [(u16, &str); 8] = [
    (400, "invalid"),
    (404, "path"),
    (405, "method"),
    (408, "timeout"),
    (409, "conflict"),
    (413, "body_too_long"),
    (431, "head_too_long"),
    (503, "no_memory"),
];

/// Counts of all client connections.
#[derive(Debug, Default)]
pub(crate) struct ClientStatistics {
    health_checks: AtomicU64,
    rejected_messages: [AtomicU64; REJECTIONS.len()],
    /// Responses whose first byte was written after the client's time.
    late_responses: AtomicU64,
    /// Greatest number of messages, since it began, of a connection that carried one since the last summary.
    busiest_connection: AtomicU64,
    /// Longest time that a stream part waited for its client connection since the last summary, in nanoseconds.
    longest_queued: AtomicU64,
}

impl ClientStatistics {
    /// Counts a readiness check.
    pub fn count_health_check(&self) {
        self.health_checks.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a message that was rejected with this status before it reached the owner.
    pub fn count_rejected_message(&self, status: u16) {
        if let Some(index) = REJECTIONS.iter().position(|(known, _)| *known == status) {
            self.rejected_messages[index].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a response whose first byte was written after the client's time.
    pub fn count_late_response(&self) {
        self.late_responses.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a connection has carried this many messages.
    pub fn record_messages(&self, of_connection: u64) {
        self.busiest_connection.fetch_max(of_connection, Ordering::Relaxed);
    }

    /// Records how long a part of a stream waited for its client connection.
    pub fn record_queued(&self, time: Duration) {
        let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        self.longest_queued.fetch_max(nanos, Ordering::Relaxed);
    }

    /// Returns the number of readiness checks.
    pub fn health_checks(&self) -> u64 {
        self.health_checks.load(Ordering::Relaxed)
    }

    /// Returns the number of responses whose first byte was written after the client's time.
    pub fn late_responses(&self) -> u64 {
        self.late_responses.load(Ordering::Relaxed)
    }

    /// Returns the greatest number of messages that a connection has carried since it began, among those that
    /// carried one since the last summary.
    pub fn busiest_connection(&self) -> u64 {
        self.busiest_connection.load(Ordering::Relaxed)
    }

    /// Returns [`ClientStatistics::busiest_connection`], and begins anew.
    pub fn take_busiest_connection(&self) -> u64 {
        self.busiest_connection.swap(0, Ordering::Relaxed)
    }

    /// Returns the longest time that a stream part waited since the last call.
    pub fn take_longest_queued(&self) -> Duration {
        Duration::from_nanos(self.longest_queued.swap(0, Ordering::Relaxed))
    }
}

/// Writes the counts of rejected messages.
impl fmt::Display for ClientStatistics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = REJECTIONS.iter().zip(&self.rejected_messages);
        write_counts(f, counts.map(|((_, name), count)| (*name, count.load(Ordering::Relaxed))))
    }
}
