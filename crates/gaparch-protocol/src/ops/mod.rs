//! The operations protocol, between a console or a script and a router.
//!
//! `docs/protocols/operations.md` specifies it. The client sends a [`Hello`](OpsFrame::Hello). The router
//! answers with a [`Welcome`](OpsFrame::Welcome), which states the role of the session, or with a
//! [`Bye`](OpsFrame::Bye). Then the client sends [queries](OpsFrame::Query), one at a time; a subscriber gets
//! [updates](OpsFrame::Update) in between. The router also stores the records in [`outcome`] and [`intent`]
//! on disk.

mod frame;
pub mod intent;
pub mod outcome;
mod query;
mod update;
pub mod view;

pub use frame::OpsFrame;
pub use query::{Answer, DenyCode, Order, Query};
pub use update::Update;

use crate::wire::{closed_set, Wire};
use bytes::BytesMut;

/// The protocol version.
pub const VERSION: u16 = 1;
/// The maximum size in bytes of a frame that a router accepts from an operator: 64 KiB.
pub const MAX_QUERY_BYTES: usize = 64 << 10;
/// The maximum size in bytes of a frame that an operator's program accepts: 32 MiB, about 100,000 outcomes.
pub const MAX_ANSWER_BYTES: usize = 32 << 20;

closed_set! {
    /// The permissions of a session.
    pub enum SessionRole {
        /// Read everything, change nothing.
        ReadOnly = 1, "watch";
        /// Read everything and give orders.
        ReadWrite = 2, "change";
    }
}

/// Encodes a record as it is stored on disk.
pub fn to_bytes<T: Wire>(record: &T) -> Vec<u8> {
    let mut out = BytesMut::new();
    record.put(&mut out);
    out.to_vec()
}

/// Decodes a record; `None` if the bytes are not exactly one record.
pub fn from_bytes<T: Wire>(mut bytes: &[u8]) -> Option<T> {
    let record = T::take(&mut bytes).ok()?;
    bytes.is_empty().then_some(record)
}
