//! Why client connections closed, for the log.

use gaparch_scheduler::counts::write_counts;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why a client connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The client closed it or stopped reading, with no request open.
    ClientIdle,
    /// The client closed it or stopped reading, with a request open.
    ClientDisconnected,
    /// It was idle, and its descriptor was needed or the router was shutting down.
    IdleClosed,
    /// It had answered a request, its descriptor was needed and no connection was idle.
    BusyClosed,
    /// Its last response announced the close.
    ResponseComplete,
    /// A stream broke off. Closing the connection without the last chunk tells the client so.
    StreamBroken,
    /// A message from the client was rejected before it reached the owner: it was malformed, invalid or not
    /// complete in time, or its transaction id was in use.
    BadMessage,
}

impl CloseReason {
    const ALL: [CloseReason; 7] = [
        CloseReason::ClientIdle,
        CloseReason::ClientDisconnected,
        CloseReason::IdleClosed,
        CloseReason::BusyClosed,
        CloseReason::ResponseComplete,
        CloseReason::StreamBroken,
        CloseReason::BadMessage,
    ];

    /// Returns the name used in the log summary.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClientIdle => "client_idle",
            CloseReason::ClientDisconnected => "client_disconnected",
            CloseReason::IdleClosed => "idle_closed",
            CloseReason::BusyClosed => "busy_closed",
            CloseReason::ResponseComplete => "response_complete",
            CloseReason::StreamBroken => "stream_broken",
            CloseReason::BadMessage => "bad_message",
        }
    }
}

/// Counts of closed client connections by reason.
#[derive(Debug, Default)]
pub(crate) struct CloseCounts {
    counts: [AtomicU64; CloseReason::ALL.len()],
}

impl CloseCounts {
    /// Counts and logs a closed connection that has carried this many messages.
    pub fn count(&self, reason: CloseReason, messages: u64) {
        tracing::debug!(target: "gaparch_platform_router::client", ?reason, messages, "connection closed");
        self.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
    }
}

impl fmt::Display for CloseCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = |reason| self.counts[reason as usize].load(Ordering::Relaxed);
        write_counts(f, CloseReason::ALL.into_iter().map(|reason| (reason.name(), count(reason))))
    }
}

#[cfg(test)]
#[path = "close_reason_tests.rs"]
mod tests;
