//! Requests that wait for their prefill, in the order in which they are admitted.

use super::{InFlightRequest, TrafficClassKey};
use crate::api::{Nanos, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// The place of a request in the queue: those within their quota first, then the earliest objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// Its tenant has sent more than its quota.
    pub over_quota: bool,
    /// When its first token is due by its latency objective.
    pub objective_at: Nanos,
    /// The request.
    pub id: RequestId,
}

/// What decides whether a queued request can be admitted, so that most need no closer look.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceRequirements {
    /// KV cache tokens that it is expected to need.
    pub kv_tokens: f64,
    /// Prompt tokens to prefill at least, whatever is cached.
    pub uncached_prompt_tokens: f64,
    /// The time that its latency objective leaves for the first token, in nanoseconds.
    pub time_to_objective: f64,
}

impl ResourceRequirements {
    fn of(request: &InFlightRequest) -> ResourceRequirements {
        let uncached = request.request().prompt_tokens - request.request().prefix_tokens;
        ResourceRequirements {
            kv_tokens: request.expected_kv_tokens(),
            uncached_prompt_tokens: uncached.max(0.0),
            time_to_objective: request.time_to_objective(),
        }
    }
}

/// A queued request: its place, and what it requires.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Its place in the queue.
    pub position: QueuePosition,
    /// What it requires.
    pub requirements: ResourceRequirements,
}

/// Where a queued request is kept.
#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    traffic: Option<TrafficClassKey>,
    queued: QueuedRequest,
    check_at: Nanos,
}

/// Requests that wait for their prefill. Those that any server may be sent are grouped by traffic
/// class; under `None` are those that some servers must not be sent.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    groups: BTreeMap<Option<TrafficClassKey>, QueueGroup>,
    by_check_time: BTreeSet<(Nanos, RequestId)>,
    entries: BTreeMap<RequestId, QueueEntry>,
}

impl AdmissionQueue {
    /// Nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The groups of requests, each with its traffic class.
    pub fn groups(&self) -> impl Iterator<Item = (Option<TrafficClassKey>, &QueueGroup)> {
        self.groups.iter().map(|(traffic, group)| (*traffic, group))
    }

    /// The first of a group after that place, or of the whole group.
    pub fn next_in_group(
        &self,
        traffic: Option<TrafficClassKey>,
        after: Option<QueuePosition>,
    ) -> Option<QueuedRequest> {
        self.groups.get(&traffic)?.first_after(after)
    }

    /// Adds a request, which has to be checked at `check_at` at the latest.
    pub fn insert(&mut self, id: RequestId, request: &InFlightRequest, check_at: Nanos) {
        self.remove(id);
        let may_go_anywhere = request.failed_servers.is_empty() && request.may_have_run.is_none();
        let traffic = may_go_anywhere.then(|| request.traffic());
        let position = QueuePosition {
            over_quota: request.facts.over_quota,
            objective_at: request.facts.objective_at,
            id,
        };
        let queued = QueuedRequest { position, requirements: ResourceRequirements::of(request) };
        self.groups.entry(traffic).or_default().insert(queued);
        self.by_check_time.insert((check_at, id));
        self.entries.insert(id, QueueEntry { traffic, queued, check_at });
    }

    /// Drops a request, if it is there.
    pub fn remove(&mut self, id: RequestId) {
        let Some(entry) = self.entries.remove(&id) else { return };
        self.by_check_time.remove(&(entry.check_at, id));
        let Some(group) = self.groups.get_mut(&entry.traffic) else { return };
        group.remove(&entry.queued);
        if group.requests.is_empty() {
            self.groups.remove(&entry.traffic);
        }
    }

    /// The requests that have to be checked by `check_at`, or whose objective is before
    /// `objective_at`.
    pub fn due(&self, check_at: Nanos, objective_at: Nanos) -> impl Iterator<Item = RequestId> + '_ {
        let by_time = self.by_check_time.iter().take_while(move |(at, _)| *at <= check_at);
        let late = self.groups.values().flat_map(move |group| group.with_objective_before(objective_at));
        by_time.map(|(_, id)| *id).chain(late)
    }
}

/// Queued requests of one traffic class, with the extremes of what they require.
#[derive(Clone, Debug, Default)]
pub struct QueueGroup {
    requests: BTreeMap<QueuePosition, ResourceRequirements>,
    kv_tokens: SortedValues,
    uncached_prompt_tokens: SortedValues,
    times_to_objective: SortedValues,
}

impl QueueGroup {
    /// Requirements that none of the group's requests is below: the least tokens, and the longest
    /// time.
    pub fn least_requirements(&self) -> ResourceRequirements {
        ResourceRequirements {
            kv_tokens: self.kv_tokens.least(),
            uncached_prompt_tokens: self.uncached_prompt_tokens.least(),
            time_to_objective: self.times_to_objective.greatest(),
        }
    }

    /// There is just one request in it.
    pub fn is_single(&self) -> bool {
        self.requests.len() == 1
    }

    /// The first after that place, or of all.
    pub fn first_after(&self, after: Option<QueuePosition>) -> Option<QueuedRequest> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, Excluded);
        let (position, requirements) = self.requests.range((from, Unbounded)).next()?;
        Some(QueuedRequest { position: *position, requirements: *requirements })
    }

    fn with_objective_before(&self, objective_at: Nanos) -> impl Iterator<Item = RequestId> + '_ {
        [false, true].into_iter().flat_map(move |over_quota| {
            let first = QueuePosition { over_quota, objective_at: 0, id: RequestId(0) };
            let positions = self.requests.range(first..).map(|(position, _)| *position);
            let is_late = move |position: &QueuePosition| {
                position.over_quota == over_quota && position.objective_at < objective_at
            };
            positions.take_while(is_late).map(|position| position.id)
        })
    }

    fn insert(&mut self, queued: QueuedRequest) {
        let QueuedRequest { position, requirements } = queued;
        self.requests.insert(position, requirements);
        self.kv_tokens.add(requirements.kv_tokens);
        self.uncached_prompt_tokens.add(requirements.uncached_prompt_tokens);
        self.times_to_objective.add(requirements.time_to_objective);
    }

    fn remove(&mut self, queued: &QueuedRequest) {
        let QueuedRequest { position, requirements } = queued;
        self.requests.remove(position);
        self.kv_tokens.remove(requirements.kv_tokens);
        self.uncached_prompt_tokens.remove(requirements.uncached_prompt_tokens);
        self.times_to_objective.remove(requirements.time_to_objective);
    }
}

/// Values in their order, each with how often it is there. Negative ones count as 0: the bits of
/// the others sort as they do.
#[derive(Clone, Debug, Default)]
struct SortedValues {
    counts: BTreeMap<u64, usize>,
}

impl SortedValues {
    fn add(&mut self, value: f64) {
        *self.counts.entry(value.max(0.0).to_bits()).or_default() += 1;
    }

    fn remove(&mut self, value: f64) {
        let bits = value.max(0.0).to_bits();
        let Some(count) = self.counts.get_mut(&bits) else { return };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&bits);
        }
    }

    /// The least value; 0 of none.
    fn least(&self) -> f64 {
        self.counts.keys().next().map_or(0.0, |bits| f64::from_bits(*bits))
    }

    /// The greatest value; 0 of none.
    fn greatest(&self) -> f64 {
        self.counts.keys().next_back().map_or(0.0, |bits| f64::from_bits(*bits))
    }
}
