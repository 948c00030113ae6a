//! Views of a router, its engines and the other routers of its site.

mod engine;
mod fleet;
mod router;

pub use engine::{AvoidReason, EngineRole, EngineState, EngineView, PartialEjection};
pub use fleet::{
    AuditView, FleetView, LinkFault, ListVersionRow, ListVersionsView, MemberView, OrderReplicationView,
    ReplicationRow, RouterAuditRow, SupersededOrder,
};
pub use router::{Event, Phase, RequestView, RouterMetrics, Setting, Severity, Snapshot, TenantView};
