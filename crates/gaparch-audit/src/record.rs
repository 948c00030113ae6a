//! What a router acted by, and what it sent meanwhile.
//!
//! [`Tally`] counts on the hot path and never waits. What it has counted goes to the [`Book`], which makes pieces of it: each
//! has a number, and the hash of the piece before. A piece that was removed, altered, swapped or never written shows as a
//! [`Gap`], and so does the end of a process that did not end in good order: nobody knows what it sent last.

use gaparch_protocol::ops::to_bytes;
use gaparch_protocol::versions::{AuditFilter, AuditRow, AuditSegment, SendContext, SendCounts, SendRecord};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// Single sends that one hand-over, and one piece, has room for.
const SINGLES: usize = 512;
/// Pieces that can be asked about; older ones are on disk only.
const PIECES: usize = 2048;
/// A piece is closed after so long, in nanoseconds: what a kill loses.
const CLOSE_AFTER: u64 = 5_000_000_000;
/// Rows of one answer.
const ROWS: usize = 512;

/// What is sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Read = 1,
    Write = 2,
    Probe = 3,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Count {
    by_kind: [u64; 3],
    first_at: u64,
    last_at: u64,
}

/// Counts of what is sent under one stamp, by the engine's number.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    counts: BTreeMap<u32, Count>,
    singles: Vec<(u32, SendRecord)>,
    left_out: u64,
}

impl Tally {
    /// Something goes out now.
    pub fn note(&mut self, engine: u32, kind: Kind, request: u64, attempt: u32, at: u64) {
        let count = self.counts.entry(engine).or_insert(Count { first_at: at, ..Count::default() });
        count.by_kind[kind as usize - 1] += 1;
        count.last_at = at;
        if self.singles.len() < SINGLES {
            self.singles.push((engine, SendRecord { at, request, attempt, engine: 0, kind: kind as u8 }));
        } else {
            self.left_out += 1;
        }
    }

    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// All of it, with the engines' names; the tally begins anew.
    pub fn take(&mut self, stamp: SendContext, at: u64, name: impl Fn(u32) -> String) -> Sent {
        let tally = std::mem::take(self);
        let mut numbers = BTreeMap::new();
        let mut sends = Vec::new();
        for (engine, count) in tally.counts {
            numbers.insert(engine, sends.len() as u16);
            let [reads, writes, probes] = count.by_kind;
            let (first_at, last_at) = (count.first_at, count.last_at);
            sends.push(SendCounts {
                engine: name(engine),
                prefills: reads,
                decodes: writes,
                probes,
                first_at,
                last_at,
            });
        }
        let place = |(engine, single): (u32, SendRecord)| SendRecord {
            engine: numbers.get(&engine).copied().unwrap_or(u16::MAX),
            ..single
        };
        let singles = tally.singles.into_iter().map(place).collect();
        Sent { stamp, at, sends, singles, left_out: tally.left_out }
    }
}

/// What a tally has counted under one stamp, up to a time.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Sent {
    pub stamp: SendContext,
    pub at: u64,
    pub sends: Vec<SendCounts>,
    pub singles: Vec<SendRecord>,
    pub left_out: u64,
}

/// Where something is missing in a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Gap {
    /// Pieces between these numbers are not there, or can't be read.
    Missing { after: u64, before: u64 },
    /// That piece does not follow the one before it: one of the two was altered.
    Broken { at: u64 },
    /// It stands out of its order.
    Swapped { at: u64 },
    /// A process ended without a last word; what it sent after that time is not known.
    Killed { run: u64, after: u64 },
    /// Others, or the folder's own mark, have witnessed a later piece than is there.
    Cut { after: u64, witnessed: u64 },
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Gap::Missing { after, before } => write!(f, "pieces {} to {} are missing", after + 1, before - 1),
            Gap::Broken { at } => {
                write!(f, "piece {at} does not follow the one before: one of them was altered")
            }
            Gap::Swapped { at } => write!(f, "piece {at} stands out of its order"),
            Gap::Killed { run, after } => {
                write!(
                    f,
                    "process {run:x} ended without a last word; what it sent after {after} ns is not known"
                )
            }
            Gap::Cut { after, witnessed } => {
                write!(f, "it ends with piece {after}, though piece {witnessed} was written")
            }
        }
    }
}

