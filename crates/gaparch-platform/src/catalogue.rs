//! The catalogue: which workers there are.

use gaparch::api::ServerState;
use gaparch_protocol::list::{ListEntry, Scope};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

/// Why an answer of the catalogue is not taken.
#[derive(Debug, Error)]
pub enum CatalogueError {
    #[error("not the catalogue's JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("a whole list without one worker that can be used")]
    Empty,
}

/// The catalogue, or what changed in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    pub generation: u64,
    pub scope: Scope,
    pub entries: Vec<ListEntry>,
    /// Entries that make no sense.
    pub dropped: usize,
}

#[derive(Deserialize)]
struct Raw {
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Value>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    /// A number or a name; without one that can be told apart it has no cell.
    #[serde(default)]
    cell: Value,
    #[serde(default)]
    lifecycle: String,
    /// A worker is no worse for a weight that is none.
    #[serde(default)]
    weight: Value,
    #[serde(default)]
    started_at_ms: Option<f64>,
}

impl Members {
    /// Reads an answer.
    ///
    /// # Errors
    /// When it is no catalogue, or would leave the router without any worker.
    pub fn read(json: &[u8]) -> Result<Members, CatalogueError> {
        Members::take(serde_json::from_slice(json)?)
    }

    pub(crate) fn from_value(value: &Value) -> Result<Members, CatalogueError> {
        Members::take(Raw::deserialize(value)?)
    }

    fn take(raw: Raw) -> Result<Members, CatalogueError> {
        let all = raw.instances.len();
        let entries: Vec<ListEntry> = raw.instances.iter().filter_map(entry).collect();
        let scope = if raw.reset { Scope::Full } else { Scope::Delta };
        if scope == Scope::Full && entries.is_empty() {
            return Err(CatalogueError::Empty);
        }
        Ok(Members { generation: raw.generation, scope, dropped: all - entries.len(), entries })
    }
}

fn entry(value: &Value) -> Option<ListEntry> {
    let raw = Instance::deserialize(value).ok()?;
    if raw.instance_id.is_empty() || raw.host_port.is_empty() {
        return None;
    }
    let started_ms = raw.started_at_ms.filter(|ms| ms.is_finite() && *ms > 0.0);
    Some(ListEntry {
        engine: raw.instance_id,
        address: raw.host_port,
        kind: raw.machine_type,
        zone: raw.zone,
        rack: match raw.cell {
            Value::Number(cell) => cell.to_string(),
            Value::String(cell) => cell,
            _ => String::new(),
        },
        state: match raw.lifecycle.as_str() {
            "ready" => ServerState::Ready,
            "gone" => ServerState::Gone,
            // A word that is not known is no invitation.
            _ => ServerState::Draining,
        },
        weight: raw.weight.as_f64(),
        started_at: started_ms.map(|ms| (ms * 1e6) as u64),
    })
}

/// The whole list.
pub fn list_call(host: &str) -> String {
    format!("GET /catalog/members HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

/// The changes after a generation, waited for so long.
pub fn watch_call(host: &str, after: u64, wait_ms: u64) -> String {
    format!("GET /catalog/members?after={after}&wait_ms={wait_ms} HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    /// A site may name its cells: an entry was dropped for it, and with all of them the list.
    #[test]
    fn an_entry_is_taken_whatever_stands_for_its_cell_and_weight() {
        let cases = [
            (json!(3), json!(1.5), "3", Some(1.5)),
            (json!("rack-b"), json!("heavy"), "rack-b", None),
            (json!(null), json!(null), "", None),
            (json!([3]), json!({}), "", None),
            (json!(-3), json!(2), "-3", Some(2.0)),
        ];
        for (cell, weight, rack, taken) in cases {
            let list = json!({"generation": 1, "reset": true, "instances": [{"instanceId": "s", "hostPort": "127.0.0.1:1",
                "cell": cell, "weight": weight, "lifecycle": "ready"}]});
            let members = Members::read(list.to_string().as_bytes()).expect("it is a list");
            let entry = &members.entries[0];
            assert_eq!((entry.rack.as_str(), entry.weight, members.dropped), (rack, taken, 0));
        }
    }

    /// One whose start can't be read may be cold, and is not taken for warm.
    #[test]
    fn an_entry_whose_start_makes_no_sense_is_dropped() {
        let list = json!({"generation": 1, "reset": false, "instances": [{"instanceId": "s", "hostPort": "127.0.0.1:1",
            "startedAtMs": "just now", "lifecycle": "ready"}]});
        let members = Members::read(list.to_string().as_bytes()).expect("it is a list");
        assert_eq!((members.entries.len(), members.dropped), (0, 1));
    }
}
