//! What a failed connection means, whether it is retried at once, and which requests may use an idle
//! connection.
//!
//! A router may briefly run out of descriptors, ports or buffers. That says nothing about the server:
//! if it counted as an unreachable server, all servers would look dead, and would count as warming up
//! once they are reachable again. The connection is therefore retried within its timeout; the attempt
//! ends only after that.
//!
//! An open connection may stop delivering data without an error. A request whose KV cache is held by
//! a server must not wait on such a connection, since only a send that arrives stops the KV release
//! time. It is sent on a fresh connection; all other requests may use an idle one.

use crate::api::{AttemptStatus, Nanos};

/// Interval between connection attempts after a failure that is [retryable](ConnectFailure::is_retryable).
pub const RETRY_INTERVAL: Nanos = 5_000_000;

/// Fraction of the connect timeout after which a second connection is opened in parallel. Without it,
/// a lost or unanswered connection request would make the server count as unreachable.
const HEDGE_FRACTION: f64 = 0.4;
/// Maximum idle connections to a server that are kept only for probes and releases.
const IDLE_CONNECTIONS_FOR_CONTROL: usize = 2;

/// Time after which a second connection is opened in parallel to one that is not established yet.
pub fn hedge_connection_after(connect_timeout: Nanos) -> Nanos {
    (connect_timeout as f64 * HEDGE_FRACTION) as Nanos
}

/// What is lost if a send does not arrive because its idle connection no longer delivers data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRisk {
    /// Only time: no KV cache is held for the request.
    TimeOnly,
    /// The KV cache of the request, which a server holds only for a limited time.
    HeldKvCache,
}

impl SendRisk {
    /// Whether the send may use an idle connection.
    pub fn may_reuse_connection(self) -> bool {
        self == SendRisk::TimeOnly
    }

    /// How many idle connections to keep to a server that gets such sends, at most `most`.
    pub fn idle_connections(self, most: usize) -> usize {
        match self {
            SendRisk::TimeOnly => most,
            SendRisk::HeldKvCache => IDLE_CONNECTIONS_FOR_CONTROL.min(most),
        }
    }
}

/// Why a connection could not be established. Nothing was sent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The local machine had no descriptor, port or buffer for it.
    Local,
    /// The local machine had no route to the server: either a short outage of all routes, or a
    /// permanent failure of this one.
    NoRoute,
    /// The server refused the connection, or it was not established within its timeout.
    Remote,
}

impl ConnectFailure {
    /// Whether the connection is retried within its timeout.
    pub fn is_retryable(self) -> bool {
        self != ConnectFailure::Remote
    }

    /// The status of an attempt or a probe that failed for this reason.
    pub fn status(self) -> AttemptStatus {
        match self {
            ConnectFailure::Local => AttemptStatus::NoSocket,
            ConnectFailure::NoRoute | ConnectFailure::Remote => AttemptStatus::ConnectFailed,
        }
    }
}
