//! The endpoint list of the discovery service: all workers, or those that changed.

use gaparch_protocol::list::{ListEntry, Scope};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

mod entry;
mod parser;

use entry::ListedInstance;
pub use parser::EndpointListParser;

/// Why a response of the discovery service is rejected.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// The response is not JSON, or its JSON is not an endpoint list.
    #[error("not a valid endpoint list in JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The response is a full list without a usable entry.
    #[error("the full endpoint list has no usable entry")]
    Empty,
    /// The response has more bytes than [`ListLimits`] allows.
    #[error("the endpoint list has more than the {max} bytes that the memory limit allows")]
    TooLong {
        /// Maximum number of bytes.
        max: usize,
    },
    /// The response has more entries than [`ListLimits`] allows.
    #[error("the endpoint list has more than the {max} entries that the memory limit allows")]
    TooManyEntries {
        /// Maximum number of entries.
        max: usize,
    },
    /// The response has too many bytes outside its entries.
    #[error("the endpoint list has more than {max} bytes outside its entries")]
    EnvelopeTooLong {
        /// Maximum number of bytes.
        max: usize,
    },
}

/// Limits on the size of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLimits {
    /// Maximum number of bytes of a response.
    pub bytes: usize,
    /// Maximum number of entries of a response, usable or not.
    pub entries: usize,
}

/// Memory that a router needs per worker, in bytes: the entry, its names and addresses, and the state of the
/// scheduler and the router. Measured with full lists of 1,000 to 10,000 workers, and rounded up
/// (docs/CAPACITY.md).
const MEMORY_PER_WORKER: usize = 2 * 1024;
/// Workers may take one part in this many of a router's memory; the rest is for requests and connections.
const MEMORY_DIVISOR: usize = 2;
/// Bytes of an entry's JSON text if it is indented, which is the worst case; the text is not kept in memory.
const TEXT_PER_ENTRY: usize = 512;
/// Number of entries that are accepted however little memory there is: the platform's usual list length.
const MIN_ENTRIES: usize = 2_000;

impl ListLimits {
    /// Returns the limits for a router with a memory limit of this many bytes.
    pub fn for_memory(bytes: usize) -> ListLimits {
        let entries = (bytes / MEMORY_DIVISOR / MEMORY_PER_WORKER).max(MIN_ENTRIES);
        ListLimits { bytes: entries.saturating_mul(TEXT_PER_ENTRY), entries }
    }
}

/// An endpoint list, or an update to it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Version of the list, which increases with each change.
    pub generation: u64,
    /// Whether the entries are all workers, or only those that changed.
    pub scope: Scope,
    /// The usable entries.
    pub entries: Vec<ListEntry>,
    /// Number of unusable entries.
    pub rejected_entries: usize,
}

/// A list as written in JSON.
#[derive(Deserialize)]
struct RawList {
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Value>,
}

impl EndpointList {
    /// Parses a complete response of the discovery service.
    ///
    /// # Errors
    /// Returns an error if it is not an endpoint list, exceeds the limits, or would leave the router without
    /// workers.
    pub fn from_json(json: &[u8], limits: ListLimits) -> Result<EndpointList, EndpointListError> {
        let mut parser = EndpointListParser::new(limits);
        parser.push(json)?;
        parser.finish()
    }

    /// Parses a list that is part of another JSON document.
    pub(crate) fn from_value(value: &Value) -> Result<EndpointList, EndpointListError> {
        let raw = RawList::deserialize(value)?;
        let entry_count = raw.instances.len();
        let usable = |value: &Value| ListedInstance::deserialize(value).ok()?.into_entry();
        let entries: Vec<ListEntry> = raw.instances.iter().filter_map(usable).collect();
        let rejected_entries = entry_count - entries.len();
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

/// Encodes a long-polling request for the changes after a generation: the service may wait up to `wait_ms`
/// milliseconds for one.
pub fn encode_watch_request(host: &str, after_generation: u64, wait_ms: u64) -> String {
    format!(
        "GET /catalog/members?after={after_generation}&wait_ms={wait_ms} HTTP/1.1\r\nHost: {host}\r\n\r\n"
    )
}

#[cfg(test)]
#[path = "endpoint_list_tests.rs"]
mod tests;
