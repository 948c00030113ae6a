//! Where a request is prefilled: at a worker that it has affinity to, unless that is clearly busier
//! than the least loaded one.

use super::constants::{
    PREFILL_BASE_TOKENS, PREFILL_WAIT_FRACTION, PROBED_DECODE_WORKERS, PROBE_WAIT, RECENT_WINDOW,
};
use super::decode_placement::DecodeUrgency;
use super::eligibility::WorkerPool;
use super::prefill_affinity::{preferred_workers, PrefillCandidates};
use super::slow_start::is_warming_up;
use super::Policy;
use crate::api::{CellId, Nanos, RequestId, Role, ServerId};
use crate::state::{
    least_with_tie_breaker, sample_by_rank, Attempt, InFlightRequest, Neighborhood, Server, Stage,
};

/// The result of choosing a prefill worker.
enum PrefillChoice {
    /// No prefill worker is eligible.
    NoWorker,
    /// No prefill worker has capacity.
    NoCapacity,
    /// A worker was chosen.
    Chosen(PrefillPlan),
}

/// A planned prefill.
struct PrefillPlan {
    attempt: Attempt,
    /// The cell of the chosen worker.
    cell: Option<CellId>,
    /// Workers whose load is probed before the attempt is sent.
    probed_before: Vec<ServerId>,
    /// Until when the answers to these probes are awaited.
    probe_deadline: Nanos,
}

impl Policy {
    /// Sends the prefill of a request if a worker has capacity; returns whether it was sent.
    pub(super) fn start_prefill(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(id) else { return true };
        let plan = match self.choose_prefill(request) {
            PrefillChoice::NoWorker => return self.start_at_decode_worker(id),
            PrefillChoice::NoCapacity => return false,
            PrefillChoice::Chosen(plan) => plan,
        };
        let deadline = plan.probe_deadline;
        self.requests.update_unindexed(id, |request| request.probe_deadline = Some(deadline));
        if self.now < deadline && self.probe_loads(&plan.probed_before) {
            return false;
        }
        let probed_meanwhile = self.decode_workers_to_probe(id, plan.cell);
        self.admission.record_prefill(self.now);
        self.send(id, plan.attempt);
        self.probe_loads(&probed_meanwhile);
        true
    }

    fn choose_prefill(&self, request: &InFlightRequest) -> PrefillChoice {
        let neighborhood = self.neighborhood(Some(request));
        let traffic = Some(request.traffic());
        let workers =
            self.eligible_servers(&neighborhood.servers, WorkerPool::Prefill, Some(request), traffic);
        if workers.is_empty() {
            return PrefillChoice::NoWorker;
        }
        let candidates = self.prefill_candidates(request, workers, &neighborhood);
        let Some(first) = candidates.preferred.first().copied() else { return PrefillChoice::NoCapacity };
        let cost = |server: &Server| self.prefill_cost_at(server, candidates.tokens_at(server, request));
        let has_capacity = |server: &&Server| {
            !server.was_saturated_within(self.now, RECENT_WINDOW)
                && !self.is_prefill_wait_long(server, request.time_to_objective())
        };
        let with_capacity = candidates.workers.iter().copied().filter(has_capacity);
        let costs = with_capacity.map(|server| (cost(server), server));
        let Some((_, least)) = least_with_tie_breaker(costs, request.tie_breaker) else {
            return PrefillChoice::NoCapacity;
        };
        let preferred = Some(first).filter(has_capacity).unwrap_or(least);
        let tolerated_tokens =
            self.prefill_cost.mean_computed_tokens().max(candidates.tokens_at(preferred, request));
        let tolerance = tolerated_tokens / self.relative_speed(preferred);
        let chosen = if cost(preferred) > cost(least) + tolerance { least } else { preferred };
        let stage = if chosen.listing.role == Role::Mixed { Stage::Combined } else { Stage::Prefill };
        let attempt = Attempt {
            prompt_tokens: candidates.tokens_at(chosen, request),
            queued_tokens: cost(chosen),
            probe_outstanding: chosen.liveness.awaits_probe_for(self.now, PROBE_WAIT),
            ..Attempt::planned(chosen.id, stage)
        };
        PrefillChoice::Chosen(PrefillPlan {
            attempt,
            cell: chosen.listing.cell,
            probed_before: self.prefill_workers_to_probe(request, &candidates, first),
            probe_deadline: request.probe_deadline.unwrap_or(self.now + PROBE_WAIT),
        })
    }

