//! Messages between the owner, the sessions and the tasks of the operations side.

use gaparch_ops::OrderDenied;
use gaparch_protocol::ops::intent::{AcceptedChange, LimitView};
use gaparch_protocol::ops::outcome::RequestOutcome;
use gaparch_protocol::ops::view::{EngineView, Event, RouterMetrics};
use gaparch_protocol::ops::{Answer, Query, Update};
use tokio::sync::{mpsc, oneshot};

/// The state of the router, which the owner reports four times a second.
#[derive(Clone, Debug)]
pub(in crate::shell) struct StatusReport {
    pub metrics: RouterMetrics,
    pub engines: Vec<EngineView>,
    pub limits: Vec<LimitView>,
    /// Messages to the event broadcaster that were dropped since the start because its queue was full.
    pub dropped_messages: u64,
}

/// An order that was carried out and stored.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::shell) struct OrderOutcome {
    /// The revision of the orders after this one.
    pub revision: u64,
    /// The text on its effect on requests in flight.
    pub effect: String,
}

/// The channel for the outcome of an order.
pub(in crate::shell) type OrderReply = oneshot::Sender<Result<OrderOutcome, OrderDenied>>;

/// A message to the event broadcaster.
pub(in crate::shell) enum BroadcasterMessage {
    /// The owner's latest report.
    Status(Box<StatusReport>),
    /// A request has ended.
    RequestEnded(Box<RequestOutcome>),
    /// An order by an operator is in force now; it may not be on disk yet.
    OrderInForce(AcceptedChange),
    /// An event for operators.
    Event(Event),
    /// All orders up to that revision are on disk.
    OrdersStored(u64),
    /// Whether a store can be written.
    StorageStatus {
        /// Describes the stored data to operators.
        store: &'static str,
        /// Why it can't be written; `None` if it can.
        failure: Option<String>,
    },
    /// A query of a session.
    Query { query: Query, reply: oneshot::Sender<Answer> },
    /// A session subscribes to updates.
    Subscribe { session: u64, updates: mpsc::Sender<Update> },
    /// A session unsubscribes or has ended.
    Unsubscribe { session: u64 },
    /// The router shuts down: pending history is to be written now, after which the receiver is notified.
    Flush(oneshot::Sender<()>),
}
