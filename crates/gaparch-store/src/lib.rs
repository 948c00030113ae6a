//! Storage that survives a crash at any instant.
//!
//! [`Journal`] holds few records that must all be there again: a record is durable once
//! [`append`](Journal::append) has returned. [`History`] holds many records of which the oldest are removed: it is
//! bounded in bytes, and may lose what was not yet synced. Both write to a [`Disk`], which is a
//! locked directory ([`StateDirectory`]) or a disk that fails on purpose ([`faulty::FaultyDisk`]). The caller defines
//! what the records mean; each file's header has the version of that meaning, its schema.
//!
//! A file is a header and records, all numbers big-endian:
//!
//! | part | bytes |
//! | --- | --- |
//! | header | `gaparch\n`, format (u16), schema (u16), CRC-32 of these (u32) |
//! | record | length of the body (u32), CRC-32 of length and body (u32), body |

#![warn(missing_docs)]

mod directory;
mod disk;
pub mod faulty;
mod format;
mod history;
mod journal;

pub use directory::StateDirectory;
pub use disk::Disk;
pub use format::{FORMAT, MAX_RECORD_BYTES};
pub use history::{History, HistoryLimits};
pub use journal::{Journal, JournalContents};

use thiserror::Error;

/// Why something can't be stored or read.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file system reported an error.
    #[error("{what}: {source}")]
    Io {
        /// What was being done.
        what: String,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// Another process has locked the directory: the two would overwrite each other's files.
    #[error("{directory} is in use{}", .process.as_ref().map(|id| format!(" by process {id}")).unwrap_or_default())]
    InUse {
        /// The path of the directory.
        directory: String,
        /// The id of the other process, where it is known.
        process: Option<String>,
    },
    /// A later version of the program wrote the file. It is left alone, so that the later version can still read it.
    #[error("{file} was written by a later version (format {format}, schema {schema})")]
    UnsupportedVersion {
        /// The name of the file.
        file: String,
        /// The version of its format.
        format: u16,
        /// The version of its records.
        schema: u16,
    },
    /// A record is longer than [`MAX_RECORD_BYTES`].
    #[error("a record of {length} bytes, at most {MAX_RECORD_BYTES} are accepted")]
    RecordTooLong {
        /// The length of the record's body in bytes.
        length: usize,
    },
    /// A sync has failed, or there is no valid file: all records have to be written anew.
    #[error("{file} has to be rewritten after a failure")]
    NeedsRewrite {
        /// The name of the file.
        file: String,
    },
}

impl StoreError {
    pub(crate) fn io(what: impl Into<String>, source: std::io::Error) -> StoreError {
        StoreError::Io { what: what.into(), source }
    }
}
