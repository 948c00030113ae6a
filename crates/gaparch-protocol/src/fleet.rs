//! The datagrams of the membership protocol between the routers of a site.
//!
//! A datagram consists of a header (`gF` and the version), the body of one [`Message`], and an authentication
//! tag over both. `docs/protocols/fleet.md` specifies it. `gaparch-membership`, which owns the site's key,
//! adds and verifies the tag; this module only encodes and decodes.

use crate::wire::{choice, closed_set, record, Wire};
use bytes::{BufMut, BytesMut};
use thiserror::Error;

/// The protocol version. A datagram of another version is dropped and counted.
pub const VERSION: u8 = 1;
/// The maximum size of a datagram in bytes, including the tag. Common links carry it without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The maximum length in bytes of a name, zone, build or address.
pub const MAX_NAME_BYTES: usize = 64;

const MAGIC: [u8; 2] = *b"gF";

closed_set! {
    /// The state of a member as another member sees it.
    pub enum MemberState {
        /// It has sent a heartbeat that no later suspicion disputes.
        Alive = 1, "alive";
        /// It did not answer the probes of a member, and no later heartbeat is known.
        Suspect = 2, "suspect";
        /// It remained suspect for the whole suspicion timeout.
        Dead = 3, "dead";
        /// It announced that it leaves.
        Left = 4, "left";
    }
}

record! {
    /// A member as it describes itself.
    #[derive(Eq)]
    pub struct MemberInfo {
        /// The router's name, unique within the site.
        pub name: String,
        /// The zone that the router runs in.
        pub zone: String,
        /// The version of the router's program.
        pub build: String,
        /// The socket address at which datagrams reach it.
        pub address: String,
        /// A random number drawn by each process, which distinguishes two processes of the same name.
        #[serde(rename = "run")]
        pub run_id: u64,
        /// Increases with each start under the same name, and beyond any higher incarnation that other
        /// members have seen.
        pub incarnation: u64,
        /// Milliseconds from the start of the process to its last message, by its own monotonic clock. It is
        /// advanced past the heartbeat of a suspicion, so that a refutation is always newer than what it
        /// refutes.
        #[serde(rename = "beat")]
        pub heartbeat: u64,
    }
}

choice! {
    /// A piece of membership state, which members disseminate by piggybacking it on their messages.
    pub enum Update {
        /// The state of one member.
        1 => Member {
            /// The member as it last described itself.
            #[serde(rename = "facts")]
            info: MemberInfo,
            /// The claimed state.
            state: MemberState,
            /// The member that suspects it or declared it dead; empty if it is alive.
            #[serde(rename = "by")]
            reporter: String,
            /// For a suspect or dead member: the latest heartbeat that the reporter knows of.
            #[serde(rename = "silent")]
            last_heartbeat: u64,
        },
        /// A link that fails in one direction, or works again, as reported by its receiving end.
        #[serde(rename = "edge")]
        2 => Link {
            /// The sending end of the link.
            from: String,
            /// The receiving end, which reports it.
            to: String,
            /// Whether messages from `from` do not reach `to`, although they reach other members.
            #[serde(rename = "lost")]
            failed: bool,
            /// The incarnation of `to` at the time of the report.
            incarnation: u64,
            /// The heartbeat of `to` at the time of the report.
            #[serde(rename = "beat")]
            heartbeat: u64,
        },
    }
}

choice! {
    /// The body of a message, by its purpose.
    pub enum MessageBody {
        /// Requests an [`Ack`](MessageBody::Ack), which shows that the receiver is alive.
        1 => Ping {
            /// Identifies the ping in the answer.
            nonce: u64,
        },
        /// Answers a ping.
        2 => Ack {
            /// The nonce of the ping.
            nonce: u64,
        },
        /// Requests that the receiver pings another member and forwards its answer (SWIM's ping-req).
        #[serde(rename = "ping-for")]
        3 => PingRequest {
            /// Identifies the request in the answer.
            nonce: u64,
            /// The name of the member to ping.
            target: String,
            /// The address of that member.
            address: String,
        },
        /// Answers a ping request whose target did not reply in time (Lifeguard's nack).
        4 => Nack {
            /// The nonce of the ping request.
            nonce: u64,
        },
        /// Requests the state of all members after a name, in the order of their names.
        #[serde(rename = "want")]
        5 => SyncRequest {
            /// The name after which the page starts; empty to start with the first member.
            after: String,
        },
        /// Answers a sync request. The updates of the message contain the members.
        #[serde(rename = "page")]
        6 => SyncPage {
            /// The `after` of the request.
            after: String,
            /// The name after which the next page starts; `None` on the last page.
            next: Option<String>,
        },
        /// A message of another component. A router that can't decode it drops it.
        #[serde(rename = "talk")]
        7 => Payload {
            /// The encoded message.
            bytes: Vec<u8>,
        },
    }
}

