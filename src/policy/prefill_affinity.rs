//! Which prefill workers a request has affinity to, as they have its shared prefix cached.

use super::constants::{MAX_AFFINITY, MIN_AFFINITY, PREFILL_BASE_TOKENS};
use crate::api::AffinityKey;
use crate::state::{least_by, session_key, DistanceWeights, InFlightRequest, Server};

/// The prefill workers that a request chooses among.
pub(super) struct PrefillCandidates<'s> {
    pub(super) workers: Vec<&'s Server>,
    /// Those that it has affinity to, the first one most.
    pub(super) preferred: Vec<&'s Server>,
}

impl PrefillCandidates<'_> {
    pub(super) fn is_preferred(&self, server: &Server) -> bool {
        self.preferred.iter().any(|preferred| preferred.id == server.id)
    }

    /// The prompt tokens that a worker has to compute: a preferred one has the shared prefix cached.
    pub(super) fn tokens_at(&self, server: &Server, request: &InFlightRequest) -> f64 {
        let cached = if self.is_preferred(server) { request.request().prefix_tokens } else { 0.0 };
        PREFILL_BASE_TOKENS + (request.request().prompt_tokens - cached).max(0.0)
    }
}

/// The workers that a request's shared prefix has affinity to by rendezvous hashing, those of its
/// session first, and last the one that takes over from them; the same on all routers. The former
/// are spread as the decode workers that take KV caches without leaving the cell, the last as who
/// has capacity.
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
    let takes_over = least_by(others, 1, spare_rank);
    least_by(preferred, usize::MAX, rank_by(session)).into_iter().chain(takes_over).collect()
}
