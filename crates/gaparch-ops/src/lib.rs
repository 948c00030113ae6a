//! What operators order, and what they are shown: decided without I/O or a clock.
//!
//! [`OrderRegistry`] holds what operators have ordered and decides which orders may be carried out;
//! [`effective_state`] combines orders and the endpoint list. [`OutcomeLog`] holds why requests were not served,
//! [`Monitor`] turns what a router observes of its engines into events, [`EventLog`] holds these, and
//! [`SubscriberFeed`] decides what a slow subscriber gets. Times are nanoseconds since the Unix epoch; they go back only
//! if the clock does.

#![warn(missing_docs)]

mod change_text;
mod engine_state;
mod event_log;
pub mod limits;
mod monitor;
mod outcomes;
mod registry;
mod review;
mod stored_change;
mod subscriber;

pub use change_text::change_text;
pub use engine_state::{effective_state, restart_warning};
pub use event_log::EventLog;
pub use monitor::{duration_text, Monitor};
pub use outcomes::{ObservedFollowUp, OutcomeLog, OutcomeLogLimits, OUTCOME_SCHEMA};
pub use registry::{EngineDrain, OrderRegistry};
pub use review::{EngineStatus, OrderDenied, ProposedChange, SiteStatus};
pub use stored_change::{read_change, CHANGE_SCHEMA};
pub use subscriber::{Delivery, SubscriberFeed};

/// One second, in the unit of all times here.
pub const SECOND: u64 = 1_000_000_000;
