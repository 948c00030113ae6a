//! Which prefill workers a request has affinity to, because they likely have its shared prefix cached.

use super::constants::{MAX_AFFINITY, MIN_AFFINITY, PREFILL_BASE_TOKENS};
use crate::api::AffinityKey;
use crate::state::{least_by, session_key, DistanceWeights, InFlightRequest, Server};

/// The prefill workers that a request chooses from.
pub(super) struct PrefillCandidates<'s> {
    pub(super) workers: Vec<&'s Server>,
    /// The workers that it has affinity to, strongest first.
    pub(super) preferred: Vec<&'s Server>,
}

impl PrefillCandidates<'_> {
    pub(super) fn is_preferred(&self, server: &Server) -> bool {
        self.preferred.iter().any(|preferred| preferred.id == server.id)
    }

    /// The tokens that a worker has to compute. A preferred worker counts as having the shared prefix
    /// cached.
    pub(super) fn tokens_at(&self, server: &Server, request: &InFlightRequest) -> f64 {
        let cached = if self.is_preferred(server) { request.request().prefix_tokens } else { 0.0 };
        PREFILL_BASE_TOKENS + (request.request().prompt_tokens - cached).max(0.0)
    }
}

/// The workers that a request's shared prefix has affinity to by rendezvous hashing, ordered by the
/// rank of its session, followed by one fallback worker; the same on all routers. Affinity is weighted
/// by the decode capacity in the worker's cell, so that KV caches stay within the cell; the fallback
/// is weighted by the capacity that affinity leaves spare.
pub(super) fn preferred_workers<'s>(
    request: &InFlightRequest,
    workers: &[&'s Server],
    weights: &DistanceWeights,
) -> Vec<&'s Server> {
    let session = session_key(request.request());
    let prefix = request.request().prefix.unwrap_or(session);
    let rank_by = |key: AffinityKey| {
        move |server: &&Server| {
            let weight = server.affinity_weight * weights.of(server.id);
            -key.unit_interval(server.id).ln() / weight
        }
    };
    let preferred = least_by(workers.to_vec(), request.facts.affinity.workers, rank_by(prefix));
    let is_preferred = |server: &Server| preferred.iter().any(|preferred| preferred.id == server.id);
    let others = workers.iter().copied().filter(|server| !is_preferred(server)).collect();
    let spare_rank = |server: &&Server| {
        let spare = MAX_AFFINITY * server.listing.weight - server.affinity_weight;
        -prefix.unit_interval(server.id).ln() / spare.max(MIN_AFFINITY)
    };
    let fallback = least_by(others, 1, spare_rank);
    least_by(preferred, usize::MAX, rank_by(session)).into_iter().chain(fallback).collect()
}
