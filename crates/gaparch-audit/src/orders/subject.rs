//! What an order is about, and how restrictive it is.

use gaparch_protocol::ops::intent::{Change, Hold};

/// The subject of a change, as a key: of each subject the latest order is in force. `None` for a change that is not
/// kept.
pub fn subject(change: &Change) -> Option<String> {
    match change {
        Change::Hold { engine, .. } | Change::Free { engine } => Some(format!("engine {engine}")),
        Change::Pause {} | Change::Resume {} => Some("intake".to_owned()),
        Change::Limit { name, .. } => Some(format!("limit {name}")),
        Change::Stop {} => None,
    }
}

/// How restrictive a change is: of two orders with the same number the more restrictive one is in force.
pub(super) fn restrictiveness(change: &Change) -> u64 {
    match change {
        Change::Hold { hold: Hold::Aside, .. } => 3,
        Change::Hold { hold: Hold::Drain, .. } | Change::Pause {} => 2,
        // Floats that are not negative compare as their bits do.
        Change::Limit { value: Some(value), .. } if *value >= 0.0 => u64::MAX - value.to_bits(),
        _ => 0,
    }
}
