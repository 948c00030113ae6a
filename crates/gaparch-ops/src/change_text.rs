//! Human-readable descriptions of changes.

use gaparch_protocol::ops::intent::{Change, DrainMode};

/// Describes what a change did. The texts are sent to operators' clients and stay as they are.
pub fn change_text(change: &Change) -> String {
    match change {
        Change::Drain { engine, mode: DrainMode::Drain } => format!("{engine} drained"),
        Change::Drain { engine, mode: DrainMode::Detach } => format!("{engine} set aside"),
        Change::Undrain { engine } => format!("{engine} undrained"),
        Change::Pause {} => "intake paused".to_owned(),
        Change::Resume {} => "intake resumed".to_owned(),
        Change::SetLimit { name, value: Some(value) } => format!("{name} set to {value}"),
        Change::SetLimit { name, value: None } => format!("{name} as the settings say"),
        Change::Stop {} => "stopped".to_owned(),
    }
}
