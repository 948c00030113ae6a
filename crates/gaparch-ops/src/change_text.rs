//! Changes in words.

use gaparch_protocol::ops::intent::{Change, DrainMode};

/// What a change did, for people.
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
