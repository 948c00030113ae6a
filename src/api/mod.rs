//! The interface of the scheduler: its settings, the events that a router reports, and the actions
//! that the router carries out.
//!
//! Nothing here depends on a wire format. Instants and durations are in nanoseconds; instants count
//! from an arbitrary origin of a monotonic clock. Traffic classes, tenants, zones and kinds of
//! servers are referred to by their index in the settings, never by name.

mod action;
mod endpoint;
mod event;
mod give_up;
mod ids;
mod outcome;
mod request;
mod settings;

pub use action::Action;
pub use endpoint::{Endpoint, EndpointUpdate, ServerState};
pub use event::Event;
pub use give_up::{GiveUpCause, GiveUpReason, QueueingReason};
pub use ids::{
    AffinityKey, AttemptNumber, CellId, ClassId, KindId, Nanos, RequestId, ServerId, TenantId, TimerToken,
    ZoneId,
};
pub use outcome::{AttemptOutcome, AttemptStatus, LoadReport, OutcomeNote};
pub use request::Request;
pub use settings::{DeduplicationScope, Idempotency, Role, ServerKind, Settings, Tenant, TrafficClass};
