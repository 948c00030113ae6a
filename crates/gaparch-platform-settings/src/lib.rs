//! Reads the platform's start-up settings object into the scheduler's [`Settings`](gaparch_scheduler::api::Settings) and
//! into the names of classes, tenants, zones and kinds.
//!
//! The simulator's adapter gets the object in its first message, and the router in service in its configuration file:
//! both read it with this crate. It holds no state and does no I/O.

#![warn(missing_docs)]

mod diagnostics;
mod json;
mod settings;

pub use diagnostics::{diagnose, SettingsDiagnostic};
pub use json::{index_of, non_negative_number, whole_number};
pub use settings::PlatformSettings;
