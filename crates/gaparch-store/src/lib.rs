//! Crash-safe storage of records in files.
//!
//! A [`Journal`] holds a small number of records, all of which must survive: a record is durable once
//! [`append`](Journal::append) has returned. A [`History`] holds many records and removes the oldest: it is
//! bounded in size, and may lose records that were not yet synced. Both write to a [`Disk`], which is a
//! locked directory ([`StateDirectory`]) or an in-memory disk with fault injection ([`faulty::FaultyDisk`]).
//! The caller defines the content of the records; the header of each file has the version of that definition,
//! its schema.
//!
//! A file consists of a header and records. All numbers are big-endian:
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

/// Why data can't be stored or read.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file system reported an error.
    #[error("{what}: {source}")]
    Io {
        /// The operation that failed.
        what: String,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// Another process has locked the directory; two processes would overwrite each other's files.
    #[error("{directory} is in use{}", .process.as_ref().map(|id| format!(" by process {id}")).unwrap_or_default())]
    InUse {
        /// The path of the directory.
        directory: String,
        /// The id of the other process, if known.
        process: Option<String>,
    },
    /// The file was written by a later version of the program. It is left unchanged, so that the later
    /// version can still read it.
    #[error("{file} was written by a later version (format {format}, schema {schema})")]
    UnsupportedVersion {
        /// The name of the file.
        file: String,
        /// The file's format version.
        format: u16,
        /// The schema of its records.
        schema: u16,
    },
    /// A record is longer than [`MAX_RECORD_BYTES`].
    #[error("a record of {length} bytes, at most {MAX_RECORD_BYTES} are accepted")]
    RecordTooLong {
        /// The length of the record's body in bytes.
        length: usize,
    },
    /// A sync has failed, or there is no valid file: all records have to be rewritten.
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
