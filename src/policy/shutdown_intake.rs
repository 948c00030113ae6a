//! What a router accepts while it shuts down, when it ends requests that have no answer by then, and which
//! connections are closed first to make room for new ones.
//!
//! Times count from the shutdown request. Connections keep arriving for a while after it. A request
//! that is accepted too late may still be in flight when the process is killed, and would be lost.

use crate::api::Nanos;

/// How long connections are accepted: new ones arrive for up to 0.4 s.
pub const ACCEPT_CONNECTIONS_FOR: Nanos = 450_000_000;
/// How long requests are accepted; later ones are rejected. The platform counts from 0.7 s, and a
/// router may be delayed by 0.15 s between reading its clock and its next step.
pub const ACCEPT_REQUESTS_FOR: Nanos = 500_000_000;

/// How long requests that have no answer are waited for, unless a class has a longer deadline. A stream that
/// has begun has no deadline: it ends with its worker, or is cut off when it makes no progress.
const END_UNANSWERED_AFTER: Nanos = 90_000_000_000;

/// Returns when requests that have no answer are ended, if no class has a longer deadline than this.
pub fn end_unanswered_after(longest_deadline: Nanos) -> Nanos {
    END_UNANSWERED_AFTER.max(longest_deadline)
}

/// How many busy connections are closed after their response while a new one finds no place and none is
/// idle. Closing takes some time, in which other new connections wait.
pub const BUSY_CLOSED_AT_ONCE: usize = 16;

/// What a connection without an open request has carried, in the order in which connections are closed
/// to make room. A client that opens a connection for a request sends the request at once, so a
/// connection that has carried nothing is needed least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionHistory {
    /// No request yet.
    Unused,
    /// Answered requests.
    CarriedRequests,
}
