//! What a connection that did not come up says, and whether it is tried again at once.
//!
//! A router may have no descriptor, no port or no buffer for a moment. That says nothing of the server that
//! was to be reached: told as a server that could not be reached, it would make all of them look dead, and cold when
//! they are found to be there. The same connection is tried again within its time; only then the attempt has ended.

use crate::api::{Nanos, Status};

/// Between two tries where this machine had nothing to connect with.
pub const TRY_AGAIN: Nanos = 5_000_000;

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
    pub fn status(self) -> Status {
        match self {
            ConnectFailure::Local => Status::NoSocket,
            ConnectFailure::NoRoute | ConnectFailure::Remote => Status::ConnectFailed,
        }
    }
}
