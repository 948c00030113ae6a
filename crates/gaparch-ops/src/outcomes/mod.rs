//! Records why requests were not served, and whether their clients retried.

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

/// The schema of outcome records on disk.
pub const OUTCOME_SCHEMA: u16 = 1;
/// Maximum number of outcomes of served requests in memory.
const MAX_SERVED: usize = 500;
const DEFAULT_MAX_BYTES: usize = 32 << 20;

/// The bounds of an [`OutcomeLog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeLogLimits {
    /// Maximum estimated size of the outcomes of requests that were not served, in bytes.
    pub max_bytes: usize,
}

impl Default for OutcomeLogLimits {
    fn default() -> Self {
        OutcomeLogLimits { max_bytes: DEFAULT_MAX_BYTES }
    }
}

/// The outcome of a request that was not served. The evidence is shared with the previous outcome if it is
/// equal: during an overload, a thousand requests may have the same evidence.
#[derive(Clone, Debug)]
struct LoggedOutcome {
    /// The outcome without its evidence.
    outcome: RequestOutcome,
    evidence: Arc<Vec<EngineEvidence>>,
    /// The estimated size, in bytes.
    bytes: usize,
}

impl LoggedOutcome {
    fn with_evidence(&self) -> RequestOutcome {
        RequestOutcome { evidence: self.evidence.to_vec(), ..self.outcome.clone() }
    }
}

/// A retry of a request that was not served.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedFollowUp {
    /// The earlier request.
    pub request: GlobalRequestId,
    /// The retry and its outcome.
    pub follow_up: FollowUp,
}

/// The outcomes of requests that were not served, and of the last few that were served.
///
/// The log gets the outcomes of all requests, since the retry of a request that was not served may be served.
/// Its size is bounded: the oldest outcomes are dropped.
#[derive(Clone, Debug, Default)]
pub struct OutcomeLog {
    limits: OutcomeLogLimits,
    not_served: VecDeque<LoggedOutcome>,
    /// The number of the first outcome in `not_served`; the outcomes are numbered consecutively.
    first_number: u64,
    /// The estimated size of `not_served`, in bytes.
    bytes: usize,
    /// The numbers in `not_served` by request.
    numbers: HashMap<GlobalRequestId, u64>,
    /// The numbers of outcomes without a follow-up, by fingerprint.
    without_follow_up: HashMap<u64, VecDeque<u64>>,
    served: VecDeque<RequestOutcome>,
    tenants: tenants::TenantCounters,
    dropped: u64,
}

impl OutcomeLog {
    /// Creates an empty log with these bounds.
    pub fn new(limits: OutcomeLogLimits) -> OutcomeLog {
        OutcomeLog { limits, ..OutcomeLog::default() }
    }

    /// Adds the outcome of a request. Returns the earlier requests whose follow-up it is.
    pub fn add(&mut self, outcome: RequestOutcome) -> Vec<ObservedFollowUp> {
        self.tenants.count(&outcome);
        let follow_ups = self.record_follow_up(&outcome);
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
        self.remove_without_follow_up(oldest.outcome.fingerprint, number);
    }

    fn index(&self, number: u64) -> Option<usize> {
        usize::try_from(number.checked_sub(self.first_number)?).ok()
    }

    fn get(&self, number: u64) -> Option<&LoggedOutcome> {
        self.not_served.get(self.index(number)?)
    }

    /// Returns the outcome of a request, if it is in the log.
    pub fn find(&self, request: GlobalRequestId) -> Option<RequestOutcome> {
        let number = self.numbers.get(&request);
        if let Some(logged) = number.and_then(|number| self.get(*number)) {
            return Some(logged.with_evidence());
        }
        self.served.iter().find(|outcome| outcome.request == request).cloned()
    }

    /// Returns the outcomes that match a filter, latest first and at most `max`, and the total number of
    /// matches.
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

    /// Groups the outcomes that match a filter. Returns the groups, largest first, and the total number of
    /// matches.
    pub fn groups(&self, filter: &OutcomeFilter) -> (Vec<OutcomeGroup>, u64) {
        let matching = self.not_served.iter().filter(|logged| matching::matches(logged, filter));
        groups::group(matching.map(|logged| &logged.outcome))
    }

    /// Returns the outcomes of the last served requests, oldest first.
    pub fn served(&self) -> impl DoubleEndedIterator<Item = &RequestOutcome> {
        self.served.iter()
    }

    /// Returns the request counters of all tenants since the start.
    pub fn tenants(&self) -> Vec<TenantView> {
        self.tenants.views()
    }

    /// The number of outcomes of requests that were not served.
    pub fn len(&self) -> usize {
        self.not_served.len()
    }

    /// Whether the log has no outcome of a request that was not served.
    pub fn is_empty(&self) -> bool {
        self.not_served.is_empty()
    }

    /// The estimated size in bytes. It exceeds the bound only if the last outcome alone does.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The number of outcomes that were dropped to stay within the bound.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
