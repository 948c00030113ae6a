//! Conversions between units of time.

use crate::api::Nanos;

/// Nanoseconds in a second.
pub const NANOS_PER_SECOND: f64 = 1e9;

/// A span in seconds.
pub fn seconds(span: Nanos) -> f64 {
    span as f64 / NANOS_PER_SECOND
}
