//! The requests in flight, with aggregates and indexes that are maintained incrementally as requests change.

use super::InFlightRequest;
use crate::api::RequestId;
use std::collections::{BTreeMap, BTreeSet};

/// The decode demand is summed in integer units of 1/1024 token: unlike a floating-point sum, the result does
/// not depend on the order of changes.
const FRACTIONS_PER_TOKEN: f64 = 1024.0;
/// Cap on the tokens that one request adds to the sum, so that a million requests do not overflow it.
const MAX_TOKENS_PER_REQUEST: f64 = 1e9;

/// The requests in flight, by id.
#[derive(Clone, Debug, Default)]
pub struct RequestTable {
    entries: BTreeMap<RequestId, Entry>,
    /// Requests without a first token that have an attempt in flight or a KV cache.
    active: BTreeSet<RequestId>,
    /// The sum of the entries' decode demand.
    decode_demand: i64,
}

#[derive(Clone, Debug)]
struct Entry {
    request: InFlightRequest,
    /// Its contribution to the sum, in fractions of a token.
    decode_demand: i64,
    /// Whether it is in the set of active requests.
    is_active: bool,
}

impl Entry {
    /// Updates the table's aggregates after a change of this request.
    fn refresh(&mut self, id: RequestId, active: &mut BTreeSet<RequestId>, total_demand: &mut i64) {
        let demand = decode_demand(&self.request);
        *total_demand += demand - std::mem::replace(&mut self.decode_demand, demand);
        let is_active = is_active(&self.request);
        if is_active == self.is_active {
            return;
        }
        self.is_active = is_active;
        if is_active {
            active.insert(id);
        } else {
            active.remove(&id);
        }
    }
}

impl RequestTable {
    /// The request with this id.
    pub fn get(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.entries.get(&id).map(|entry| &entry.request)
    }

    /// Changes a request and updates the aggregates; `None` if there is no such request.
    pub fn update<T>(&mut self, id: RequestId, change: impl FnOnce(&mut InFlightRequest) -> T) -> Option<T> {
        let entry = self.entries.get_mut(&id)?;
        let changed = change(&mut entry.request);
        entry.refresh(id, &mut self.active, &mut self.decode_demand);
        Some(changed)
    }

    /// Changes a request without updating the aggregates. The change must not touch what they depend on:
    /// whether there is an attempt, its stage, whether it is streaming, the KV cache and the `finished` flag.
    pub fn update_unindexed<T>(
        &mut self,
        id: RequestId,
        change: impl FnOnce(&mut InFlightRequest) -> T,
    ) -> Option<T> {
        self.entries.get_mut(&id).map(|entry| change(&mut entry.request))
    }

    /// Adds a request, replacing one with the same id.
    pub fn insert(&mut self, id: RequestId, request: InFlightRequest) {
        self.remove(id);
        let mut entry = Entry { request, decode_demand: 0, is_active: false };
        entry.refresh(id, &mut self.active, &mut self.decode_demand);
        self.entries.insert(id, entry);
    }

    /// Removes a request, if it is in the table.
    pub fn remove(&mut self, id: RequestId) {
        let Some(entry) = self.entries.remove(&id) else { return };
        self.decode_demand -= entry.decode_demand;
        if entry.is_active {
            self.active.remove(&id);
        }
    }

    /// KV cache tokens that decode workers will need for requests whose prefill is in flight or complete and
    /// that have not been sent to one yet.
    pub fn decode_demand_tokens(&self) -> f64 {
        self.decode_demand as f64 / FRACTIONS_PER_TOKEN
    }

    /// Requests without a first token that have an attempt in flight or a KV cache, ordered by id.
    pub fn active(&self) -> &BTreeSet<RequestId> {
        &self.active
    }
}

fn decode_demand(request: &InFlightRequest) -> i64 {
    if !request.will_need_decode() {
        return 0;
    }
    let tokens = request.expected_kv_tokens().clamp(0.0, MAX_TOKENS_PER_REQUEST);
    (tokens * FRACTIONS_PER_TOKEN) as i64
}

fn is_active(request: &InFlightRequest) -> bool {
    request.awaits_first_token() && (request.attempt.is_some() || request.kv_cache.is_some())
}
