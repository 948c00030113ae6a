//! State on disk that survives a kill at any instant.
//!
//! [`Journal`] keeps few records that must all be there again: a record is there once
//! [`append`](Journal::append) has returned, whatever happens then. [`History`] keeps many of which the oldest
//! may go: it is bounded in bytes, and may lose what was not yet synced. Both stand on a [`Disk`], which is a
//! locked folder ([`Folder`]) or one that fails on purpose ([`faulty::FaultyDisk`]). What the records mean is
//! for whoever writes them: each file's head says the version of their meaning.
//!
//! A file is a head and records, all numbers big-endian:
//!
//! | part | bytes |
//! | --- | --- |
//! | head | `gaparch\n`, format (u16), schema (u16), CRC-32 of these (u32) |
//! | record | length of the body (u32), CRC-32 of length and body (u32), body |

mod disk;
pub mod faulty;
mod format;
mod history;
mod journal;

pub use disk::{Disk, Folder};
pub use format::{FORMAT, MAX_RECORD};
pub use history::{History, HistoryLimits};
pub use journal::{Found, Journal};

use thiserror::Error;

/// Why something is not kept, or can't be read.
#[derive(Debug, Error)]
pub enum StoreError {
    #[error("{what}: {source}")]
    Io { what: String, source: std::io::Error },
    /// Two routers on one folder would each overwrite what the other keeps.
    #[error("{folder} is in use{}", .by.as_ref().map(|pid| format!(" by process {pid}")).unwrap_or_default())]
    InUse { folder: String, by: Option<String> },
    /// Nothing is read, so that nothing is lost: the later program can still read it.
    #[error("{file} was written by a later version (format {format}, schema {schema})")]
    Later { file: String, format: u16, schema: u16 },
    #[error("a record of {length} bytes, at most {MAX_RECORD} are kept")]
    TooLong { length: usize },
    /// A failed sync: what is on the disk is unknown until all is written anew.
    #[error("{file} has to be written anew after a failure")]
    Broken { file: String },
}

impl StoreError {
    pub(crate) fn io(what: impl Into<String>, source: std::io::Error) -> StoreError {
        StoreError::Io { what: what.into(), source }
    }
}
