//! What a connection that did not come up says, and whether it is tried again at once.
//!
//! A router may have no descriptor, no port or no buffer for a moment. That says nothing of the server that
//! was to be reached: told as a server that could not be reached, it would make all of them look dead, and
//! cold when they are found to be there. The same connection is tried again within its time; only then the
//! attempt has ended.

//!
//! An open connection may fall silent with no error: what is written on it never arrives, and nobody says
//! so. A request for which a server holds something must not wait on that, since only a send that arrives
//! stops the time in which it has to be let go of. Its send goes out on a connection that has just come up;
//! all others may use a kept one.

use crate::api::{AttemptStatus, Nanos};

/// Between two tries where this machine had nothing to connect with.
pub const TRY_AGAIN: Nanos = 5_000_000;

/// Part of a connection's time after which a second one is tried beside it: one that was lost on its way,
/// or is never answered, would else count as a server that can't be reached.
const SECOND_TRY_SHARE: f64 = 0.4;
/// Kept connections to a server on which nothing but probes and releases goes out.
const KEPT_FOR_CALLS: usize = 2;

/// When a second connection is tried beside one that has not come up, of the time that one may take.
pub fn second_try_after(within: Nanos) -> Nanos {
    (within as f64 * SECOND_TRY_SHARE) as Nanos
}

/// What a send has to fear of a connection that was kept since its last use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carries {
    /// Nothing is held for its request: if it does not arrive, time is lost and nothing else.
    NothingHeld,
    /// A server holds what it is to fetch, and for so long only.
    HeldState,
}

impl Carries {
    /// Whether it may go out on a kept connection.
    pub fn may_reuse(self) -> bool {
        self == Carries::NothingHeld
    }

    /// Connections to keep to a server that gets such sends, of `most`.
    pub fn kept(self, most: usize) -> usize {
        match self {
            Carries::NothingHeld => most,
            Carries::HeldState => KEPT_FOR_CALLS.min(most),
        }
    }
}

/// Why there is no connection. Nothing was sent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// This machine had no descriptor, port or buffer for it.
    Local,
    /// This machine knew no way there: for a moment to anybody, or for good to that server.
    NoRoute,
    /// The server refused it, or it did not come up in its time.
    Remote,
}

impl ConnectFailure {
    /// Whether the same connection is to be tried again while its time lasts.
    pub fn is_tried_again(self) -> bool {
        self != ConnectFailure::Remote
    }

    /// What is told of an attempt or a probe that had no connection.
    pub fn status(self) -> AttemptStatus {
        match self {
            ConnectFailure::Local => AttemptStatus::NoSocket,
            ConnectFailure::NoRoute | ConnectFailure::Remote => AttemptStatus::ConnectFailed,
        }
    }
}
