//! Verification of a log's hash chain.

use crate::hash_part;
use gaparch_protocol::ops::to_bytes;
use gaparch_protocol::versions::AuditSegment;
use sha2::{Digest, Sha256};
use std::fmt;

/// The greatest number of gaps that are recorded.
const MAX_GAPS: usize = 1000;

/// A place where a log is incomplete or was altered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogGap {
    /// Segments between two numbers are missing, or can't be read.
    Missing {
        /// The number of the last segment before the gap.
        after: u64,
        /// The number of the first segment after the gap.
        before: u64,
    },
    /// A segment does not contain the hash of the one before it: one of the two was altered.
    HashMismatch {
        /// The number of the segment.
        at: u64,
    },
    /// The number of a segment is not higher than that of an earlier one.
    OutOfOrder {
        /// The number of the segment.
        at: u64,
    },
    /// A process did not shut down gracefully: its last sends may be missing.
    UncleanShutdown {
        /// The run id of the process.
        run_id: u64,
        /// The end of its last segment, in nanoseconds since the Unix epoch.
        after: u64,
    },
    /// The log ends before a segment that is known to have been written.
    Truncated {
        /// The number of the last segment.
        after: u64,
        /// The number of the segment that was written.
        written: u64,
    },
}

impl fmt::Display for LogGap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogGap::Missing { after, before } => {
                write!(f, "segments {} to {} are missing", after + 1, before - 1)
            }
            LogGap::HashMismatch { at } => {
                write!(
                    f,
                    "segment {at} does not contain the hash of the one before it: one of them was altered"
                )
            }
            LogGap::OutOfOrder { at } => write!(f, "segment {at} is out of order"),
            LogGap::UncleanShutdown { run_id, after } => write!(
                f,
                "process {run_id:x} did not shut down gracefully; what it sent after {after} ns is not known"
            ),
            LogGap::Truncated { after, written } => {
                write!(f, "the log ends with segment {after}, though segment {written} was written")
            }
        }
    }
}

/// The hash of a segment, which the next one contains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SegmentHash {
    pub high: u64,
    pub low: u64,
}

impl SegmentHash {
    fn of(segment: &AuditSegment) -> SegmentHash {
        let hash = Sha256::digest(to_bytes(segment));
        SegmentHash { high: hash_part(&hash, 0), low: hash_part(&hash, 8) }
    }
}

/// The last segment of a chain, to which the next one is linked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ChainEnd {
    pub number: u64,
    pub hash: SegmentHash,
}

/// A process whose latest segment does not mark a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenProcess {
    run_id: u64,
    last_segment_end: u64,
}

/// Verifies segments, in the order in which they are stored.
#[derive(Clone, Debug, Default)]
pub struct ChainVerifier {
    end: Option<ChainEnd>,
    open_process: Option<OpenProcess>,
    segments: u64,
    gaps: Vec<LogGap>,
}

impl ChainVerifier {
    /// Verifies the next segment.
    pub fn push(&mut self, segment: &AuditSegment) {
        self.segments += 1;
        self.check_link(segment);
        if self.open_process.is_some_and(|process| process.run_id != segment.run_id) {
            self.close_open_process();
        }
        let process = OpenProcess { run_id: segment.run_id, last_segment_end: segment.to_at };
        self.open_process = (!segment.ends_process).then_some(process);
        if self.end.is_none_or(|end| segment.number > end.number) {
            self.end = Some(ChainEnd { number: segment.number, hash: SegmentHash::of(segment) });
        }
    }

    fn check_link(&mut self, segment: &AuditSegment) {
        let Some(end) = self.end else { return };
        let number = segment.number;
        let previous = SegmentHash { high: segment.previous_hash_high, low: segment.previous_hash_low };
        if number <= end.number {
            self.add_gap(LogGap::OutOfOrder { at: number });
        } else if number > end.number + 1 {
            self.add_gap(LogGap::Missing { after: end.number, before: number });
        } else if previous != end.hash {
            self.add_gap(LogGap::HashMismatch { at: number });
        }
    }

    /// Adds a gap if the chain ends before this segment, which is known to have been written.
    pub fn expect_segment(&mut self, number: u64) {
        let after = self.last_number();
        if number > after {
            self.add_gap(LogGap::Truncated { after, written: number });
        }
    }

    /// Adds a gap if the last process did not shut down gracefully: no further segment of it follows.
    pub(super) fn close_open_process(&mut self) {
        if let Some(OpenProcess { run_id, last_segment_end }) = self.open_process.take() {
            self.add_gap(LogGap::UncleanShutdown { run_id, after: last_segment_end });
        }
    }

    fn add_gap(&mut self, gap: LogGap) {
        if self.gaps.len() < MAX_GAPS {
            self.gaps.push(gap);
        }
    }

    /// The last segment of the chain; its number is 0 if there is none.
    pub(super) fn end(&self) -> ChainEnd {
        self.end.unwrap_or_default()
    }

    /// Continues the chain after the number of a lost segment, so that the number is not used again.
    pub(super) fn skip_to(&mut self, number: u64) {
        if number > self.last_number() {
            self.end = Some(ChainEnd { number, hash: SegmentHash::default() });
        }
    }

    /// Numbers a new segment, and links it to the end of the chain.
    pub(super) fn append(&mut self, segment: &mut AuditSegment) {
        let end = self.end();
        segment.number = end.number + 1;
        segment.previous_hash_high = end.hash.high;
        segment.previous_hash_low = end.hash.low;
        self.end = Some(ChainEnd { number: segment.number, hash: SegmentHash::of(segment) });
        self.segments += 1;
    }

    /// The number of the last segment; 0 if there is none.
    pub fn last_number(&self) -> u64 {
        self.end().number
    }

    /// The number of segments that were verified or appended.
    pub fn segments(&self) -> u64 {
        self.segments
    }

    /// The gaps that were found; only the first ones if there are very many.
    pub fn gaps(&self) -> &[LogGap] {
        &self.gaps
    }
}
