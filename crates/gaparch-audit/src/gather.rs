//! Asking all routers what their records say, in bounded time.

use crate::{Nanos, MS};
use gaparch_protocol::ops::to_bytes;
use gaparch_protocol::versions::{AuditFilter, AuditRow, ReplicationMessage};
use std::collections::BTreeMap;

/// For all to answer.
const WITHIN: Nanos = 1_800 * MS;
/// Whoever has not answered in whole is asked again after so long.
const AGAIN: Nanos = 200 * MS;
/// Rows in one datagram, pages on one question, and rows of one router.
const BYTES: usize = 700;
const PAGES: usize = 8;
const MOST_ROWS: u32 = 4096;

/// What one router has answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub router: String,
    /// Times by the clock here.
    pub rows: Vec<AuditRow>,
    /// In its record; none: it did not answer in whole.
    pub gaps: Option<u32>,
}

#[derive(Clone, Debug, Default)]
struct Part {
    rows: BTreeMap<u32, AuditRow>,
    of: Option<u32>,
    gaps: u32,
}

impl Part {
    fn is_whole(&self) -> bool {
        self.of.is_some_and(|of| self.rows.len() as u32 == of)
    }

    fn missing(&self) -> u32 {
        (0..).find(|n| !self.rows.contains_key(n)).unwrap_or(0)
    }
}

/// One question to all.
#[derive(Clone, Debug)]
pub struct Gather {
    nonce: u64,
    filter: AuditFilter,
    parts: BTreeMap<String, Part>,
    until: Nanos,
    next_at: Nanos,
}

impl Gather {
    pub fn new(nonce: u64, filter: AuditFilter, routers: Vec<String>, now: Nanos) -> Gather {
        let parts = routers.into_iter().map(|router| (router, Part::default())).collect();
        Gather { nonce, filter, parts, until: now + WITHIN, next_at: now }
    }

    pub fn filter(&self) -> &AuditFilter {
        &self.filter
    }

    pub fn next_at(&self) -> Nanos {
        self.next_at.min(self.until)
    }

    /// Asks those that have not answered in whole.
    pub fn on_time(&mut self, now: Nanos, out: &mut Vec<(String, ReplicationMessage)>) {
        if now < self.next_at {
            return;
        }
        self.next_at = now + AGAIN;
        let open = self.parts.iter().filter(|(_, part)| !part.is_whole());
        out.extend(open.map(|(router, part)| {
            let (nonce, filter) = (self.nonce, self.filter.clone());
            (router.clone(), ReplicationMessage::AuditRequest { nonce, filter, first: part.missing() })
        }));
    }

    /// Takes rows; those that answer another question are left.
    pub fn on_talk(
        &mut self,
        now: Nanos,
        from: &str,
        talk: &ReplicationMessage,
        out: &mut Vec<(String, ReplicationMessage)>,
    ) {
        let ReplicationMessage::AuditPage { nonce, now: theirs, gaps, first: at, total: of, rows } = talk
        else {
            return;
        };
        let Some(part) = self.parts.get_mut(from).filter(|_| *nonce == self.nonce && *of <= MOST_ROWS) else {
            return;
        };
        if part.of != Some(*of) {
            // Its record has grown meanwhile: it is read anew.
            *part = Part { of: Some(*of), ..Part::default() };
        }
        part.gaps = *gaps;
        // Its clock may be hours off: what it tells is moved by what the two differ now.
        let shift = |time: u64| match now >= *theirs {
            true => time.saturating_add(now - theirs),
            false => time.saturating_sub(theirs - now),
        };
        let last = at + rows.len() as u32;
        for (n, row) in (*at..*of).zip(rows) {
            let mut row = row.clone();
            (row.counts.first_at, row.counts.last_at) =
                (shift(row.counts.first_at), shift(row.counts.last_at));
            part.rows.insert(n, row);
        }
        let missing = part.missing();
        if !part.is_whole() && missing == last {
            let (nonce, filter) = (self.nonce, self.filter.clone());
            out.push((from.to_owned(), ReplicationMessage::AuditRequest { nonce, filter, first: missing }));
        }
    }

    /// All have answered, or their time is over.
    pub fn is_over(&self, now: Nanos) -> bool {
        now >= self.until || self.parts.values().all(Part::is_whole)
    }

    pub fn told(self) -> Vec<Told> {
        let told = |(router, part): (String, Part)| Told {
            router,
            gaps: part.is_whole().then_some(part.gaps),
            rows: part.rows.into_values().collect(),
        };
        self.parts.into_iter().map(told).collect()
    }
}

/// What a router says of its own record.
pub fn answer(nonce: u64, now: Nanos, gaps: u32, rows: &[AuditRow], from: u32) -> Vec<ReplicationMessage> {
    let of = rows.len() as u32;
    let mut pages = Vec::new();
    let mut at = from.min(of);
    while pages.len() < PAGES && (at < of || pages.is_empty()) {
        let (mut room, mut some) = (BYTES, Vec::new());
        for row in rows.iter().skip(at as usize) {
            let length = to_bytes(row).len();
            if length > room {
                break;
            }
            room -= length;
            some.push(row.clone());
        }
        let count = some.len() as u32;
        pages.push(ReplicationMessage::AuditPage { nonce, now, gaps, first: at, total: of, rows: some });
        if count == 0 {
            break;
        }
        at += count;
    }
    pages
}

#[cfg(test)]
#[path = "gather_tests.rs"]
mod tests;
