//! Passes what the fleet's task has found on to the owner, which may be busy for a while.

use crate::shell::owner::Control;
use gaparch_audit::FleetOrder;
use gaparch_protocol::ops::intent::{Change, ChangeNote};
use gaparch_protocol::versions::OrderId;
use tokio::sync::{mpsc, oneshot, watch};

/// Orders given here that the fleet's task has not taken yet; past it an operator is asked to try again.
pub(in crate::shell) const LOCAL_ORDER_QUEUE: usize = 256;
/// Orders of others that the owner has not taken yet; what finds no room is handed over again later.
pub(super) const REMOTE_ORDER_QUEUE: usize = 1024;

/// An order given at this router, in force already, that all routers are to keep.
pub(in crate::shell) struct LocalOrder {
    pub change: Change,
    pub note: ChangeNote,
}

/// Tells the owner the latest value of a cell once it has time.
pub(super) async fn forward_latest<T: Clone>(
    mut cell: watch::Receiver<T>,
    control: mpsc::Sender<Control>,
    message: impl Fn(T) -> Control,
) {
    while cell.changed().await.is_ok() {
        let latest = cell.borrow_and_update().clone();
        if control.send(message(latest)).await.is_err() {
            return;
        }
    }
}

/// Hands orders of other routers to the owner, and tells which of them are in force.
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