fn hash(piece: &AuditSegment) -> (u64, u64) {
    let hash = Sha256::digest(to_bytes(piece));
    let part = |from: usize| hash.iter().skip(from).take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte));
    (part(0), part(8))
}

/// Walks over pieces, in the order in which they are kept.
#[derive(Clone, Debug, Default)]
pub struct Chain {
    last: Option<(u64, (u64, u64))>,
    open: Option<(u64, u64)>,
    pub pieces: u64,
    pub gaps: Vec<Gap>,
}

/// Gaps that are told one by one.
const GAPS: usize = 1000;

impl Chain {
    pub fn take(&mut self, piece: &AuditSegment) {
        self.pieces += 1;
        if let Some((number, before)) = self.last {
            if piece.number <= number {
                self.gap(Gap::Swapped { at: piece.number });
            } else if piece.number > number + 1 {
                self.gap(Gap::Missing { after: number, before: piece.number });
            } else if (piece.previous_hash_high, piece.previous_hash_low) != before {
                self.gap(Gap::Broken { at: piece.number });
            }
        }
        if let Some((run, after)) = self.open.take().filter(|(run, _)| *run != piece.run_id) {
            self.gap(Gap::Killed { run, after });
        }
        self.open = (!piece.ends_process).then_some((piece.run_id, piece.to_at));
        if self.last.is_none_or(|(number, _)| piece.number > number) {
            self.last = Some((piece.number, hash(piece)));
        }
    }

    /// A later piece than any here is known to have been written.
    pub fn witnessed(&mut self, number: u64) {
        let after = self.number();
        if number > after {
            self.gap(Gap::Cut { after, witnessed: number });
        }
    }

    fn gap(&mut self, gap: Gap) {
        if self.gaps.len() < GAPS {
            self.gaps.push(gap);
        }
    }

    /// The number of the last piece.
    pub fn number(&self) -> u64 {
        self.last.map_or(0, |(number, _)| number)
    }
}

/// A router's record: the chain on disk, and what can be asked about.
#[derive(Clone, Debug)]
pub struct Book {
    run: u64,
    chain: Chain,
    pieces: VecDeque<AuditSegment>,
    open: Option<AuditSegment>,
    began: bool,
}

impl Book {
    /// With the pieces that are on disk, in their order, and the number of the last one that was written there.
    pub fn new(run: u64, kept: impl IntoIterator<Item = AuditSegment>, written: u64) -> Book {
        let mut book =
            Book { run, chain: Chain::default(), pieces: VecDeque::new(), open: None, began: false };
        for piece in kept {
            book.chain.take(&piece);
            book.remember(piece);
        }
        book.chain.witnessed(written);
        if let Some((run, after)) = book.chain.open.take() {
            book.chain.gap(Gap::Killed { run, after });
        }
        // What was written under these numbers once must not be written anew.
        if written > book.chain.number() {
            book.chain.last = Some((written, (0, 0)));
        }
        book
    }

    fn remember(&mut self, piece: AuditSegment) {
        if self.pieces.len() >= PIECES {
            self.pieces.pop_front();
        }
        self.pieces.push_back(piece);
    }

    pub fn gaps(&self) -> &[Gap] {
        &self.chain.gaps
    }

    /// The number of the last piece that was closed.
    pub fn number(&self) -> u64 {
        self.chain.number()
    }

    /// The process begins: a piece says so before anything is sent, so that a kill leaves a trace however soon it comes.
    pub fn begin(&mut self, at: u64) -> Option<AuditSegment> {
        self.take(&Sent { at, ..Sent::default() });
        self.close(false)
    }

