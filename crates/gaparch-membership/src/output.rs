//! What the membership core wants done by its shell.

use crate::event::MembershipEvent;
use gaparch_protocol::fleet::Message;
use std::net::SocketAddr;

/// An effect that the shell carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The message, to be sealed with the site's key.
        message: Message,
    },
    /// Store this incarnation on disk; nothing waits for it.
    PersistIncarnation {
        /// The incarnation in use.
        incarnation: u64,
    },
    /// From now on this many routers share the site's limits.
    RouterCount(u32),
    /// Report an event to operators.
    Event(MembershipEvent),
    /// Hand a message to the component that it is for.
    Payload {
        /// The name of the sending member.
        from: String,
        /// The encoded message.
        bytes: Vec<u8>,
    },
}
