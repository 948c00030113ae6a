//! The admission queue: requests waiting for prefill, in the order in which they are admitted.

use super::{InFlightRequest, TrafficClassKey};
use crate::api::{Nanos, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// The sort key of a queued request: requests within their quota come first, then the earliest latency
/// objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// Whether its tenant has exceeded its quota.
    pub over_quota: bool,
    /// When its first token is due by its latency objective.
    pub objective_at: Nanos,
    /// The request.
    pub id: RequestId,
}

/// What a queued request needs to be admitted, for a cheap check that spares most requests the full one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceRequirements {
    /// KV cache tokens that it is expected to need.
    pub kv_tokens: f64,
    /// Lower bound of the prompt tokens to prefill: the prompt without its shared prefix.
    pub uncached_prompt_tokens: f64,
    /// The time from arrival to the latency objective for the first token, in nanoseconds.
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

/// A queued request with its position and requirements.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Its position in the queue.
    pub position: QueuePosition,
    /// What it needs to be admitted.
    pub requirements: ResourceRequirements,
}

/// The keys under which a queued request is indexed.
#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    traffic: Option<TrafficClassKey>,
    queued: QueuedRequest,
    check_at: Nanos,
}

/// The queue of requests waiting for prefill. Requests that may be sent to any server are grouped by traffic
/// class; the `None` group holds those that must not be sent to some servers.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    groups: BTreeMap<Option<TrafficClassKey>, QueueGroup>,
    by_check_time: BTreeSet<(Nanos, RequestId)>,
    entries: BTreeMap<RequestId, QueueEntry>,
}

impl AdmissionQueue {
    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All groups, each with its traffic class.
    pub fn groups(&self) -> impl Iterator<Item = (Option<TrafficClassKey>, &QueueGroup)> {
        self.groups.iter().map(|(traffic, group)| (*traffic, group))
    }

    /// The first request of a group after the position `after`, or the first of the group.
    pub fn next_in_group(
        &self,
        traffic: Option<TrafficClassKey>,
        after: Option<QueuePosition>,
    ) -> Option<QueuedRequest> {
        self.groups.get(&traffic)?.first_after(after)
    }

    /// Adds a request, replacing its previous entry; it has to be checked at `check_at` at the latest.
    pub fn insert(&mut self, id: RequestId, request: &InFlightRequest, check_at: Nanos) {
        self.remove(id);
        let any_server_allowed = request.failed_servers.is_empty() && request.may_have_run.is_none();
        let traffic = any_server_allowed.then(|| request.traffic());
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

    /// Removes a request, if it is queued.
    pub fn remove(&mut self, id: RequestId) {
        let Some(entry) = self.entries.remove(&id) else { return };
        self.by_check_time.remove(&(entry.check_at, id));
        let Some(group) = self.groups.get_mut(&entry.traffic) else { return };
        group.remove(&entry.queued);
        if group.requests.is_empty() {
            self.groups.remove(&entry.traffic);
        }
    }

    /// The requests that have to be checked by `check_at`, or whose objective is before `objective_at`.
    pub fn due(&self, check_at: Nanos, objective_at: Nanos) -> impl Iterator<Item = RequestId> + '_ {
        let by_time = self.by_check_time.iter().take_while(move |(at, _)| *at <= check_at);
        let late = self.groups.values().flat_map(move |group| group.with_objective_before(objective_at));
        by_time.map(|(_, id)| *id).chain(late)
    }
}

/// The queued requests of one traffic class, with the extremes of their requirements.
#[derive(Clone, Debug, Default)]
pub struct QueueGroup {
    requests: BTreeMap<QueuePosition, ResourceRequirements>,
    kv_tokens: SortedValues,
    uncached_prompt_tokens: SortedValues,
    times_to_objective: SortedValues,
}

impl QueueGroup {
    /// A lower bound of the requirements of every request in the group: the fewest tokens and the longest
    /// time to objective.
    pub fn least_requirements(&self) -> ResourceRequirements {
        ResourceRequirements {
            kv_tokens: self.kv_tokens.least(),
            uncached_prompt_tokens: self.uncached_prompt_tokens.least(),
            time_to_objective: self.times_to_objective.greatest(),
        }
    }

    /// Whether the group has exactly one request.
    pub fn is_single(&self) -> bool {
        self.requests.len() == 1
    }

    /// The first request after the position `after`, or the first of the group.
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

/// A sorted multiset of values. Negative values are stored as 0, since only the bit patterns of non-negative
/// floats sort in numeric order.
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

    /// The least value; 0 if empty.
    fn least(&self) -> f64 {
        self.counts.keys().next().map_or(0.0, |bits| f64::from_bits(*bits))
    }

    /// The greatest value; 0 if empty.
    fn greatest(&self) -> f64 {
        self.counts.keys().next_back().map_or(0.0, |bits| f64::from_bits(*bits))
    }
}
