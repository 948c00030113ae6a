//! Why requests were not served, and what became of their clients.

mod follow_ups;
mod groups;
mod matching;
mod size;
mod tenants;

use gaparch_protocol::ops::outcome::{
    EngineEvidence, FollowUp, GlobalRequestId, OutcomeFilter, OutcomeGroup, OutcomeKind, RequestOutcome,
};
use gaparch_protocol::ops::view::TenantView;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// The schema of the records on disk.
pub const OUTCOME_SCHEMA: u16 = 1;
/// The most outcomes of served requests in memory.
const MAX_SERVED: usize = 500;
const DEFAULT_MAX_BYTES: usize = 32 << 20;

/// The bounds of an [`OutcomeLog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeLogLimits {
    /// The most bytes of outcomes that were not served, as estimated.
    pub max_bytes: usize,
}

impl Default for OutcomeLogLimits {
    fn default() -> Self {
        OutcomeLogLimits { max_bytes: DEFAULT_MAX_BYTES }
    }
}

/// The outcome of a request that was not served. The evidence is shared: in an overload a thousand requests see the
/// same engines.
#[derive(Clone, Debug)]
struct LoggedOutcome {
    /// Without its evidence.
    outcome: RequestOutcome,
    evidence: Arc<Vec<EngineEvidence>>,
    /// The estimated bytes that it takes.
    bytes: usize,
}

impl LoggedOutcome {
    fn with_evidence(&self) -> RequestOutcome {
        RequestOutcome { evidence: self.evidence.to_vec(), ..self.outcome.clone() }
    }
}

/// A client has sent a request again that was not served before.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedFollowUp {
    /// The earlier request.
    pub request: GlobalRequestId,
    /// What came of the later one.
    pub follow_up: FollowUp,
}

/// The outcomes of requests that were not served, and the last few of those that were.
///
/// It gets the outcomes of all requests, since a client that retries is recognized by how its next request ended. It
/// is bounded in bytes: the oldest outcomes are dropped.
#[derive(Clone, Debug, Default)]
pub struct OutcomeLog {
    limits: OutcomeLogLimits,
    not_served: VecDeque<LoggedOutcome>,
    /// The number of the first of these; each outcome has the next number.
    first_number: u64,
    /// The estimated bytes of all of these.
    bytes: usize,
    numbers: HashMap<GlobalRequestId, u64>,
    /// The numbers of those whose client has not been seen again, by fingerprint.
    without_follow_up: HashMap<u64, VecDeque<u64>>,
    served: VecDeque<RequestOutcome>,
    tenants: tenants::TenantCounters,
    dropped: u64,
}

impl OutcomeLog {
    /// An empty log with these bounds.
    pub fn new(limits: OutcomeLogLimits) -> OutcomeLog {
        OutcomeLog { limits, ..OutcomeLog::default() }
    }

    /// Adds the outcome of a request. Returns the earlier requests that it is the follow-up of.
    pub fn add(&mut self, outcome: RequestOutcome) -> Vec<ObservedFollowUp> {
        self.tenants.count(&outcome);
        let follow_ups = self.follow_ups_by(&outcome);
        match outcome.kind {
            OutcomeKind::Served => self.add_served(outcome),
            _ => self.add_not_served(outcome),
        }
        follow_ups
    }

    /// Adds an outcome that was stored on disk before a restart.
    pub fn restore(&mut self, outcome: RequestOutcome) {
        if outcome.kind != OutcomeKind::Served {
            self.add_not_served(outcome);
        }
    }

    /// Adds a follow-up that was stored on disk before a restart.
    pub fn restore_follow_up(&mut self, observed: ObservedFollowUp) {
        if let Some(number) = self.numbers.get(&observed.request).copied() {
            self.set_follow_up(number, observed.follow_up);
        }
    }

    fn add_served(&mut self, outcome: RequestOutcome) {
        if self.served.len() >= MAX_SERVED {
            self.served.pop_front();
        }
        self.served.push_back(outcome);
    }

    fn add_not_served(&mut self, mut outcome: RequestOutcome) {
        let evidence = std::mem::take(&mut outcome.evidence);
        let mut bytes = size::outcome_bytes(&outcome);
        let evidence = match self.not_served.back() {
            Some(last) if *last.evidence == evidence => Arc::clone(&last.evidence),
            _ => {
                bytes += evidence.iter().map(size::evidence_bytes).sum::<usize>();
                Arc::new(evidence)
            }
        };
        let number = self.first_number + self.not_served.len() as u64;
        self.numbers.insert(outcome.request, number);
        if outcome.follow_up.is_none() {
            self.without_follow_up.entry(outcome.fingerprint).or_default().push_back(number);
        }
        self.bytes += bytes;
        self.not_served.push_back(LoggedOutcome { outcome, evidence, bytes });
        while self.bytes > self.limits.max_bytes && self.not_served.len() > 1 {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.not_served.pop_front() else { return };
        let number = self.first_number;
        self.first_number += 1;
        self.bytes -= oldest.bytes;
        self.dropped += 1;
        if self.numbers.get(&oldest.outcome.request) == Some(&number) {
            self.numbers.remove(&oldest.outcome.request);
        }
        self.forget_open(oldest.outcome.fingerprint, number);
    }

    fn index(&self, number: u64) -> Option<usize> {
        usize::try_from(number.checked_sub(self.first_number)?).ok()
    }

    fn get(&self, number: u64) -> Option<&LoggedOutcome> {
        self.not_served.get(self.index(number)?)
    }

    /// The outcome of a request, if it is in the log.
    pub fn find(&self, request: GlobalRequestId) -> Option<RequestOutcome> {
        let number = self.numbers.get(&request);
        if let Some(logged) = number.and_then(|number| self.get(*number)) {
            return Some(logged.with_evidence());
        }
        self.served.iter().find(|outcome| outcome.request == request).cloned()
    }

    /// The outcomes that match a filter, the latest first and at most `max`, and how many match in all.
    pub fn outcomes(&self, filter: &OutcomeFilter, max: usize) -> (Vec<RequestOutcome>, u64) {
        let max = if filter.max == 0 { max } else { max.min(filter.max as usize) };
        let mut total = 0;
        let mut outcomes = Vec::new();
        for logged in self.not_served.iter().rev().filter(|logged| matching::matches(logged, filter)) {
            total += 1;
            if outcomes.len() < max {
                outcomes.push(logged.with_evidence());
            }
        }
        (outcomes, total)
    }

    /// The outcomes that match a filter in groups, the largest first, and how many match in all.
    pub fn groups(&self, filter: &OutcomeFilter) -> (Vec<OutcomeGroup>, u64) {
        let matching = self.not_served.iter().filter(|logged| matching::matches(logged, filter));
        groups::group(matching.map(|logged| &logged.outcome))
    }

    /// The last requests that were served, the latest last.
    pub fn served(&self) -> impl DoubleEndedIterator<Item = &RequestOutcome> {
        self.served.iter()
    }

    /// All tenants with their requests since the start.
    pub fn tenants(&self) -> Vec<TenantView> {
        self.tenants.views()
    }

    /// The number of outcomes that were not served.
    pub fn len(&self) -> usize {
        self.not_served.len()
    }

    /// Whether there is no outcome that was not served.
    pub fn is_empty(&self) -> bool {
        self.not_served.is_empty()
    }

    /// The estimated bytes in use. They exceed the bound only if the last outcome alone does.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The number of outcomes that were dropped to stay within the bound.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
