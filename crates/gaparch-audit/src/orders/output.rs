//! The effects that order replication requests of its shell, and its state as shown to operators.

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

/// Whether one router has acknowledged all orders that this one knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderAck {
    /// The name of the router.
    pub router: String,
    /// Whether all of these orders are in force and on disk there.
    pub is_complete: bool,
    /// When it last sent a summary; `None` if it never did.
    pub reported_at: Option<Nanos>,
}

/// An order that was replaced by another one, where both were given without knowledge of each other.
#[derive(Clone, Debug, PartialEq)]
pub struct SupersededOrder {
    /// The order that was replaced.
    pub order: FleetOrder,
    /// The order that is in force in its place.
    pub by: FleetOrder,
}
