//! What can be wrong with the simulator's input.

use serde_json::Value;
use thiserror::Error;

/// A batch that can't be answered.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The line is not a batch.
    #[error("not a batch: {0}")]
    InvalidBatch(#[source] serde_json::Error),
    /// A field that the event needs is missing.
    #[error("{event}: no '{field}'")]
    MissingField {
        /// The kind of the event.
        event: String,
        /// The field.
        field: &'static str,
    },
    /// A field of the event has a value that it can't have.
    #[error("{event}: '{field}' can't be {value}")]
    InvalidField {
        /// The kind of the event.
        event: String,
        /// The field.
        field: &'static str,
        /// Its value.
        value: Value,
    },
    /// The event is for an instance that was never started, or has ended.
    #[error("{event}: instance {instance} was never started")]
    UnknownInstance {
        /// The kind of the event.
        event: String,
        /// The instance.
        instance: u64,
    },
    /// The event names an endpoint list that was never given.
    #[error("rosterChange: list {table} was never given")]
    UnknownTable {
        /// The number of the list.
        table: u64,
    },
    /// The reply could not be written as JSON.
    #[error(transparent)]
    InvalidReply(serde_json::Error),
}

/// Why the stream has ended before its input did.
#[derive(Debug, Error)]
pub enum StreamError {
    /// The input could not be read.
    #[error("line {line}: {source}")]
    Input {
        /// The number of the line, from 1.
        line: u64,
        /// What went wrong.
        source: std::io::Error,
    },
    /// A batch could not be answered.
    #[error("line {line}: {source}")]
    Batch {
        /// The number of the line, from 1.
        line: u64,
        /// What is wrong with it.
        source: BatchError,
    },
    /// The output could not be written.
    #[error(transparent)]
    Output(std::io::Error),
}
