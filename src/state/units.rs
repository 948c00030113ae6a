//! Conversions between units of time.

use crate::api::Nanos;

/// Nanoseconds per second.
pub const NANOS_PER_SECOND: f64 = 1e9;

/// Converts a duration to seconds.
pub fn seconds(duration: Nanos) -> f64 {
    duration as f64 / NANOS_PER_SECOND
}
