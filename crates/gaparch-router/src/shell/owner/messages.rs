//! Messages to the owner task.

use crate::core::{AcceptedRequest, Counters, ResponseEvent};
use crate::shell::fleet::AdoptedList;
use crate::shell::ops::OrderReply;
use gaparch_protocol::ops::view::RequestView;
use gaparch_protocol::ops::Order;
use gaparch_protocol::versions::FleetOrder;
use gaparch_scheduler::api::RequestId;
use tokio::sync::{mpsc, oneshot};

/// A request for the owner, with the channel for its response.
#[derive(Debug)]
pub(in crate::shell) struct NewRequest {
    pub id: RequestId,
    pub request: AcceptedRequest,
    pub response: mpsc::Sender<ResponseEvent>,
}

/// Some open requests, and the number of all.
pub(in crate::shell) struct OpenRequests {
    pub views: Vec<RequestView>,
    pub total: u64,
}

/// A query or a command of another task.
pub(in crate::shell) enum Control {
    /// The counters so far.
    Counters(oneshot::Sender<Counters>),
    /// The number of open requests.
    OpenRequestCount(oneshot::Sender<usize>),
    /// An order of an operator.
    Order {
        order: Order,
        operator: String,
        /// The order applies to this router only and is not replicated to the fleet.
        local_only: bool,
        reply: OrderReply,
    },
    /// An order received from another router; the reply says whether it is in force now.
    FleetOrder { order: FleetOrder, reply: oneshot::Sender<bool> },
    /// The oldest open requests, at most `max`.
    OpenRequests { max: usize, reply: oneshot::Sender<OpenRequests> },
    /// One request, if it is open.
    OpenRequest { id: RequestId, reply: oneshot::Sender<Option<RequestView>> },
    /// The number of routers that share the limits.
    RouterCount(u32),
    /// An endpoint list received from another router.
    AdoptList(AdoptedList),
    /// Accepts no new requests from now on.
    Stop,
    /// Ends every open request at once.
    StopNow,
}

/// The receiving ends of the owner's queues.
pub(in crate::shell) struct Ports {
    pub requests: mpsc::Receiver<NewRequest>,
    /// Requests whose client has disconnected. At most one message per open request, so the queue is bounded.
    pub disconnected: mpsc::UnboundedReceiver<RequestId>,
    pub control: mpsc::Receiver<Control>,
}