record! {
    /// A message from one member to another.
    pub struct Message {
        /// The sender.
        pub from: MemberInfo,
        /// The name of the receiver; empty if the sender knows only its address.
        pub to: String,
        /// Increases by one with each message of a process.
        pub seq: u64,
        /// The number of members from which the sender has received messages recently.
        #[serde(rename = "hears")]
        pub direct_peers: u16,
        /// The body of the message.
        #[serde(rename = "word")]
        pub body: MessageBody,
        /// Piggybacked membership state.
        #[serde(rename = "news")]
        pub updates: Vec<Update>,
    }
}

/// The reason why bytes are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// They belong to another protocol, or are truncated or otherwise malformed.
    #[error("malformed message")]
    Malformed,
    /// They belong to another version of the protocol.
    #[error("unsupported protocol version {0}")]
    UnsupportedVersion(u8),
}

impl Message {
    /// Encodes header and body, without the authentication tag.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = BytesMut::with_capacity(256);
        out.put_slice(&MAGIC);
        out.put_u8(VERSION);
        self.put(&mut out);
        out.to_vec()
    }

    /// Decodes header and body.
    ///
    /// # Errors
    /// If the bytes are not exactly one valid message of this version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Message, DecodeError> {
        let (header, rest) = bytes.split_first_chunk::<3>().ok_or(DecodeError::Malformed)?;
        if header[..2] != MAGIC {
            return Err(DecodeError::Malformed);
        }
        if header[2] != VERSION {
            return Err(DecodeError::UnsupportedVersion(header[2]));
        }
        let mut body = rest;
        let message = Message::take(&mut body).map_err(|_| DecodeError::Malformed)?;
        if !body.is_empty() || !message.is_valid() {
            return Err(DecodeError::Malformed);
        }
        Ok(message)
    }

    fn is_valid(&self) -> bool {
        self.from.is_valid()
            && self.to.len() <= MAX_NAME_BYTES
            && self.body.is_valid()
            && self.updates.iter().all(Update::is_valid)
    }
}

impl MessageBody {
    fn is_valid(&self) -> bool {
        match self {
            MessageBody::PingRequest { target, address, .. } => {
                is_name(target) && address.len() <= MAX_NAME_BYTES
            }
            MessageBody::SyncRequest { after } | MessageBody::SyncPage { after, .. } => {
                after.len() <= MAX_NAME_BYTES
            }
            MessageBody::Payload { bytes } => bytes.len() <= MAX_DATAGRAM_BYTES,
            MessageBody::Ping { .. } | MessageBody::Ack { .. } | MessageBody::Nack { .. } => true,
        }
    }
}

impl Update {
    fn is_valid(&self) -> bool {
        match self {
            Update::Member { info, reporter, .. } => info.is_valid() && reporter.len() <= MAX_NAME_BYTES,
            Update::Link { from, to, .. } => is_name(from) && is_name(to),
        }
    }
}

fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

impl MemberInfo {
    /// Whether all strings have a valid length and the address is a socket address.
    pub fn is_valid(&self) -> bool {
        is_name(&self.name)
            && self.zone.len() <= MAX_NAME_BYTES
            && self.build.len() <= MAX_NAME_BYTES
            && self.address.parse::<std::net::SocketAddr>().is_ok()
    }
}

/// The size of an encoded value in bytes.
pub fn encoded_length<T: Wire>(value: &T) -> usize {
    let mut out = BytesMut::new();
    value.put(&mut out);
    out.len()
}