    /// Takes what was sent; the piece that is to be written now, if one is closed by it.
    pub fn take(&mut self, sent: &Sent) -> Option<AuditSegment> {
        let closed = match &self.open {
            Some(open) if open.context != sent.stamp => self.close(false),
            _ => None,
        };
        let begins = !std::mem::replace(&mut self.began, true);
        let run = self.run;
        let open = self.open.get_or_insert_with(|| AuditSegment {
            number: 0,
            previous_hash_high: 0,
            previous_hash_low: 0,
            run_id: run,
            from_at: sent.at,
            to_at: sent.at,
            starts_process: begins,
            ends_process: false,
            context: sent.stamp.clone(),
            counts: Vec::new(),
            records: Vec::new(),
            omitted_records: 0,
        });
        open.to_at = sent.at;
        open.omitted_records += sent.left_out;
        let mut places = Vec::new();
        for one in &sent.sends {
            open.from_at = open.from_at.min(one.first_at);
            let at = open.counts.iter().position(|s| s.engine == one.engine);
            match at.and_then(|at| open.counts.get_mut(at)) {
                Some(known) => {
                    known.prefills += one.prefills;
                    known.decodes += one.decodes;
                    known.probes += one.probes;
                    known.first_at = known.first_at.min(one.first_at);
                    known.last_at = known.last_at.max(one.last_at);
                }
                None => open.counts.push(one.clone()),
            }
            places.push(at.unwrap_or(open.counts.len() - 1) as u16);
        }
        for single in &sent.singles {
            match places.get(usize::from(single.engine)).filter(|_| open.records.len() < SINGLES) {
                Some(place) => open.records.push(SendRecord { engine: *place, ..*single }),
                None => open.omitted_records += 1,
            }
        }
        let old = open.to_at >= open.from_at.saturating_add(CLOSE_AFTER);
        closed.or_else(|| if old { self.close(false) } else { None })
    }

    /// Closes what is open; `ends`: the process ends in good order.
    pub fn close(&mut self, ends: bool) -> Option<AuditSegment> {
        let mut piece = self.open.take()?;
        let (number, (before, before_low)) = self.chain.last.unwrap_or((0, (0, 0)));
        (piece.number, piece.previous_hash_high, piece.previous_hash_low, piece.ends_process) =
            (number + 1, before, before_low, ends);
        self.chain.last = Some((piece.number, hash(&piece)));
        self.chain.pieces += 1;
        self.remember(piece.clone());
        Some(piece)
    }

    /// The process ends in good order: the last piece says so.
    pub fn end(&mut self, at: u64) -> Option<AuditSegment> {
        let stamp = self.pieces.back().map(|piece| piece.context.clone()).unwrap_or_default();
        let stamp = self.open.as_ref().map_or(stamp, |open| open.context.clone());
        self.take(&Sent { stamp, at, ..Sent::default() });
        self.close(true)
    }

    /// What was sent, by version and engine.
    pub fn rows(&self, filter: &AuditFilter) -> Vec<AuditRow> {
        let mut rows: Vec<AuditRow> = Vec::new();
        for piece in self.pieces.iter().chain(&self.open) {
            let list = piece.context.list;
            if filter.below_version.is_some_and(|below| list.version >= below) {
                continue;
            }
            for (n, sends) in piece.counts.iter().enumerate() {
                let engine = filter.engine.as_ref().is_none_or(|engine| *engine == sends.engine);
                let until = filter.until.unwrap_or(u64::MAX);
                let time = sends.last_at >= filter.since && sends.first_at <= until;
                let asked = |request| {
                    piece.records.iter().any(|s| usize::from(s.engine) == n && s.request == request)
                };
                if !engine || !time || !filter.request.is_none_or(asked) {
                    continue;
                }
                let same = |r: &AuditRow| r.list == list && r.counts.engine == sends.engine;
                match rows.iter().position(same) {
                    Some(at) => {
                        let row = &mut rows[at];
                        row.counts.prefills += sends.prefills;
                        row.counts.decodes += sends.decodes;
                        row.counts.probes += sends.probes;
                        row.counts.first_at = row.counts.first_at.min(sends.first_at);
                        row.counts.last_at = row.counts.last_at.max(sends.last_at);
                        row.confirmed &= piece.context.confirmed;
                    }
                    None if rows.len() < ROWS => {
                        rows.push(AuditRow {
                            list,
                            confirmed: piece.context.confirmed,
                            counts: sends.clone(),
                        });
                    }
                    None => return rows,
                }
            }
        }
        rows
    }
}

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
