//! Messages to the owner task.

use crate::core::{AcceptedRequest, Counters, ResponseEvent};
use crate::shell::fleet::AdoptedList;
use crate::shell::ops::OrderReply;
use gaparch_protocol::ops::view::RequestView;
use gaparch_protocol::ops::Order;
use gaparch_protocol::versions::FleetOrder;
use gaparch_scheduler::api::RequestId;
use tokio::sync::{mpsc, oneshot};

/// A request on its way to the owner, with where its response goes.
#[derive(Debug)]
pub(in crate::shell) struct NewRequest {
    pub id: RequestId,
    pub request: AcceptedRequest,
    pub response: mpsc::Sender<ResponseEvent>,
}

/// Some open requests, and how many there are.
pub(in crate::shell) struct OpenRequests {
    pub views: Vec<RequestView>,
    pub total: u64,
}

/// A question or an instruction of another task.
pub(in crate::shell) enum Control {
    /// What was counted so far.
    Counters(oneshot::Sender<Counters>),
    /// How many requests are open.
    OpenRequestCount(oneshot::Sender<usize>),
    /// An order of an operator.
    Order {
        order: Order,
        who: String,
        /// For this router alone, where others would be for all of the site.
        here: bool,
        reply: OrderReply,
    },
    /// An order that another router has handed on; the reply says whether it is in force now.
    FleetOrder { order: FleetOrder, reply: oneshot::Sender<bool> },
    /// The oldest open requests, at most so many.
    OpenRequests { most: usize, reply: oneshot::Sender<OpenRequests> },
    /// One request, if it is open.
    OpenRequest { id: RequestId, reply: oneshot::Sender<Option<RequestView>> },
    /// By how many routers limits are divided.
    RouterCount(u32),
    /// A list that another router has handed on.
    AdoptList(AdoptedList),
    /// No new requests are accepted from now on.
    Stop,
    /// Every request that is still open is ended at once.
    StopNow,
}

/// The queues that the owner reads.
pub(in crate::shell) struct Ports {
    pub requests: mpsc::Receiver<NewRequest>,
    /// Requests whose client has disconnected: at most one message a request, and those are bounded.
    pub disconnected: mpsc::UnboundedReceiver<RequestId>,
    pub control: mpsc::Receiver<Control>,
}
