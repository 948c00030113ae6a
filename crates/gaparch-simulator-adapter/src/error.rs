//! Errors of the adapter.

use serde_json::Value;
use thiserror::Error;

/// Why a batch cannot be answered.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The line is not a valid batch.
    #[error("invalid batch: {0}")]
    InvalidBatch(#[source] serde_json::Error),
    /// A required field of the event is missing.
    #[error("{event}: missing field '{field}'")]
    MissingField {
        /// The kind of the event.
        event: String,
        /// The field.
        field: &'static str,
    },
    /// A field of the event has an invalid value.
    #[error("{event}: invalid value {value} for field '{field}'")]
    InvalidField {
        /// The kind of the event.
        event: String,
        /// The field.
        field: &'static str,
        /// The value.
        value: Value,
    },
    /// The event is for an instance that was never started or has been torn down.
    #[error("{event}: instance {instance} is not running")]
    UnknownInstance {
        /// The kind of the event.
        event: String,
        /// The instance.
        instance: u64,
    },
    /// The event refers to an endpoint table that was never received.
    #[error("rosterChange: unknown endpoint table {table}")]
    UnknownTable {
        /// The number of the table.
        table: u64,
    },
    /// The reply could not be serialized.
    #[error(transparent)]
    InvalidReply(serde_json::Error),
}

/// Why the stream was aborted before the end of its input.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The input could not be read.
    #[error("line {line}: {source}")]
    Input {
        /// The line number, starting at 1.
        line: u64,
        /// The cause.
        source: std::io::Error,
    },
    /// A batch could not be answered.
    #[error("line {line}: {source}")]
    Batch {
        /// The line number, starting at 1.
        line: u64,
        /// The cause.
        source: BatchError,
    },
    /// The output could not be written.
    #[error(transparent)]
    Output(std::io::Error),
}
