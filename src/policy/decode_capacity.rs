//! Whether a decode worker has capacity, by what it reports, what was sent there, and what other
//! routers may have.

use super::constants::{
    MIN_RELATIVE_SPEED, MIN_SLOW_START_SPEED, RECENT, SATURATION_UTILIZATION, SLOW_LATENCY_RATIO,
    SLOW_PROBE_LATENCY,
};
use super::eligibility::WorkerPool;
use super::slow_start::is_warming_up;
use super::Policy;
use crate::state::{InFlightRequest, Server};

impl Policy {
    /// Whether it has capacity for so many KV cache tokens.
    pub(crate) fn has_capacity(&self, server: &Server, kv_tokens: f64) -> bool {
        self.has_capacity_at(server, kv_tokens, self.memory_utilization(server))
    }

    /// Whether it has capacity for so many KV cache tokens at a utilization that is known: it is
    /// saturated as it reported, as it answered recently, or as it is estimated.
    fn has_capacity_at(&self, server: &Server, kv_tokens: f64, utilization: f64) -> bool {
        let capacity = server.listing.kv_capacity_tokens;
        let fits = capacity <= 0.0
            || utilization + kv_tokens / capacity <= SATURATION_UTILIZATION
            || server.local_load.reserved_kv_tokens() <= 0.0;
        let reported = server.reported_load.memory_utilization();
        let is_reported_open = reported.is_none_or(|utilization| utilization < SATURATION_UTILIZATION);
        let is_probe_late = server.liveness.awaits_probe_for(self.now, SLOW_PROBE_LATENCY);
        !server.was_saturated_within(self.now, RECENT) && is_reported_open && !is_probe_late && fits
    }

    /// The estimated share of a decode worker's KV cache in use, by own attempts and other routers'.
    pub(crate) fn memory_utilization(&self, server: &Server) -> f64 {
        let capacity = server.listing.kv_capacity_tokens.max(1.0);
        // Without any report what gossip says; only for capacity, not to compare loads.
        let by_gossip = || self.peer_load.tokens_at(server.id) / capacity;
        let peers = self.peer_utilization(server).unwrap_or_else(by_gossip);
        server.local_load.reserved_kv_tokens() / capacity + peers
    }

    /// The share that other routers' requests use, by reports; a server not heard from lately
    /// counts as average.
    fn peer_utilization(&self, server: &Server) -> Option<f64> {
        let reported = server.reported_load.peer_kv_tokens();
        let own = reported.map(|tokens| tokens / server.listing.kv_capacity_tokens.max(1.0));
        own.or(self.fleet.mean_peer_utilization(server.listing.role))
    }

    /// The load of a decode worker for its speed, to compare it with others'.
    pub(super) fn relative_decode_load(&self, server: &Server) -> f64 {
        let capacity = server.listing.kv_capacity_tokens.max(1.0);
        let peers = self.peer_utilization(server).unwrap_or(0.0);
        (server.local_load.reserved_kv_tokens() / capacity + peers) / self.relative_speed(server)
    }

    /// Its weight as a multiple of its role's mean, less while it is slow or warming up.
    pub(super) fn relative_speed(&self, server: &Server) -> f64 {
        let mean_weight = self.fleet.mean_weight(server.listing.role);
        let weight = if mean_weight > 0.0 { server.listing.weight / mean_weight } else { 1.0 };
        let ratio = server.latency.ratio();
        let speed = if ratio >= SLOW_LATENCY_RATIO { weight / ratio } else { weight };
        let warmth = if is_warming_up(self.now, &self.settings, server) {
            self.settings.slow_start_speed.clamp(MIN_SLOW_START_SPEED, 1.0)
        } else {
            1.0
        };
        speed.max(MIN_RELATIVE_SPEED) * warmth
    }

    /// Whether decode workers have capacity for a request beside what is being prefilled for them
    /// already.
    pub(super) fn decode_workers_have_capacity(&self, request: &InFlightRequest) -> bool {
        let workers = self.candidates(WorkerPool::Decode, request);
        self.have_joint_capacity(&workers, request.expected_kv_tokens())
    }

    /// Whether servers have capacity together for so many KV cache tokens beside the decode demand,
    /// of which they take their share.
    pub(super) fn have_joint_capacity(&self, workers: &[&Server], kv_tokens: f64) -> bool {
        let mut free_tokens = 0.0;
        let mut has_open_worker = false;
        let mut is_unbounded = false;
        for worker in workers {
            let utilization = self.memory_utilization(worker);
            if !self.has_capacity_at(worker, kv_tokens, utilization) {
                continue;
            }
            let capacity = worker.listing.kv_capacity_tokens;
            free_tokens += (SATURATION_UTILIZATION - utilization) * capacity;
            has_open_worker = true;
            is_unbounded |= capacity <= 0.0;
        }
        let share = self.fleet.share_of_decode_workers(workers.len());
        let demand = self.requests.decode_demand_tokens() * share + kv_tokens;
        has_open_worker && (is_unbounded || free_tokens >= demand)
    }

    /// Whether a mixed server beside decode workers, which takes requests whole, has capacity of
    /// its own.
    pub(super) fn mixed_server_has_capacity(
        &self,
        request: Option<&InFlightRequest>,
        kv_tokens: f64,
    ) -> bool {
        if self.fleet.ready().mixed.is_empty() {
            return false;
        }
        let neighborhood = self.neighborhood(request);
        let mut mixed = self.servers.at(&neighborhood.servers.mixed);
        mixed.any(|server| self.has_capacity(server, kv_tokens))
    }
}
