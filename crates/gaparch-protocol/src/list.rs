//! The protocol of the list service, which provides the endpoint list: the engines and their states.
//!
//! `docs/protocols/list.md` specifies it. After the hello, a router subscribes to changes
//! ([`Watch`](ListFrame::Watch)) or fetches the complete list once ([`Fetch`](ListFrame::Fetch)).

use crate::frame::Frame;
use crate::wire::{
    f64_, flag, malformed, many, optional, put_optional, put_short_text, short_text, u16_, u64_, Body, Wire,
};
use bytes::{BufMut, BytesMut};
pub use gaparch_scheduler::api::ServerState;
use winnow::binary::u8;
use winnow::ModalResult;

/// The first version of the protocol, without epochs.
pub const VERSION: u16 = 1;
/// The version of the protocol with epochs: the service states which run of its version counter is in use.
pub const VERSION_EPOCHS: u16 = 2;

/// Which entries an update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The changes since the previous version.
    Delta,
    /// The complete list.
    Full,
}

/// An engine in the endpoint list.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct ListEntry {
    /// The name of the engine.
    pub engine: String,
    /// The address at which it accepts connections.
    pub address: String,
    /// Its kind, to which the settings assign a role.
    pub kind: String,
    /// The zone in which it is located.
    pub zone: String,
    /// The rack in which it is located.
    pub rack: String,
    /// Its state, which determines whether requests are sent to it.
    #[serde(serialize_with = "serialize_state")]
    pub state: ServerState,
    /// Its capacity relative to its peers, if the list states it.
    pub weight: Option<f64>,
    /// When its process last started, in nanoseconds since the Unix epoch, if the list states it.
    pub started_at: Option<u64>,
}

fn serialize_state<S: serde::Serializer>(state: &ServerState, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(match state {
        ServerState::Ready => "ready",
        ServerState::Draining => "draining",
        ServerState::Removed => "gone",
    })
}

/// A frame of the list protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum ListFrame {
    /// The first frame in both directions.
    Hello {
        /// The protocol version of the sender.
        version: u16,
        /// The sender's name.
        name: String,
        /// The run of the service's version counter, from [`VERSION_EPOCHS`] on. It changes whenever the
        /// service starts without stored state. 0 if it is unknown, and in the hello of a router.
        epoch: u64,
    },
    /// Router to service: starts (true) or ends (false) a subscription to changes. It begins with the changes
    /// that the router has missed.
    Watch(bool),
    /// Router to service: requests the complete list once.
    Fetch,
    /// Service to router: the complete list, or changes of it.
    Update {
        /// Which entries it contains.
        scope: Scope,
        /// The version of the list, which increases by one with each change.
        version: u64,
        /// The entries.
        entries: Vec<ListEntry>,
    },
    /// Service to router: a request can't be answered.
    Failed {
        /// The human-readable reason.
        reason: String,
    },
    /// The last frame in either direction.
    Bye {
        /// The human-readable reason why the connection is closed.
        reason: String,
    },
}

const HELLO: u8 = 1;
const WATCH: u8 = 2;
const FETCH: u8 = 3;
const UPDATE: u8 = 4;
const FAILED: u8 = 5;
const BYE: u8 = 63;

impl Frame for ListFrame {
    fn kind(&self) -> u8 {
        match self {
            ListFrame::Hello { .. } => HELLO,
            ListFrame::Watch(_) => WATCH,
            ListFrame::Fetch => FETCH,
            ListFrame::Update { .. } => UPDATE,
            ListFrame::Failed { .. } => FAILED,
            ListFrame::Bye { .. } => BYE,
        }
    }

    fn put_body(&self, out: &mut BytesMut) {
        match self {
            ListFrame::Hello { version, name, epoch } => {
                out.put_u16(*version);
                put_short_text(out, name);
                if *version >= VERSION_EPOCHS {
                    out.put_u64(*epoch);
                }
            }
            ListFrame::Watch(on) => out.put_u8(u8::from(*on)),
            ListFrame::Fetch => {}
            ListFrame::Update { scope, version, entries } => {
                out.put_u8(u8::from(*scope == Scope::Full));
                out.put_u64(*version);
                let count = entries.len().min(usize::from(u16::MAX));
                out.put_u16(count as u16);
                entries.iter().take(count).for_each(|entry| put_entry(out, entry));
            }
            ListFrame::Failed { reason } | ListFrame::Bye { reason } => put_short_text(out, reason),
        }
    }

    fn parse_body(kind: u8, body: &mut &[u8]) -> ModalResult<Self> {
        Ok(match kind {
            HELLO => {
                let version = u16_(body)?;
                let name = short_text(body)?;
                let epoch = if version >= VERSION_EPOCHS { u64_(body)? } else { 0 };
                ListFrame::Hello { version, name, epoch }
            }
            WATCH => ListFrame::Watch(flag(body)?),
            FETCH => ListFrame::Fetch,
            UPDATE => ListFrame::Update {
                scope: if flag(body)? { Scope::Full } else { Scope::Delta },
                version: u64_(body)?,
                entries: many(entry, body)?,
            },
            FAILED => ListFrame::Failed { reason: short_text(body)? },
            BYE => ListFrame::Bye { reason: short_text(body)? },
            _ => return malformed(),
        })
    }
}

fn put_entry(out: &mut BytesMut, entry: &ListEntry) {
    for text in [&entry.engine, &entry.address, &entry.kind, &entry.zone, &entry.rack] {
        put_short_text(out, text);
    }
    out.put_u8(match entry.state {
        ServerState::Ready => 0,
        ServerState::Draining => 1,
        ServerState::Removed => 2,
    });
    put_optional(out, entry.weight, |out, weight| out.put_f64(weight));
    put_optional(out, entry.started_at, |out, at| out.put_u64(at));
}

fn entry(body: &mut Body<'_>) -> ModalResult<ListEntry> {
    Ok(ListEntry {
        engine: short_text(body)?,
        address: short_text(body)?,
        kind: short_text(body)?,
        zone: short_text(body)?,
        rack: short_text(body)?,
        state: match u8(body)? {
            0 => ServerState::Ready,
            1 => ServerState::Draining,
            2 => ServerState::Removed,
            _ => return malformed(),
        },
        weight: optional(f64_)(body)?,
        started_at: optional(u64_)(body)?,
    })
}

/// The encoding is the same as in an update.
impl Wire for ListEntry {
    fn put(&self, out: &mut BytesMut) {
        put_entry(out, self);
    }

    fn take(input: &mut Body<'_>) -> ModalResult<Self> {
        entry(input)
    }
}
