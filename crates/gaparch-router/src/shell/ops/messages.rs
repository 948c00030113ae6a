//! Messages between the owner, the sessions and the tasks of the operations side.

use gaparch_ops::OrderDenied;
use gaparch_protocol::ops::intent::{AcceptedChange, LimitView};
use gaparch_protocol::ops::outcome::RequestOutcome;
use gaparch_protocol::ops::view::{EngineView, Event, RouterMetrics};
use gaparch_protocol::ops::{Answer, Query, Update};
use tokio::sync::{mpsc, oneshot};

/// The state of the router, as the owner reports it four times a second.
#[derive(Clone, Debug)]
pub(in crate::shell) struct StatusReport {
    pub metrics: RouterMetrics,
    pub engines: Vec<EngineView>,
    pub limits: Vec<LimitView>,
    /// Messages to the event broadcaster that found no room, since the start.
    pub dropped_messages: u64,
}

/// An order that was carried out and stored.
#[derive(Clone, Debug, PartialEq)]
pub(in crate::shell) struct OrderOutcome {
    /// The revision of all orders with this one.
    pub revision: u64,
    /// What it does to requests in flight, in words.
    pub effect: String,
}

/// Where the outcome of an order goes.
pub(in crate::shell) type OrderReply = oneshot::Sender<Result<OrderOutcome, OrderDenied>>;

/// A message to the event broadcaster.
pub(in crate::shell) enum BroadcasterMessage {
    /// The owner's latest report.
    Status(Box<StatusReport>),
    /// A request has ended.
    RequestEnded(Box<RequestOutcome>),
    /// An order by an operator is in force now; it may not be on disk yet.
    OrderInForce(AcceptedChange),
    /// Something that operators should know of.
    Event(Event),
    /// All orders up to that revision are on disk.
    OrdersStored(u64),
    /// Whether a store can be written.
    StorageStatus {
        /// What is stored there, as operators know it.
        store: &'static str,
        /// Why it can't be written; `None`: it can.
        failure: Option<String>,
    },
    /// A question of a session.
    Query { query: Query, reply: oneshot::Sender<Answer> },
    /// A session wants updates from now on.
    Subscribe { session: u64, updates: mpsc::Sender<Update> },
    /// A session wants no more updates, or has ended.
    Unsubscribe { session: u64 },
    /// The router shuts down: pending history is written now, and the sender notified then.
    Flush(oneshot::Sender<()>),
}
