//! Counters of sends for the hot path.

use super::MAX_RECORDS;
use gaparch_protocol::versions::{SendContext, SendCounts, SendRecord};
use std::collections::BTreeMap;

/// What is sent to a server. The discriminants are stored in the records of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// The prefill phase of a request.
    Prefill = 1,
    /// The decode phase of a request.
    Decode = 2,
    /// A health check.
    Probe = 3,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ServerCount {
    prefills: u64,
    decodes: u64,
    probes: u64,
    first_at: u64,
    last_at: u64,
}

impl ServerCount {
    fn add(&mut self, kind: SendKind, at: u64) {
        match kind {
            SendKind::Prefill => self.prefills += 1,
            SendKind::Decode => self.decodes += 1,
            SendKind::Probe => self.probes += 1,
        }
        self.last_at = at;
    }

    fn with_name(self, engine: String) -> SendCounts {
        let ServerCount { prefills, decodes, probes, first_at, last_at } = self;
        SendCounts { engine, prefills, decodes, probes, first_at, last_at }
    }
}

/// A record whose server is given by its number, not yet by its position in the counts of the batch.
#[derive(Clone, Copy, Debug)]
struct UnresolvedRecord {
    server: u32,
    record: SendRecord,
}

/// Counts of the sends under one context, by the server's number.
#[derive(Clone, Debug, Default)]
pub struct SendTally {
    counts: BTreeMap<u32, ServerCount>,
    records: Vec<UnresolvedRecord>,
    omitted_records: u64,
}

impl SendTally {
    /// Counts a send. `at` is in nanoseconds since the Unix epoch; `request` is 0 for a health check.
    pub fn record(&mut self, server: u32, kind: SendKind, request: u64, attempt: u32, at: u64) {
        let first = ServerCount { first_at: at, ..ServerCount::default() };
        self.counts.entry(server).or_insert(first).add(kind, at);
        if self.records.len() < MAX_RECORDS {
            let record = SendRecord { at, request, attempt, engine: 0, kind: kind as u8 };
            self.records.push(UnresolvedRecord { server, record });
        } else {
            self.omitted_records += 1;
        }
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Takes the counts of all sends under a context up to `at`, with the servers' names, and resets them.
    pub fn take(&mut self, context: SendContext, at: u64, name: impl Fn(u32) -> String) -> SendBatch {
        let tally = std::mem::take(self);
        let mut positions = BTreeMap::new();
        let mut counts = Vec::new();
        for (server, count) in tally.counts {
            positions.insert(server, counts.len() as u16);
            counts.push(count.with_name(name(server)));
        }
        let resolve = |unresolved: UnresolvedRecord| SendRecord {
            engine: positions.get(&unresolved.server).copied().unwrap_or(u16::MAX),
            ..unresolved.record
        };
        let records = tally.records.into_iter().map(resolve).collect();
        SendBatch { context, at, counts, records, omitted_records: tally.omitted_records }
    }
}

/// The sends that a tally has counted under one context.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct SendBatch {
    /// The context of the sends.
    pub context: SendContext,
    /// When the batch was taken, in nanoseconds since the Unix epoch.
    pub at: u64,
    /// The counts, by server.
    pub counts: Vec<SendCounts>,
    /// Records of single sends.
    pub records: Vec<SendRecord>,
    /// The number of sends that are counted but have no record of their own.
    pub omitted_records: u64,
}
