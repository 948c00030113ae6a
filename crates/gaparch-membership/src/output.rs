//! Effects that the membership core requests from its shell.

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
    /// Store this incarnation on disk; the core does not wait for the write.
    PersistIncarnation {
        /// The incarnation in use.
        incarnation: u64,
    },
    /// The site's limits are divided by this number of routers from now on.
    RouterCount(u32),
    /// Report an event to operators.
    Event(MembershipEvent),
    /// Pass a message of another component on to that component.
    Payload {
        /// The name of the sending member.
        from: String,
        /// The encoded message.
        bytes: Vec<u8>,
    },
}
