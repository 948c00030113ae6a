//! The protocol of the list service: which engines there are, and in what state.
//!
//! `docs/protocols/list.md` describes it. A router says hello, then asks to be told of changes
//! ([`Watch`](ListFrame::Watch)) or for the whole list once ([`Fetch`](ListFrame::Fetch)).

use crate::frame::Frame;
use crate::wire::{
    f64_, flag, malformed, many, optional, put_optional, put_short_text, short_text, u16_, u64_, Body, Wire,
};
use bytes::{BufMut, BytesMut};
pub use gaparch_scheduler::api::ServerState;
use winnow::binary::u8;
use winnow::ModalResult;

/// The first version, in which a service does not say which run of it this is.
pub const VERSION: u16 = 1;
/// The version in which it does.
pub const VERSION_EPOCHS: u16 = 2;

/// How a list is to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Changes to the list held.
    Delta,
    /// The whole list.
    Full,
}

/// One engine as the list knows it. Texts name what the settings name.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct ListEntry {
    pub engine: String,
    pub address: String,
    pub kind: String,
    pub zone: String,
    pub rack: String,
    #[serde(serialize_with = "as_word")]
    pub state: ServerState,
    pub weight: Option<f64>,
    /// When its process last began, nanoseconds since the Unix epoch.
    pub started_at: Option<u64>,
}

fn as_word<S: serde::Serializer>(state: &ServerState, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(match state {
        ServerState::Ready => "ready",
        ServerState::Draining => "draining",
        ServerState::Removed => "gone",
    })
}

#[derive(Clone, Debug, PartialEq)]
pub enum ListFrame {
    /// First in both directions. `epoch`, from [`VERSION_EPOCHS`] on: which run of the service's counting this is, another
    /// with each start from nothing; 0 from routers, and where it is not known.
    Hello { version: u16, name: String, epoch: u64 },
    /// Router to service: send changes from now on, those missed first; or no more.
    Watch(bool),
    /// Router to service: send the whole list once.
    Fetch,
    /// Service to router. Versions grow by one with each change.
    Update { scope: Scope, version: u64, entries: Vec<ListEntry> },
    /// Service to router: the call can't be answered.
    Failed { reason: String },
    /// Either side, last on a connection.
    Bye { reason: String },
}

impl Frame for ListFrame {
    fn kind(&self) -> u8 {
        match self {
            ListFrame::Hello { .. } => 1,
            ListFrame::Watch(_) => 2,
            ListFrame::Fetch => 3,
            ListFrame::Update { .. } => 4,
            ListFrame::Failed { .. } => 5,
            ListFrame::Bye { .. } => 63,
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
                entries.iter().take(count).for_each(|e| put_entry(out, e));
            }
            ListFrame::Failed { reason } | ListFrame::Bye { reason } => put_short_text(out, reason),
        }
    }

    fn parse_body(kind: u8, body: &mut &[u8]) -> ModalResult<Self> {
        Ok(match kind {
            1 => {
                let (version, name) = (u16_(body)?, short_text(body)?);
                let epoch = if version >= VERSION_EPOCHS { u64_(body)? } else { 0 };
                ListFrame::Hello { version, name, epoch }
            }
            2 => ListFrame::Watch(flag(body)?),
            3 => ListFrame::Fetch,
            4 => ListFrame::Update {
                scope: if flag(body)? { Scope::Full } else { Scope::Delta },
                version: u64_(body)?,
                entries: many(entry, body)?,
            },
            5 => ListFrame::Failed { reason: short_text(body)? },
            63 => ListFrame::Bye { reason: short_text(body)? },
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
    put_optional(out, entry.weight, |out, w| out.put_f64(w));
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

/// As in an update.
impl Wire for ListEntry {
    fn put(&self, out: &mut BytesMut) {
        put_entry(out, self);
    }

    fn take(input: &mut Body<'_>) -> ModalResult<Self> {
        entry(input)
    }
}
