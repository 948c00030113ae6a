//! A query of the audit logs of all routers, which ends after a fixed time.

use crate::{Nanos, MILLISECOND};
use gaparch_protocol::ops::to_bytes;
use gaparch_protocol::versions::{AuditFilter, AuditRow, ReplicationMessage};
use std::collections::BTreeMap;

/// The time within which all routers have to answer.
const QUERY_TIMEOUT: Nanos = 1_800 * MILLISECOND;
/// The time after which a router that has not answered in full is asked again.
const RETRY_INTERVAL: Nanos = 200 * MILLISECOND;
/// The greatest number of bytes of rows in one datagram.
const PAGE_BYTES: usize = 700;
/// The greatest number of pages sent per request.
const MAX_PAGES: usize = 8;
/// The greatest number of rows accepted from one router.
const MAX_ROWS: u32 = 4096;

/// The answer of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditAnswer {
    /// The name of the router.
    pub router: String,
    /// The rows of its log, with times converted to the local clock.
    pub rows: Vec<AuditRow>,
    /// The number of gaps in its log; `None` if it did not answer in full.
    pub gaps: Option<u32>,
}

/// The part of one router's answer that was received.
#[derive(Clone, Debug, Default)]
struct PartialAnswer {
    rows: BTreeMap<u32, AuditRow>,
    total: Option<u32>,
    gaps: u32,
}

impl PartialAnswer {
    fn is_complete(&self) -> bool {
        self.total.is_some_and(|total| self.rows.len() as u32 == total)
    }

    fn first_missing(&self) -> u32 {
        (0..).find(|index| !self.rows.contains_key(index)).unwrap_or(0)
    }
}

/// One query of all routers.
#[derive(Clone, Debug)]
pub struct AuditQuery {
    nonce: u64,
    filter: AuditFilter,
    answers: BTreeMap<String, PartialAnswer>,
    deadline: Nanos,
    next_attempt_at: Nanos,
}

impl AuditQuery {
    /// Starts a query of these routers.
    pub fn new(nonce: u64, filter: AuditFilter, routers: Vec<String>, now: Nanos) -> AuditQuery {
        let answers = routers.into_iter().map(|router| (router, PartialAnswer::default())).collect();
        AuditQuery { nonce, filter, answers, deadline: now + QUERY_TIMEOUT, next_attempt_at: now }
    }

    /// The filter of the query.
    pub fn filter(&self) -> &AuditFilter {
        &self.filter
    }

    /// When [`on_timer`](AuditQuery::on_timer) or [`is_over`](AuditQuery::is_over) has to be called next.
    pub fn next_timer_at(&self) -> Nanos {
        self.next_attempt_at.min(self.deadline)
    }

    fn request(&self, first: u32) -> ReplicationMessage {
        ReplicationMessage::AuditRequest { nonce: self.nonce, filter: self.filter.clone(), first }
    }

    /// Adds a request for each router that has not answered in full to `out`, with the name of that router.
    pub fn on_timer(&mut self, now: Nanos, out: &mut Vec<(String, ReplicationMessage)>) {
        if now < self.next_attempt_at {
            return;
        }
        self.next_attempt_at = now + RETRY_INTERVAL;
        for (router, answer) in &self.answers {
            if !answer.is_complete() {
                out.push((router.clone(), self.request(answer.first_missing())));
            }
        }
    }

    /// Handles a page of rows. Any other message, and a page of another query, is ignored.
    pub fn on_message(
        &mut self,
        now: Nanos,
        from: &str,
        message: &ReplicationMessage,
        out: &mut Vec<(String, ReplicationMessage)>,
    ) {
        let ReplicationMessage::AuditPage { nonce, now: sender_now, gaps, first, total, rows } = message
        else {
            return;
        };
        if *nonce != self.nonce || *total > MAX_ROWS {
            return;
        }
        let Some(answer) = self.answers.get_mut(from) else { return };
        if answer.total != Some(*total) {
            // The selected rows have changed since: all of them are read again.
            *answer = PartialAnswer { total: Some(*total), ..PartialAnswer::default() };
        }
        answer.gaps = *gaps;
        for (index, row) in (*first..*total).zip(rows) {
            answer.rows.insert(index, with_local_times(row, *sender_now, now));
        }
        let end = first + rows.len() as u32;
        let first_missing = answer.first_missing();
        // The last page of a burst requests the next burst.
        if !answer.is_complete() && first_missing == end {
            out.push((from.to_owned(), self.request(first_missing)));
        }
    }

    /// Whether all routers have answered in full, or the timeout has passed.
    pub fn is_over(&self, now: Nanos) -> bool {
        now >= self.deadline || self.answers.values().all(PartialAnswer::is_complete)
    }

    /// The answers of all routers, in the order of their names.
    pub fn into_answers(self) -> Vec<AuditAnswer> {
        let answer = |(router, answer): (String, PartialAnswer)| AuditAnswer {
            router,
            gaps: answer.is_complete().then_some(answer.gaps),
            rows: answer.rows.into_values().collect(),
        };
        self.answers.into_iter().map(answer).collect()
    }
}

/// Converts the times of a row to the local clock, which shows `now` when the sender's shows `sender_now`:
/// the clocks of two routers may be hours apart.
fn with_local_times(row: &AuditRow, sender_now: u64, now: u64) -> AuditRow {
    let local = |time: u64| match now >= sender_now {
        true => time.saturating_add(now - sender_now),
        false => time.saturating_sub(sender_now - now),
    };
    let mut row = row.clone();
    row.counts.first_at = local(row.counts.first_at);
    row.counts.last_at = local(row.counts.last_at);
    row
}

/// The pages with which a router answers a query of its own log, from the row at index `first` on.
pub fn answer_pages(
    nonce: u64,
    now: Nanos,
    gaps: u32,
    rows: &[AuditRow],
    first: u32,
) -> Vec<ReplicationMessage> {
    let total = rows.len() as u32;
    let mut pages = Vec::new();
    let mut next = first.min(total);
    while pages.len() < MAX_PAGES && (next < total || pages.is_empty()) {
        let page = rows_of_page(&rows[next as usize..]);
        let count = page.len() as u32;
        pages.push(ReplicationMessage::AuditPage { nonce, now, gaps, first: next, total, rows: page });
        if count == 0 {
            break;
        }
        next += count;
    }
    pages
}

fn rows_of_page(rows: &[AuditRow]) -> Vec<AuditRow> {
    let mut room = PAGE_BYTES;
    let mut page = Vec::new();
    for row in rows {
        let length = to_bytes(row).len();
        if length > room {
            break;
        }
        room -= length;
        page.push(row.clone());
    }
    page
}

#[cfg(test)]
#[path = "query_tests.rs"]
mod tests;
