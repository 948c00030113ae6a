//! Passes updates of the fleet's task to the owner, which may be busy.

use crate::shell::owner::Control;
use gaparch_audit::FleetOrder;
use gaparch_protocol::ops::intent::{Change, ChangeNote};
use gaparch_protocol::versions::OrderId;
use tokio::sync::{mpsc, oneshot, watch};

/// Capacity of the queue of orders given at this router; while it is full, further ones are denied.
pub(in crate::shell) const LOCAL_ORDER_QUEUE: usize = 256;
/// Capacity of the queue of other routers' orders; an order that does not fit is passed again later.
pub(super) const REMOTE_ORDER_QUEUE: usize = 1024;

/// An order given at this router and in force here, to be replicated to all routers.
pub(in crate::shell) struct LocalOrder {
    pub change: Change,
    pub note: ChangeNote,
}

/// Sends the latest value of a watch channel to the owner each time it changes.
pub(super) async fn forward_latest<T: Clone>(
    mut values: watch::Receiver<T>,
    control: mpsc::Sender<Control>,
    message: impl Fn(T) -> Control,
) {
    while values.changed().await.is_ok() {
        let latest = values.borrow_and_update().clone();
        if control.send(message(latest)).await.is_err() {
            return;
        }
    }
}

/// Passes orders of other routers to the owner, and reports the ids of those that are in force.
pub(super) async fn apply_remote_orders(
    mut orders: mpsc::Receiver<FleetOrder>,
    control: mpsc::Sender<Control>,
    applied: mpsc::Sender<OrderId>,
) {
    while let Some(order) = orders.recv().await {
        let id = order.id.clone();
        let (reply, wait) = oneshot::channel();
        if control.send(Control::FleetOrder { order, reply }).await.is_err() {
            return;
        }
        if wait.await.unwrap_or(false) && applied.send(id).await.is_err() {
            return;
        }
    }
}
