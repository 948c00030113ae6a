//! The logic of operators' orders and of the data shown to operators, without I/O or a clock.
//!
//! [`OrderRegistry`] holds the operators' orders and decides which orders may be carried out;
//! [`effective_state`] combines the orders with the endpoint list. [`OutcomeLog`] records why requests were
//! not served, [`Monitor`] derives events from a router's observations of its engines, [`EventLog`] holds the
//! events, and [`SubscriberFeed`] decides which updates a slow subscriber gets. Times are nanoseconds since
//! the Unix epoch; they only go back if the clock does.

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

/// One second in nanoseconds, the unit of all times in this crate.
pub const SECOND: u64 = 1_000_000_000;
