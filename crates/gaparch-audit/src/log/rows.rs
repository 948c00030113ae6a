//! The rows of a log that a filter selects.

use super::audit_log::merge_counts;
use gaparch_protocol::versions::{AuditFilter, AuditRow, AuditSegment, ListVersion, SendCounts};

/// The greatest number of rows of one answer.
const MAX_ROWS: usize = 512;

/// Rows by list version and server, in the order of their first segments.
pub(super) struct Rows<'a> {
    filter: &'a AuditFilter,
    rows: Vec<AuditRow>,
}

impl<'a> Rows<'a> {
    pub fn new(filter: &'a AuditFilter) -> Rows<'a> {
        Rows { filter, rows: Vec::new() }
    }

    pub fn into_vec(self) -> Vec<AuditRow> {
        self.rows
    }

    /// Adds the counts of a segment that the filter selects; returns `false` once there is no more room.
    pub fn add_segment(&mut self, segment: &AuditSegment) -> bool {
        let list = segment.context.list;
        if self.filter.below_version.is_some_and(|below| list.version >= below) {
            return true;
        }
        for (position, counts) in segment.counts.iter().enumerate() {
            let is_selected = self.selects(counts) && self.selects_request(segment, position);
            if is_selected && !self.add(list, segment.context.confirmed, counts) {
                return false;
            }
        }
        true
    }

    fn selects(&self, counts: &SendCounts) -> bool {
        let is_selected_server = self.filter.engine.as_ref().is_none_or(|engine| *engine == counts.engine);
        let until = self.filter.until.unwrap_or(u64::MAX);
        is_selected_server && counts.last_at >= self.filter.since && counts.first_at <= until
    }

    fn selects_request(&self, segment: &AuditSegment, position: usize) -> bool {
        let Some(request) = self.filter.request else { return true };
        let mut records = segment.records.iter();
        records.any(|record| usize::from(record.engine) == position && record.request == request)
    }

    fn add(&mut self, list: ListVersion, confirmed: bool, counts: &SendCounts) -> bool {
        let mut rows = self.rows.iter_mut();
        if let Some(row) = rows.find(|row| row.list == list && row.counts.engine == counts.engine) {
            merge_counts(&mut row.counts, counts);
            row.confirmed &= confirmed;
            return true;
        }
        if self.rows.len() >= MAX_ROWS {
            return false;
        }
        self.rows.push(AuditRow { list, confirmed, counts: counts.clone() });
        true
    }
}