    /// Keeps the workers whose prefill can be decoded afterwards: a mixed server decodes the request
    /// itself, other workers need decode workers with capacity.
    fn prefill_candidates<'s>(
        &'s self,
        request: &InFlightRequest,
        mut workers: Vec<&'s Server>,
        neighborhood: &Neighborhood<'_>,
    ) -> PrefillCandidates<'s> {
        let can_decode_later =
            neighborhood.servers.mixed.is_empty() || self.decode_workers_have_capacity(request);
        workers.retain(|server| match server.listing.role {
            Role::Mixed => self.has_capacity(server, request.expected_kv_tokens()),
            Role::Prefill | Role::Decode => can_decode_later,
        });
        let weights = neighborhood.distance_weights(&self.servers);
        let preferred = preferred_workers(request, &workers, &weights);
        PrefillCandidates { workers, preferred }
    }

    /// The most preferred worker and one other. The other is one that is warming up, if there is any: it is
    /// likely idle, as no router sends it much.
    fn prefill_workers_to_probe(
        &self,
        request: &InFlightRequest,
        candidates: &PrefillCandidates<'_>,
        first: &Server,
    ) -> Vec<ServerId> {
        let others = candidates.workers.iter().filter(|server| server.id != first.id);
        let other = others.max_by_key(|server| {
            let is_warming_up = is_warming_up(self.now, &self.settings, server);
            let rank = request.tie_breaker.rendezvous_rank(server.id);
            (is_warming_up, candidates.is_preferred(server), rank)
        });
        [first.id].into_iter().chain(other.map(|server| server.id)).collect()
    }

    /// Decode workers in the prefill worker's cell that are probed during the prefill, if any of them
    /// needs a probe.
    fn decode_workers_to_probe(&self, id: RequestId, cell: Option<CellId>) -> Vec<ServerId> {
        let Some(request) = self.requests.get(id) else { return Vec::new() };
        let is_near = |server: &&Server| server.listing.cell.is_some() && server.listing.cell == cell;
        let servers = self.neighborhood(Some(request)).servers;
        // Mixed servers replace unreachable decode workers.
        let mut near =
            self.servers.at(&servers.decode).chain(self.servers.at(&servers.mixed)).filter(is_near);
        if !near.any(|server| self.needs_probe(server)) {
            return Vec::new();
        }
        let candidates = self.candidates(WorkerPool::Decode, request).into_iter().filter(is_near);
        sample_by_rank(candidates, PROBED_DECODE_WORKERS, request.tie_breaker)
    }

    /// The prefill queue of a worker after adding `tokens`, in tokens at the pace of an average worker.
    fn prefill_cost_at(&self, server: &Server, tokens: f64) -> f64 {
        let queued = server.local_load.queued_prompt_tokens() + self.peer_queued_tokens(server) + tokens;
        queued / self.relative_speed(server)
    }

    /// Whether the queueing time of a prefill worker is so long that it counts as saturated. A worker
    /// without attempts of this router never does, so that it is tried.
    pub(super) fn is_prefill_wait_long(&self, server: &Server, time_to_objective: f64) -> bool {
        if server.local_load.awaiting_first_token() == 0 {
            return false;
        }
        let wait = self.prefill_cost_at(server, 0.0) * self.prefill_cost.unloaded_time_per_token();
        wait > PREFILL_WAIT_FRACTION * time_to_objective
    }

    /// Queued prompt tokens of other routers: by load reports or probe latency, otherwise the mean of
    /// the role; at least what an outstanding probe shows.
    fn peer_queued_tokens(&self, server: &Server) -> f64 {
        let reported = server.reported_load.peer_queued_tokens();
        let known = reported.or(self.fleet.mean_peer_queued_tokens(server.listing.role));
        known.unwrap_or(0.0).max(self.queued_tokens_by_probe(server))
    }

    /// Estimated queue at a server with an outstanding probe, from the age of the probe.
    fn queued_tokens_by_probe(&self, server: &Server) -> f64 {
        let Some(sent_at) = server.liveness.probe_sent_at() else { return 0.0 };
        let mean_tokens = if server.liveness.awaits_probe_for(self.now, PROBE_WAIT) {
            self.prefill_cost.mean_tokens_ahead_with_unanswered_probe()
        } else {
            0.0
        };
        self.prefill_cost.tokens_within(self.now - sent_at).max(mean_tokens)
    }

    /// Sends a request as a combined attempt to a decode worker that can prefill, as no prefill worker is
    /// eligible; returns whether it was sent.
    fn start_at_decode_worker(&mut self, id: RequestId) -> bool {
        if !self.settings.decode_workers_can_prefill {
            return false;
        }
        let Some(request) = self.requests.get(id) else { return false };
        let tokens = PREFILL_BASE_TOKENS + request.request().prompt_tokens;
        let chosen = self.choose_decode_worker(request, DecodeUrgency::WhenCapacityAvailable);
        let Some(server) = chosen else { return false };
        let planned = Attempt::planned(server, Stage::Combined);
        self.send(id, Attempt { prompt_tokens: tokens, queued_tokens: tokens, ..planned });
        true
    }
}
