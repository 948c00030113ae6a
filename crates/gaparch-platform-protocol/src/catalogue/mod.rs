//! The catalogue: which workers there are.

use gaparch_protocol::list::{ListEntry, Scope};
use gaparch_scheduler::api::ServerState;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

mod reader;

pub use reader::MembersReader;

/// Why an answer of the catalogue is not taken.
#[derive(Debug, Error)]
pub enum CatalogueError {
    #[error("not the catalogue's JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("a whole list without one worker that can be used")]
    Empty,
    #[error("a list of more than the {most} bytes that the memory limit allows")]
    TooLong { most: usize },
    #[error("a list of more than the {most} entries that the memory limit allows")]
    TooMany { most: usize },
    #[error("more than {most} bytes besides the entries")]
    OutlineTooLong { most: usize },
}

/// What an answer of the catalogue may hold at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLimits {
    pub bytes: usize,
    pub entries: usize,
}

/// Memory that one worker takes in a router: its entry, its names and addresses, the module's and the shell's state.
/// Measured with whole lists of 1,000 to 10,000 workers (docs/CAPACITY.md), rounded up.
const WORKER_MEMORY: usize = 2 * 1024;
/// Of the memory that a router may use, what workers may take: the rest is for requests and connections.
const WORKERS_SHARE: usize = 2;
/// Bytes of an entry's text, which comes indented at worst; they are not kept.
const ENTRY_TEXT: usize = 512;
/// However little memory there is, what an answer of the protocol's usual length holds.
const LEAST_ENTRIES: usize = 2_000;

impl ListLimits {
    /// The limits of a router that may use so many bytes of memory.
    pub fn within_memory(bytes: usize) -> ListLimits {
        let entries = (bytes / WORKERS_SHARE / WORKER_MEMORY).max(LEAST_ENTRIES);
        ListLimits { bytes: entries.saturating_mul(ENTRY_TEXT), entries }
    }
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
    /// Reads an answer that is at hand as a whole.
    ///
    /// # Errors
    /// When it is no catalogue, goes beyond the limits, or would leave the router without any worker.
    pub fn read(json: &[u8], limits: ListLimits) -> Result<Members, CatalogueError> {
        let mut reader = MembersReader::new(limits);
        reader.push(json)?;
        reader.finish()
    }

    pub(crate) fn from_value(value: &Value) -> Result<Members, CatalogueError> {
        Members::take(Raw::deserialize(value)?)
    }

    fn take(raw: Raw) -> Result<Members, CatalogueError> {
        let all = raw.instances.len();
        let instance = |value: &Value| Instance::deserialize(value).ok()?.into_entry();
        let entries: Vec<ListEntry> = raw.instances.iter().filter_map(instance).collect();
        let scope = if raw.reset { Scope::Full } else { Scope::Delta };
        let dropped = all - entries.len();
        Members::of(raw.generation, scope, entries, dropped)
    }

    fn of(
        generation: u64,
        scope: Scope,
        entries: Vec<ListEntry>,
        dropped: usize,
    ) -> Result<Members, CatalogueError> {
        if scope == Scope::Full && entries.is_empty() {
            return Err(CatalogueError::Empty);
        }
        Ok(Members { generation, scope, entries, dropped })
    }
}

impl Instance {
    /// The entry, unless it has no name or no address.
    fn into_entry(self) -> Option<ListEntry> {
        if self.instance_id.is_empty() || self.host_port.is_empty() {
            return None;
        }
        let started_ms = self.started_at_ms.filter(|ms| ms.is_finite() && *ms > 0.0);
        Some(ListEntry {
            engine: self.instance_id,
            address: self.host_port,
            kind: self.machine_type,
            zone: self.zone,
            rack: match self.cell {
                Value::Number(cell) => cell.to_string(),
                Value::String(cell) => cell,
                _ => String::new(),
            },
            state: match self.lifecycle.as_str() {
                "ready" => ServerState::Ready,
                "gone" => ServerState::Removed,
                // A word that is not known is no invitation.
                _ => ServerState::Draining,
            },
            weight: self.weight.as_f64(),
            started_at: started_ms.map(|ms| (ms * 1e6) as u64),
        })
    }
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
#[path = "tests.rs"]
mod tests;
