//! The endpoint list of the discovery service: which workers there are, and what changed.

use gaparch_protocol::list::{ListEntry, Scope};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

mod entry;
mod parser;

use entry::ListedInstance;
pub use parser::EndpointListParser;

/// Why an answer of the discovery service is not taken.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// The answer is no JSON, or none of an endpoint list.
    #[error("not an endpoint list in JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The answer is a full list, and no entry of it can be used.
    #[error("a full endpoint list without a usable entry")]
    Empty,
    /// The answer has more bytes than [`ListLimits`] allows.
    #[error("an endpoint list of more than the {max} bytes that the memory limit allows")]
    TooLong {
        /// Bytes that are allowed.
        max: usize,
    },
    /// The answer has more entries than [`ListLimits`] allows.
    #[error("an endpoint list of more than the {max} entries that the memory limit allows")]
    TooManyEntries {
        /// Entries that are allowed.
        max: usize,
    },
    /// The answer has too many bytes beside its entries.
    #[error("more than {max} bytes beside the entries")]
    OutlineTooLong {
        /// Bytes that are allowed.
        max: usize,
    },
}

/// Bounds of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLimits {
    /// Most bytes of an answer.
    pub bytes: usize,
    /// Most entries of an answer, usable or not.
    pub entries: usize,
}

/// Memory that one worker takes in a router in bytes: its entry, its names and addresses, the state of scheduler and
/// router. Measured with full lists of 1,000 to 10,000 workers (docs/CAPACITY.md) and rounded up.
const MEMORY_PER_WORKER: usize = 2 * 1024;
/// The part of a router's memory that workers may take is one in this many: the rest is for requests and connections.
const MEMORY_DIVISOR: usize = 2;
/// Bytes of an entry's text, which is indented at worst; the text is not kept.
const TEXT_PER_ENTRY: usize = 512;
/// Entries that are taken however little memory there is: a list of the platform's usual length.
const MIN_ENTRIES: usize = 2_000;

impl ListLimits {
    /// Returns the limits of a router that may use so many bytes of memory.
    pub fn for_memory(bytes: usize) -> ListLimits {
        let entries = (bytes / MEMORY_DIVISOR / MEMORY_PER_WORKER).max(MIN_ENTRIES);
        ListLimits { bytes: entries.saturating_mul(TEXT_PER_ENTRY), entries }
    }
}

/// The endpoint list, or a change of it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Version of the list; it grows with each change.
    pub generation: u64,
    /// Whether the entries are all there are, or those that changed.
    pub scope: Scope,
    /// The usable entries.
    pub entries: Vec<ListEntry>,
    /// How many entries are not usable.
    pub rejected_entries: usize,
}

/// A list as its JSON states it.
#[derive(Deserialize)]
struct RawList {
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Value>,
}

impl EndpointList {
    /// Reads a complete answer of the discovery service.
    ///
    /// # Errors
    /// When it is no endpoint list, exceeds the limits, or would leave the router without a worker.
    pub fn from_json(json: &[u8], limits: ListLimits) -> Result<EndpointList, EndpointListError> {
        let mut parser = EndpointListParser::new(limits);
        parser.push(json)?;
        parser.finish()
    }

    /// Reads a list that is part of another JSON document.
    pub(crate) fn from_value(value: &Value) -> Result<EndpointList, EndpointListError> {
        let raw = RawList::deserialize(value)?;
        let all_entries = raw.instances.len();
        let usable = |value: &Value| ListedInstance::deserialize(value).ok()?.into_entry();
        let entries: Vec<ListEntry> = raw.instances.iter().filter_map(usable).collect();
        let rejected_entries = all_entries - entries.len();
        EndpointList::new(raw.generation, scope(raw.reset), entries, rejected_entries)
    }

    fn new(
        generation: u64,
        scope: Scope,
        entries: Vec<ListEntry>,
        rejected_entries: usize,
    ) -> Result<EndpointList, EndpointListError> {
        if scope == Scope::Full && entries.is_empty() {
            return Err(EndpointListError::Empty);
        }
        Ok(EndpointList { generation, scope, entries, rejected_entries })
    }
}

fn scope(reset: bool) -> Scope {
    if reset {
        Scope::Full
    } else {
        Scope::Delta
    }
}

/// Encodes a request for the full list.
pub fn encode_list_request(host: &str) -> String {
    format!("GET /catalog/members HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

/// Encodes a request for the changes after a generation. The service may wait for one up to `wait_ms` milliseconds.
pub fn encode_watch_request(host: &str, after_generation: u64, wait_ms: u64) -> String {
    format!(
        "GET /catalog/members?after={after_generation}&wait_ms={wait_ms} HTTP/1.1\r\nHost: {host}\r\n\r\n"
    )
}

#[cfg(test)]
#[path = "endpoint_list_tests.rs"]
mod tests;
