//! The operations protocol: a console or a script on one side, a router on the other.
//!
//! `docs/protocols/operations.md` describes it. The client says [`Hello`](OpsFrame::Hello) and gets a
//! [`Welcome`](OpsFrame::Welcome) with the role that it has, or a [`Bye`](OpsFrame::Bye). Then it sends
//! [queries](OpsFrame::Query), one after the other; a subscriber gets [updates](OpsFrame::Update) in between. The
//! records in [`outcome`] and [`intent`] are also what the router stores on disk.

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

/// The version of the protocol that is spoken here.
pub const VERSION: u16 = 1;
/// The most bytes of a frame that a router accepts from an operator: 64 KiB.
pub const MAX_QUERY_BYTES: usize = 64 << 10;
/// The most bytes of a frame that an operator's side accepts: 32 MiB, which is some 100,000 outcomes.
pub const MAX_ANSWER_BYTES: usize = 32 << 20;

closed_set! {
    /// What a session may do.
    pub enum SessionRole {
        /// Read everything and change nothing.
        ReadOnly = 1, "watch";
        /// Read everything and give orders.
        ReadWrite = 2, "change";
    }
}

/// The bytes of a record as it is stored on disk.
pub fn to_bytes<T: Wire>(record: &T) -> Vec<u8> {
    let mut out = BytesMut::new();
    record.put(&mut out);
    out.to_vec()
}

/// Reads a record from its bytes; `None` if they are not exactly one.
pub fn from_bytes<T: Wire>(mut bytes: &[u8]) -> Option<T> {
    let record = T::take(&mut bytes).ok()?;
    bytes.is_empty().then_some(record)
}
