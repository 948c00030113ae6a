//! The audit log of one router: the open segment, and the closed segments that can be queried.

use super::chain::{ChainVerifier, LogGap};
use super::rows::Rows;
use super::tally::SendBatch;
use super::MAX_RECORDS;
use gaparch_protocol::versions::{AuditFilter, AuditRow, AuditSegment, SendCounts, SendRecord};
use std::collections::VecDeque;

/// The number of closed segments kept in memory for queries; older ones are on disk only.
const MAX_SEGMENTS: usize = 2048;
/// The time after which a segment is closed, in nanoseconds: the most that a killed process loses of its log.
const MAX_SEGMENT_DURATION: u64 = 5_000_000_000;

/// The audit log of one router.
#[derive(Clone, Debug)]
pub struct AuditLog {
    run_id: u64,
    chain: ChainVerifier,
    segments: VecDeque<AuditSegment>,
    /// The segment to which batches are added.
    open: Option<AuditSegment>,
    has_started: bool,
}

impl AuditLog {
    /// Continues the log whose segments are on disk, in their order. `last_written` is the number of the last
    /// segment that is known to have been written.
    pub fn new(run_id: u64, stored: impl IntoIterator<Item = AuditSegment>, last_written: u64) -> AuditLog {
        let mut log = AuditLog {
            run_id,
            chain: ChainVerifier::default(),
            segments: VecDeque::new(),
            open: None,
            has_started: false,
        };
        for segment in stored {
            log.chain.push(&segment);
            log.push_segment(segment);
        }
        log.chain.expect_segment(last_written);
        log.chain.close_open_process();
        log.chain.skip_to(last_written);
        log
    }

    fn push_segment(&mut self, segment: AuditSegment) {
        if self.segments.len() >= MAX_SEGMENTS {
            self.segments.pop_front();
        }
        self.segments.push_back(segment);
    }

    /// The gaps that the log on disk had at the start.
    pub fn gaps(&self) -> &[LogGap] {
        self.chain.gaps()
    }

    /// The number of the last closed segment.
    pub fn last_number(&self) -> u64 {
        self.chain.last_number()
    }

    /// Starts the log of this process, and returns the segment that marks the start. It has to be written
    /// before anything is sent, so that a process that is killed at once is found in the log, too.
    pub fn start(&mut self, at: u64) -> Option<AuditSegment> {
        self.append(&SendBatch { at, ..SendBatch::default() });
        self.close_segment(false)
    }

    /// Appends a batch. If that closes a segment, returns it to be written.
    pub fn append(&mut self, batch: &SendBatch) -> Option<AuditSegment> {
        let closed = match &self.open {
            Some(open) if open.context != batch.context => self.close_segment(false),
            _ => None,
        };
        let starts_process = !std::mem::replace(&mut self.has_started, true);
        let run_id = self.run_id;
        let open = self.open.get_or_insert_with(|| empty_segment(run_id, batch, starts_process));
        add_batch(open, batch);
        let is_due = open.to_at >= open.from_at.saturating_add(MAX_SEGMENT_DURATION);
        match closed {
            Some(segment) => Some(segment),
            None if is_due => self.close_segment(false),
            None => None,
        }
    }

    /// Closes the open segment, and returns it to be written. `ends_process` marks a graceful shutdown.
    pub fn close_segment(&mut self, ends_process: bool) -> Option<AuditSegment> {
        let mut segment = self.open.take()?;
        segment.ends_process = ends_process;
        self.chain.append(&mut segment);
        self.push_segment(segment.clone());
        Some(segment)
    }

    /// Ends the log of this process with a segment that marks a graceful shutdown.
    pub fn finish(&mut self, at: u64) -> Option<AuditSegment> {
        let last = self.open.as_ref().or(self.segments.back());
        let context = last.map(|segment| segment.context.clone()).unwrap_or_default();
        self.append(&SendBatch { context, at, ..SendBatch::default() });
        self.close_segment(true)
    }

    /// The counts of sends that the filter selects, by list version and server.
    pub fn rows(&self, filter: &AuditFilter) -> Vec<AuditRow> {
        let mut rows = Rows::new(filter);
        for segment in self.segments.iter().chain(&self.open) {
            if !rows.add_segment(segment) {
                break;
            }
        }
        rows.into_vec()
    }
}

fn empty_segment(run_id: u64, batch: &SendBatch, starts_process: bool) -> AuditSegment {
    AuditSegment {
        number: 0,
        previous_hash_high: 0,
        previous_hash_low: 0,
        run_id,
        from_at: batch.at,
        to_at: batch.at,
        starts_process,
        ends_process: false,
        context: batch.context.clone(),
        counts: Vec::new(),
        records: Vec::new(),
        omitted_records: 0,
    }
}

fn add_batch(segment: &mut AuditSegment, batch: &SendBatch) {
    segment.to_at = batch.at;
    segment.omitted_records += batch.omitted_records;
    let mut positions = Vec::new();
    for counts in &batch.counts {
        segment.from_at = segment.from_at.min(counts.first_at);
        positions.push(add_counts(&mut segment.counts, counts) as u16);
    }
    for record in &batch.records {
        let position = positions.get(usize::from(record.engine));
        match position.filter(|_| segment.records.len() < MAX_RECORDS) {
            Some(position) => segment.records.push(SendRecord { engine: *position, ..*record }),
            None => segment.omitted_records += 1,
        }
    }
}

/// Adds the counts of one server; returns its position in `all`.
fn add_counts(all: &mut Vec<SendCounts>, counts: &SendCounts) -> usize {
    let Some(position) = all.iter().position(|known| known.engine == counts.engine) else {
        all.push(counts.clone());
        return all.len() - 1;
    };
    merge_counts(&mut all[position], counts);
    position
}

/// Adds `other` to the counts of the same server.
pub(super) fn merge_counts(known: &mut SendCounts, other: &SendCounts) {
    known.prefills += other.prefills;
    known.decodes += other.decodes;
    known.probes += other.probes;
    known.first_at = known.first_at.min(other.first_at);
    known.last_at = known.last_at.max(other.last_at);
}
