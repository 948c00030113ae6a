//! What operators want of a router, and what they are told of it: decided here, without I/O or a clock.
//!
//! [`book`] holds what operators have ordered and says which orders may be carried out; [`combine`] says what an
//! order, the list and the router's own sight make together. [`ledger`] keeps why requests were not served,
//! [`watch`] turns what a router sees of its engines into events, [`chronicle`] keeps these, and [`feed`]
//! decides what a subscriber that is too slow is told. Times are nanoseconds since the Unix epoch; none goes back
//! by more than the clocks do.

pub mod book;
pub mod chronicle;
pub mod combine;
pub mod feed;
pub mod ledger;
pub mod limits;
pub mod watch;

/// One second, in the unit of all times here.
pub const SECOND: u64 = 1_000_000_000;
