//! Whether a decode worker has capacity, from its load reports, this router's attempts, and the
//! estimated load from other routers.

use super::constants::{
    MIN_RELATIVE_SPEED, MIN_SLOW_START_SPEED, RECENT_WINDOW, SATURATION_UTILIZATION, SLOW_LATENCY_RATIO,
    SLOW_PROBE_LATENCY,
};
use super::eligibility::WorkerPool;
use super::slow_start::is_warming_up;
use super::Policy;
use crate::state::{InFlightRequest, Server};

impl Policy {
    /// Whether a decode worker has capacity for that many KV cache tokens.
    pub(crate) fn has_capacity(&self, server: &Server, kv_tokens: f64) -> bool {
        self.has_capacity_at(server, kv_tokens, self.memory_utilization(server))
    }

    /// Whether a decode worker has capacity for that many KV cache tokens at a given utilization. It is
    /// saturated by its load report, by a recent sign of saturation, by a slow probe, or by estimate.
    fn has_capacity_at(&self, server: &Server, kv_tokens: f64, utilization: f64) -> bool {
        let capacity = server.listing.kv_capacity_tokens;
        let fits = capacity <= 0.0
            || utilization + kv_tokens / capacity <= SATURATION_UTILIZATION
            || server.local_load.reserved_kv_tokens() <= 0.0;
        let reported = server.reported_load.memory_utilization();
        let has_reported_capacity = reported.is_none_or(|utilization| utilization < SATURATION_UTILIZATION);
        let is_probe_late = server.liveness.awaits_probe_for(self.now, SLOW_PROBE_LATENCY);
        !server.was_saturated_within(self.now, RECENT_WINDOW)
            && has_reported_capacity
            && !is_probe_late
            && fits
    }

    /// Estimated share of a decode worker's KV cache in use, by this router's and other routers'
    /// attempts.
    pub(crate) fn memory_utilization(&self, server: &Server) -> f64 {
        let capacity = server.listing.kv_capacity_tokens.max(1.0);
        // If no server of the role reports its load, the load known from gossip counts. It serves only to
        // check capacity, not to compare loads.
        let by_gossip = || self.peer_load.tokens_at(server.id) / capacity;
        let peers = self.peer_utilization(server).unwrap_or_else(by_gossip);
        server.local_load.reserved_kv_tokens() / capacity + peers
    }

    /// Share of the KV cache that other routers' requests use, by load reports. A server without a recent
    /// report counts as average.
    fn peer_utilization(&self, server: &Server) -> Option<f64> {
        let reported = server.reported_load.peer_kv_tokens();
        let reported = reported.map(|tokens| tokens / server.listing.kv_capacity_tokens.max(1.0));
        reported.or(self.fleet.mean_peer_utilization(server.listing.role))
    }

    /// Load of a decode worker relative to its speed, for comparison with others.
    pub(super) fn relative_decode_load(&self, server: &Server) -> f64 {
        let capacity = server.listing.kv_capacity_tokens.max(1.0);
        let peers = self.peer_utilization(server).unwrap_or(0.0);
        (server.local_load.reserved_kv_tokens() / capacity + peers) / self.relative_speed(server)
    }

    /// Speed of a server relative to the mean of its role: its weight, reduced while it is slow or
    /// warming up.
    pub(super) fn relative_speed(&self, server: &Server) -> f64 {
        let mean_weight = self.fleet.mean_weight(server.listing.role);
        let weight = if mean_weight > 0.0 { server.listing.weight / mean_weight } else { 1.0 };
        let ratio = server.latency.ratio();
        let speed = if ratio >= SLOW_LATENCY_RATIO { weight / ratio } else { weight };
        let slow_start_factor = if is_warming_up(self.now, &self.settings, server) {
            self.settings.slow_start_speed.clamp(MIN_SLOW_START_SPEED, 1.0)
        } else {
            1.0
        };
        speed.max(MIN_RELATIVE_SPEED) * slow_start_factor
    }

    /// Whether decode workers have capacity for a request in addition to the requests that are being
    /// prefilled.
    pub(super) fn decode_workers_have_capacity(&self, request: &InFlightRequest) -> bool {
        let workers = self.candidates(WorkerPool::Decode, request);
        self.have_joint_capacity(&workers, request.expected_kv_tokens())
    }

    /// Whether servers together have capacity for that many KV cache tokens in addition to their share of
    /// the decode demand.
    pub(super) fn have_joint_capacity(&self, workers: &[&Server], kv_tokens: f64) -> bool {
        let mut free_tokens = 0.0;
        let mut any_has_capacity = false;
        let mut is_unbounded = false;
        for worker in workers {
            let utilization = self.memory_utilization(worker);
            if !self.has_capacity_at(worker, kv_tokens, utilization) {
                continue;
            }
            let capacity = worker.listing.kv_capacity_tokens;
            free_tokens += (SATURATION_UTILIZATION - utilization) * capacity;
            any_has_capacity = true;
            is_unbounded |= capacity <= 0.0;
        }
        let share = self.fleet.share_of_decode_workers(workers.len());
        let demand = self.requests.decode_demand_tokens() * share + kv_tokens;
        any_has_capacity && (is_unbounded || free_tokens >= demand)
    }

    /// Whether a mixed server has capacity to run a request in both stages, if there are decode workers
    /// as well.
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
