//! The subject of an order, and how restrictive the order is.

use gaparch_protocol::ops::intent::{Change, DrainMode};

/// The subject of a change, as a key: for each subject the latest order is in force. `None` for a change that
/// is not replicated.
pub fn subject(change: &Change) -> Option<String> {
    match change {
        Change::Drain { engine, .. } | Change::Undrain { engine } => Some(format!("engine {engine}")),
        Change::Pause {} | Change::Resume {} => Some("intake".to_owned()),
        Change::SetLimit { name, .. } => Some(format!("limit {name}")),
        Change::Stop {} => None,
    }
}

/// How restrictive a change is: of two orders with the same number the more restrictive one is in force.
pub(super) fn restrictiveness(change: &Change) -> u64 {
    match change {
        Change::Drain { mode: DrainMode::Detach, .. } => 3,
        Change::Drain { mode: DrainMode::Drain, .. } | Change::Pause {} => 2,
        // Non-negative floats have the same order as their bits; a lower limit is more restrictive.
        Change::SetLimit { value: Some(value), .. } if *value >= 0.0 => u64::MAX - value.to_bits(),
        _ => 0,
    }
}
