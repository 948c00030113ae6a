//! Why connections of clients have ended, for the log and the summary.

use gaparch_scheduler::counts::write_counts;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why a client's connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The client closed it, or takes nothing any more, with no request open.
    ClientIdle,
    /// The same with a request open: it has left.
    ClientLeft,
    /// It rested, and its place was wanted or the router ends.
    Rested,
    /// Its answer said that it would close.
    Answered,
    /// A stream broke, which its end without the last chunk says.
    StreamBroke,
    /// Its message could not be taken.
    BadMessage,
}

impl CloseReason {
    const ALL: [CloseReason; 6] = [
        CloseReason::ClientIdle,
        CloseReason::ClientLeft,
        CloseReason::Rested,
        CloseReason::Answered,
        CloseReason::StreamBroke,
        CloseReason::BadMessage,
    ];

    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClientIdle => "client_idle",
            CloseReason::ClientLeft => "client_left",
            CloseReason::Rested => "rested",
            CloseReason::Answered => "answered",
            CloseReason::StreamBroke => "stream_broke",
            CloseReason::BadMessage => "bad_message",
        }
    }
}

/// How many connections of clients have ended, by reason.
#[derive(Debug, Default)]
pub(crate) struct Closes {
    counts: [AtomicU64; CloseReason::ALL.len()],
}

impl Closes {
    pub fn count(&self, reason: CloseReason) {
        tracing::debug!(target: "gaparch_platform_router::client", why = reason.name(), "closed");
        self.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
    }
}

impl fmt::Display for Closes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = |reason| self.counts[reason as usize].load(Ordering::Relaxed);
        write_counts(f, CloseReason::ALL.into_iter().map(|reason| (reason.name(), count(reason))))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reasons_that_occurred_are_told_with_their_counts() {
        let closes = Closes::default();
        assert_eq!(closes.to_string(), "");
        closes.count(CloseReason::StreamBroke);
        closes.count(CloseReason::ClientLeft);
        closes.count(CloseReason::ClientLeft);
        assert_eq!(closes.to_string(), "client_left=2,stream_broke=1");
    }
}
