//! Keeps the routers of a site on the same endpoint list and the same operators' orders, and records what
//! each of them sent under which list. The crate does no I/O and reads no clock; its random choices depend on
//! a seed only.
//!
//! - [`ActiveList`] is the list that a router acts on. It accepts updates from the list service and lists
//!   from other routers, and replaces neither a confirmed nor a corroborated version by an older one.
//! - [`ListFollower`] exchanges list versions with the other routers. Where the list service does not answer
//!   this router, or answers old versions, it fetches the later version from another router, if enough of
//!   them have it from the service.
//! - [`FleetOrders`] replicates operators' orders to all routers.
//! - [`SendTally`] and [`AuditLog`] record what was sent under which version; [`AuditQuery`] reads the logs
//!   of all routers.
//!
//! Times are nanoseconds of one monotonic clock, except in the log, which has wall-clock times.

#![warn(missing_docs)]

mod endpoint_list;
mod log;
mod orders;

pub use endpoint_list::{
    digest, ActiveList, FollowerOutput, FollowerSettings, ListEvent, ListFollower, ListOutcome,
    ListRejection, ListSnapshot, ListView, PeerListStatus,
};
pub use gaparch_protocol::versions::FleetOrder;
pub use log::{
    answer_pages, AuditAnswer, AuditLog, AuditQuery, ChainVerifier, LogGap, SendBatch, SendKind, SendTally,
};
pub use orders::{subject, FleetOrders, OrderAck, OrderEvent, OrderOutput, SupersededOrder};

/// An instant or a duration of a monotonic clock, in nanoseconds.
pub type Nanos = u64;

/// The greatest number of entries of an endpoint list.
pub const MAX_ENTRIES: u32 = 10_000;

const MILLISECOND: Nanos = 1_000_000;

/// The first eight bytes of a hash, from an offset on, as a big-endian number.
fn hash_part(hash: &[u8], offset: usize) -> u64 {
    hash.iter().skip(offset).take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
