//! Requests of operators' sessions to the fleet's task.

use gaparch_protocol::ops::view::{AuditView, FleetView, ListVersionsView, OrderReplicationView};
use gaparch_protocol::versions::AuditFilter;
use tokio::sync::{mpsc, oneshot};

/// A request to the fleet's task. Without list replication the answers that depend on it are `None`.
pub(super) enum FleetRequest {
    /// Query the audit records of all routers.
    Audit { filter: AuditFilter, reply: oneshot::Sender<Option<AuditView>> },
    /// Which routers have stored the orders of the fleet.
    OrderReplication(oneshot::Sender<Option<OrderReplicationView>>),
    /// The routers of the fleet.
    Members(oneshot::Sender<FleetView>),
    /// The version of the endpoint list that each router holds.
    ListVersions(oneshot::Sender<Option<ListVersionsView>>),
    /// Leave the fleet.
    Leave(oneshot::Sender<()>),
}

/// Sends requests to the fleet's task.
#[derive(Clone)]
pub(in crate::shell) struct FleetHandle(pub(super) mpsc::Sender<FleetRequest>);

impl FleetHandle {
    /// The routers of the fleet as this one sees them; `None` once the router has ended.
    pub async fn members(&self) -> Option<FleetView> {
        self.request(FleetRequest::Members).await
    }

    /// The entries of the audit records of all routers; `None` once the router has ended.
    pub async fn audit(&self, filter: AuditFilter) -> Option<Option<AuditView>> {
        self.request(|reply| FleetRequest::Audit { filter, reply }).await
    }

    /// Which routers have stored the orders of the fleet; `None` once the router has ended.
    pub async fn order_replication(&self) -> Option<Option<OrderReplicationView>> {
        self.request(FleetRequest::OrderReplication).await
    }

    /// The version of the endpoint list that each router holds; `None` once the router has ended.
    pub async fn list_versions(&self) -> Option<Option<ListVersionsView>> {
        self.request(FleetRequest::ListVersions).await
    }

    async fn request<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> FleetRequest) -> Option<T> {
        let (reply, wait) = oneshot::channel();
        self.0.send(request(reply)).await.ok()?;
        wait.await.ok()
    }
}
