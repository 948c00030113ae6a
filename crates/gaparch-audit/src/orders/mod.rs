//! Operators' orders that apply to all routers of a site.
//!
//! For each subject of orders (a server, the intake, a limit) the latest order is in force on all routers:
//! the one with the highest number; of equal numbers the more restrictive one; then that of the router whose
//! name sorts later. A number is one more than any that its router knew of (a Lamport clock), so that an
//! order given in knowledge of another one replaces it; no wall clock is read. Of two orders that were given
//! without knowledge of each other, the one that is not in force is reported as superseded, and remembered.
//! Orders that lift another one, such as resume, are kept like any other, so that a state folder restored
//! from a backup does not bring the lifted order back. The health of servers never gives or lifts an order.
//!
//! A router acknowledges an order when it is in force there and on its disk. Messages may be lost, delayed or
//! duplicated: routers keep comparing digests of their orders, and request the orders where digests differ.

mod event;
mod output;
mod replication;
mod subject;
mod table;

pub use event::OrderEvent;
pub use output::{OrderAck, OrderOutput, SupersededOrder};
pub use replication::FleetOrders;
pub use subject::subject;
