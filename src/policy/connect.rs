//! What a connection that did not come up says, whether it is retried at once, and what may go out
//! on an idle one.
//!
//! A router may have no descriptor, no port or no buffer for a moment. That says nothing of the
//! server that was to be reached: taken for a server that could not be reached, it would make all
//! of them look dead, and warming up when they are found to be there. The same connection is
//! retried within its time; only then the attempt has ended.
//!
//! An open connection may fall silent without an error: what is written on it never arrives, and
//! nobody says so. A request whose KV cache a server holds must not wait on that, since only a send
//! that arrives stops the time in which it has to be released. Its send goes out on a connection
//! that has just come up; all others may use an idle one.

use crate::api::{AttemptStatus, Nanos};

/// The time between two attempts to connect where this machine had nothing to connect with.
pub const RETRY_INTERVAL: Nanos = 5_000_000;

/// The share of a connection's time after which a second one is opened beside it: one that was lost
/// on its way, or is never answered, would else count as a server that can't be reached.
const HEDGE_FRACTION: f64 = 0.4;
/// Idle connections to a server on which nothing but probes and releases goes out.
const IDLE_FOR_CONTROL: usize = 2;

/// The time after which a second connection is opened beside one that has not come up, of the time
/// that one may take.
pub fn hedge_connection_after(connect_timeout: Nanos) -> Nanos {
    (connect_timeout as f64 * HEDGE_FRACTION) as Nanos
}

/// What is lost if a send does not arrive on an idle connection that passes nothing any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRisk {
    /// No KV cache is held for its request: time is lost and nothing else.
    TimeOnly,
    /// A server holds the KV cache that it is to fetch, and for so long only.
    HeldKvCache,
}

impl SendRisk {
    /// Whether it may go out on an idle connection.
    pub fn may_reuse_connection(self) -> bool {
        self == SendRisk::TimeOnly
    }

    /// The idle connections to keep to a server that gets such sends, of `most`.
    pub fn idle_connections(self, most: usize) -> usize {
        match self {
            SendRisk::TimeOnly => most,
            SendRisk::HeldKvCache => IDLE_FOR_CONTROL.min(most),
        }
    }
}

/// Why there is no connection. Nothing was sent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// This machine had no descriptor, port or buffer for it.
    Local,
    /// This machine had no route there: for a moment to anybody, or for good to that server.
    NoRoute,
    /// The server refused it, or it did not come up in its time.
    Remote,
}

impl ConnectFailure {
    /// Whether the same connection is to be retried while its time lasts.
    pub fn is_retryable(self) -> bool {
        self != ConnectFailure::Remote
    }

    /// The status of an attempt or a probe that had no connection.
    pub fn status(self) -> AttemptStatus {
        match self {
            ConnectFailure::Local => AttemptStatus::NoSocket,
            ConnectFailure::NoRoute | ConnectFailure::Remote => AttemptStatus::ConnectFailed,
        }
    }
}
