//! Which version of the list of engines each router of a site holds, and how one that lags is brought up by the others:
//! decided here, without I/O, clock or randomness but its seed.
//!
//! [`Held`] is the list that a router acts on. It takes what the list service says and what other routers hand on, and
//! never lets an older version take the place of a newer one. [`Follow`] speaks with the other routers: it tells them
//! what is held here, hears what they hold, believes what enough of them have from the service itself, and fetches it
//! where the own link to the service is silent, or answers old versions. [`Orders`] keeps operators' orders the same at
//! all of them. [`Tally`] and [`Book`] record what was sent under which version. Times are nanoseconds of one monotonic clock.

mod claims;
mod fetch;
mod follow;
mod gather;
mod held;
mod orders;
mod record;
mod view;

pub use follow::{Follow, Output, Settings};
pub use gaparch_protocol::versions::FleetOrder;
pub use gather::{answer, Gather, Told};
pub use held::{digest, Held, HeldList, Refusal, Taken};
pub use orders::{subject, Acked, OrderHappening, OrderOutput, Orders};
pub use record::{Book, Chain, Gap, Kind, Sent, Tally};
pub use view::{Happening, Row, View};

/// Nanoseconds.
pub type Nanos = u64;

/// Engines that a list may have.
pub const MOST_ENTRIES: u32 = 10_000;

const MS: Nanos = 1_000_000;
