//! What the order replication wants done by its shell, and what it shows of its state.

use super::event::OrderEvent;
use crate::Nanos;
use gaparch_protocol::versions::{FleetOrder, ReplicationMessage};

/// An effect that the shell carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderOutput {
    /// Send a message to another router; it may be lost.
    Send {
        /// The name of the receiver.
        to: String,
        /// The message.
        message: ReplicationMessage,
    },
    /// Put an order of another router in force, and report it with [`crate::FleetOrders::on_applied`].
    Apply(FleetOrder),
    /// Store all of these orders, and report it with [`crate::FleetOrders::on_stored`].
    Persist(Vec<FleetOrder>),
    /// Report an event to operators.
    Event(OrderEvent),
}

/// Whether one router has all orders of this one in force and on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderAck {
    /// The name of the router.
    pub router: String,
    /// Whether it has.
    pub is_complete: bool,
    /// When it last reported what it has; `None` if it never did.
    pub reported_at: Option<Nanos>,
}

/// An order that gave way to another one, where neither knew of the other.
#[derive(Clone, Debug, PartialEq)]
pub struct SupersededOrder {
    /// The order that gave way.
    pub order: FleetOrder,
    /// The order that is in force in its place.
    pub by: FleetOrder,
}
