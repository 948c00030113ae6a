//! What a router accepts while it shuts down, and which connection makes room for another.
//!
//! Times count from when the router was told to shut down. Connections go on arriving for a while
//! then; what is accepted late could still be under way when the process is killed, and would be
//! lost.

use crate::api::Nanos;

/// The time for which connections are accepted: new ones arrive for up to 0.4 s.
pub const ACCEPT_CONNECTIONS_FOR: Nanos = 450_000_000;
/// The time after which a request is rejected. The platform counts from 0.7 s, and a router may be
/// held up for 0.15 s between its clock and its next step.
pub const ACCEPT_REQUESTS_FOR: Nanos = 500_000_000;

/// What a connection without an open request has carried, in the order in which they make room for
/// others. A client that opens one for a request sends it at once: a connection that has carried
/// nothing is needed least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionHistory {
    /// Nothing yet.
    Unused,
    /// Requests that were answered.
    CarriedRequests,
}
