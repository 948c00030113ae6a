//! The audit log: what a router sent under which endpoint list, in segments that are chained by hashes.
//!
//! [`SendTally`] counts sends on the hot path and never blocks. Its batches go to the [`AuditLog`], which
//! groups them into segments. A segment that was removed, altered, reordered or never written is reported as
//! a [`LogGap`], and so is a process that did not shut down gracefully: its last sends may not be in the log.

mod audit_log;
mod chain;
mod query;
mod rows;
mod tally;

pub use audit_log::AuditLog;
pub use chain::{ChainVerifier, LogGap};
pub use query::{answer_pages, AuditAnswer, AuditQuery};
pub use tally::{SendBatch, SendKind, SendTally};

/// The greatest number of records of single sends in one batch, and in one segment.
const MAX_RECORDS: usize = 512;

#[cfg(test)]
#[path = "log_tests.rs"]
mod tests;
