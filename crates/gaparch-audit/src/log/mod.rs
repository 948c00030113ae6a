//! The audit log: what a router sent under which endpoint list, in segments that are chained by hashes.
//!
//! [`SendTally`] counts on the hot path and never waits. What it has counted goes to the [`AuditLog`], which makes
//! segments of it. A segment that was removed, altered, reordered or never written shows as a [`LogGap`], and so does a
//! process that did not shut down gracefully: nobody knows what it sent last.

mod audit_log;
mod chain;
mod query;
mod rows;
mod tally;

pub use audit_log::AuditLog;
pub use chain::{ChainVerifier, LogGap};
pub use query::{answer_pages, AuditAnswer, AuditQuery};
pub use tally::{SendBatch, SendKind, SendTally};

/// The number of records of single sends that one batch, and one segment, has room for.
const MAX_RECORDS: usize = 512;

#[cfg(test)]
#[path = "log_tests.rs"]
mod tests;
