//! Operators' orders that hold for all routers of a site.
//!
//! Of each subject of orders (a server, the intake, a limit) the latest order is in force everywhere: the one
//! with the higher number, of equal numbers the more restrictive one, then that of the router whose name
//! comes later. A number is one more than any its router knew of (a logical clock), so that an order given by
//! somebody who has seen another replaces that one; no wall clock is read. Of two orders that knew nothing of
//! each other the one that gives way is reported as superseded, and remembered. Orders that end something are
//! kept as such, so that a restored state folder brings nothing back. Health never makes or lifts an order.
//!
//! A router acknowledges an order when it is in force there and on its disk. Messages may be lost, late or
//! doubled: routers compare digests of what each holds for ever, and request what differs.

mod event;
mod output;
mod replication;
mod subject;
mod table;

pub use event::OrderEvent;
pub use output::{OrderAck, OrderOutput, SupersededOrder};
pub use replication::FleetOrders;
pub use subject::subject;
