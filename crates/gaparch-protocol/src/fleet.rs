//! The datagrams of the membership protocol between the routers of a site.
//!
//! A datagram is a head (`gF`, version), the body of one [`Message`], and an authentication tag over both.
//! `docs/protocols/fleet.md` describes it. The tag is made and checked by `gaparch-membership`, which owns
//! the site's key; this module only encodes and decodes.

use crate::wire::{choice, closed_set, record, Wire};
use bytes::{BufMut, BytesMut};
use thiserror::Error;

/// The protocol version spoken here. A datagram of another version is dropped and counted.
pub const VERSION: u8 = 1;
/// The longest datagram in bytes, tag included, so that common links carry it without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The longest name, zone or build in bytes.
pub const MAX_NAME_BYTES: usize = 64;

const HEAD: [u8; 2] = *b"gF";

closed_set! {
    /// The state of a member as another member sees it.
    pub enum MemberState {
        /// It has given a sign of life that nobody has disputed since.
        Alive = 1, "alive";
        /// It did not answer whoever probed it, and no later sign of life is known.
        Suspect = 2, "suspect";
        /// It was suspected for the whole suspicion timeout.
        Dead = 3, "dead";
        /// It said itself that it leaves.
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
        /// A random number drawn by each process, which distinguishes two processes of one name.
        #[serde(rename = "run")]
        pub run_id: u64,
        /// Grows with each start of the same name, and past any higher one that other members have witnessed.
        pub incarnation: u64,
        /// Milliseconds since the process began, by its own monotonic clock, when it last sent a message. It
        /// is pushed forward past the heartbeat of an accusation, so that a refutation is always newer than
        /// what it refutes.
        #[serde(rename = "beat")]
        pub heartbeat: u64,
    }
}

choice! {
    /// A piece of membership state that members disseminate on the back of their messages.
    pub enum Update {
        /// The state of one member.
        1 => Member {
            /// The member as it last described itself.
            #[serde(rename = "facts")]
            info: MemberInfo,
            /// The state that is claimed.
            state: MemberState,
            /// Who suspects it, or has declared it dead; empty for a member that is alive.
            #[serde(rename = "by")]
            reporter: String,
            /// For a suspect or dead member: the reporter knows of no heartbeat later than this one.
            #[serde(rename = "silent")]
            last_heartbeat: u64,
        },
        /// A link that fails in one direction (or works again), as its receiving end says.
        #[serde(rename = "edge")]
        2 => Link {
            /// The sending end of the link.
            from: String,
            /// The receiving end, which says so.
            to: String,
            /// Whether messages of `from` do not reach `to`, though they reach other members.
            #[serde(rename = "lost")]
            failed: bool,
            /// The incarnation of `to` when it said so.
            incarnation: u64,
            /// The heartbeat of `to` when it said so.
            #[serde(rename = "beat")]
            heartbeat: u64,
        },
    }
}

choice! {
    /// What a message is for.
    pub enum MessageBody {
        /// Asks for a sign of life.
        1 => Ping {
            /// Identifies the ping in its answer.
            nonce: u64,
        },
        /// Answers a ping.
        2 => Ack {
            /// The nonce of the ping.
            nonce: u64,
        },
        /// Asks the receiver to ping another member and to pass its answer on (SWIM's ping-req).
        #[serde(rename = "ping-for")]
        3 => PingRequest {
            /// The nonce that the answer repeats.
            nonce: u64,
            /// The name of the member to ping.
            target: String,
            /// The address of that member.
            address: String,
        },
        /// Answers a ping request whose target did not answer in time (Lifeguard's nack).
        4 => Nack {
            /// The nonce of the ping request.
            nonce: u64,
        },
        /// Asks for the state of all members after a name, in the order of names.
        #[serde(rename = "want")]
        5 => SyncRequest {
            /// The name after which to begin; empty for all members.
            after: String,
        },
        /// Answers a synchronization request; the members stand in the message's updates.
        #[serde(rename = "page")]
        6 => SyncPage {
            /// The name of the request.
            after: String,
            /// Where the next page begins; `None` on the last one.
            next: Option<String>,
        },
        /// A message of another component; a router that cannot decode it drops it.
        #[serde(rename = "talk")]
        7 => Payload {
            /// The encoded message.
            bytes: Vec<u8>,
        },
    }
}

record! {
    /// One message between two members.
    pub struct Message {
        /// The sender.
        pub from: MemberInfo,
        /// The name of the receiver; empty where the sender knows its address only.
        pub to: String,
        /// Grows by one with each message of a process.
        pub seq: u64,
        /// The number of members from which the sender has received messages of late.
        #[serde(rename = "hears")]
        pub direct_peers: u16,
        /// What the message is for.
        #[serde(rename = "word")]
        pub body: MessageBody,
        /// Disseminated state.
        #[serde(rename = "news")]
        pub updates: Vec<Update>,
    }
}

/// Why bytes are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// They are of another protocol, cut short or otherwise malformed.
    #[error("malformed message")]
    Malformed,
    /// They are of a protocol version that is not known here.
    #[error("unsupported protocol version {0}")]
    UnsupportedVersion(u8),
}

impl Message {
    /// Encodes head and body, without the authentication tag.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = BytesMut::with_capacity(256);
        out.put_slice(&HEAD);
        out.put_u8(VERSION);
        self.put(&mut out);
        out.to_vec()
    }

    /// Decodes head and body.
    ///
    /// # Errors
    /// When the bytes are not exactly one message of this version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Message, DecodeError> {
        let (head, rest) = bytes.split_first_chunk::<3>().ok_or(DecodeError::Malformed)?;
        if head[..2] != HEAD {
            return Err(DecodeError::Malformed);
        }
        if head[2] != VERSION {
            return Err(DecodeError::UnsupportedVersion(head[2]));
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
    /// Whether every text has a valid length and the address is a socket address.
    pub fn is_valid(&self) -> bool {
        is_name(&self.name)
            && self.zone.len() <= MAX_NAME_BYTES
            && self.build.len() <= MAX_NAME_BYTES
            && self.address.parse::<std::net::SocketAddr>().is_ok()
    }
}

/// The number of bytes that a value takes on the wire.
pub fn encoded_length<T: Wire>(value: &T) -> usize {
    let mut out = BytesMut::new();
    value.put(&mut out);
    out.len()
}
