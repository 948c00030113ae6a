//! Converts the platform's start-up settings object into the scheduler's
//! [`Settings`](gaparch_scheduler::api::Settings) and the names of classes, tenants, zones and kinds.
//!
//! The simulator's adapter receives the object in its first message, and the platform's router in its
//! configuration file: both read it with this crate, which has no state and does no I/O.

#![warn(missing_docs)]

mod diagnostics;
mod json;
mod settings;

pub use diagnostics::{diagnose, SettingsDiagnostic};
pub use json::{index_of, non_negative_number, whole_number};
pub use settings::PlatformSettings;
