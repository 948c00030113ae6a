//! One entry of the endpoint list.

use gaparch_protocol::list::ListEntry;
use gaparch_scheduler::api::{Nanos, ServerState};
use serde::Deserialize;
use serde_json::Value;

const NANOS_PER_MS: f64 = 1e6;

/// An entry as written in JSON.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ListedInstance {
    instance_id: String,
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    /// A number or a name; any other value counts as absent.
    #[serde(default)]
    cell: Value,
    #[serde(default)]
    lifecycle: String,
    /// A number; any other value counts as absent.
    #[serde(default)]
    weight: Value,
    /// Unix time in milliseconds.
    #[serde(default)]
    started_at_ms: Option<f64>,
}

impl ListedInstance {
    /// Returns the entry, or `None` if it has no name or no address.
    pub(super) fn into_entry(self) -> Option<ListEntry> {
        if self.instance_id.is_empty() || self.host_port.is_empty() {
            return None;
        }
        let started_ms = self.started_at_ms.filter(|ms| ms.is_finite() && *ms > 0.0);
        Some(ListEntry {
            engine: self.instance_id,
            address: self.host_port,
            kind: self.machine_type,
            zone: self.zone,
            rack: cell_name(self.cell),
            state: server_state(&self.lifecycle),
            weight: self.weight.as_f64(),
            started_at: started_ms.map(|ms| (ms * NANOS_PER_MS) as Nanos),
        })
    }
}

fn cell_name(cell: Value) -> String {
    match cell {
        Value::Number(number) => number.to_string(),
        Value::String(name) => name,
        _ => String::new(),
    }
}

/// Returns the state for a lifecycle. An unknown one counts as draining, so that the worker gets no requests.
fn server_state(lifecycle: &str) -> ServerState {
    match lifecycle {
        "ready" => ServerState::Ready,
        "gone" => ServerState::Removed,
        _ => ServerState::Draining,
    }
}
