//! Aggregates over the servers of each role, and the servers that a request chooses among.

use super::hash_ring::HashRing;
use super::{
    average, Neighborhood, NeighborhoodLimits, PeerLoad, PerRole, RingPosition, Server, ServerIndices,
    ServerTable, ROLES,
};
use crate::api::{CellId, Nanos, Role};
use std::collections::BTreeMap;

/// A removed server is kept while this router has at least this many KV cache tokens reserved there.
const NEGLIGIBLE_KV_TOKENS: f64 = 1.0;

/// Aggregates over the servers of each role, from the endpoint list and from recent load reports.
#[derive(Clone, Debug, Default)]
pub struct FleetSummary {
    mean_weight: PerRole<f64>,
    /// Each cell's share of the total weight of a role.
    cell_shares: BTreeMap<CellId, PerRole<f64>>,
    ready: ServerIndices,
    decode_role: Role,
    /// Whether there are so many servers that a request chooses only among those near its key.
    uses_neighborhoods: bool,
    ring: HashRing,
    load_updated_at: Nanos,
    mean_peer_utilization: PerRole<Option<f64>>,
    mean_peer_queued_tokens: PerRole<Option<f64>>,
    known_kv_tokens: f64,
    known_kv_tokens_per_server: f64,
}

impl FleetSummary {
    /// Updates the aggregates after a change of the endpoint list. Removed servers are dropped once none of
    /// this router's work is left there; as servers are replaced under new ids, the table would grow without
    /// bound otherwise. With more than `neighborhood_threshold` ready servers, requests choose among
    /// neighbourhoods.
    pub fn update_listed(
        &mut self,
        servers: &mut ServerTable,
        neighborhood_threshold: usize,
        limits: NeighborhoodLimits,
    ) {
        servers.retain(|server| !server.listing.is_removed() || has_local_work(server));
        // Mixed servers decode for prefill workers only if there are no decode workers.
        let has_decode_workers = servers.iter().any(|server| is_ready_as(server, Role::Decode));
        self.decode_role = if has_decode_workers { Role::Decode } else { Role::Mixed };
        self.ready = ServerIndices {
            prefill: servers.indices(|s| s.listing.is_ready() && s.listing.role != Role::Decode),
            decode: servers.indices(|s| is_ready_as(s, self.decode_role)),
            mixed: servers.indices(|s| has_decode_workers && is_ready_as(s, Role::Mixed)),
        };
        self.uses_neighborhoods = self.ready.prefill.len() + self.ready.decode.len() > neighborhood_threshold;
        if self.uses_neighborhoods {
            self.ring.update(servers, self.decode_role, has_decode_workers, limits);
        } else {
            self.ring = HashRing::default();
        }
        self.update_weights(servers);
    }

    fn update_weights(&mut self, servers: &ServerTable) {
        self.cell_shares.clear();
        for role in ROLES {
            let ready = || servers.iter().filter(|server| is_ready_as(server, role));
            let mean_weight = average(ready().map(|server| server.listing.weight));
            *self.mean_weight.get_mut(role) = mean_weight.unwrap_or(1.0);
            let total_weight = ready().map(|server| server.listing.weight).sum::<f64>();
            for server in ready() {
                let Some(cell) = server.listing.cell else { continue };
                let shares = self.cell_shares.entry(cell).or_default();
                *shares.get_mut(role) += server.listing.weight / total_weight;
            }
        }
    }

    /// Recomputes the load means from reports received since `now - max_age`, and discards older reports.
    /// Does nothing within `interval` of the last update.
    pub fn update_load(
        &mut self,
        now: Nanos,
        interval: Nanos,
        max_age: Nanos,
        servers: &mut ServerTable,
        peer_load: &mut PeerLoad,
    ) {
        if now < self.load_updated_at + interval {
            return;
        }
        self.load_updated_at = now;
        let oldest = now.saturating_sub(max_age);
        peer_load.expire(oldest);
        let mut utilization = PerRole::<MeanAccumulator>::default();
        let mut queued_tokens = PerRole::<MeanAccumulator>::default();
        let (mut decode_servers, mut own_kv_tokens) = (0.0_f64, 0.0);
        for server in servers.iter_mut() {
            server.reported_load.expire(oldest);
            // A probe whose answer was lost would otherwise count as outstanding forever.
            server.liveness.expire_probe(oldest);
            if !server.listing.is_ready() {
                continue;
            }
            let role = server.listing.role;
            if let Some(tokens) = server.reported_load.peer_kv_tokens() {
                utilization.get_mut(role).add(tokens / server.listing.kv_capacity_tokens.max(1.0));
            }
            if let Some(tokens) = server.reported_load.peer_queued_tokens() {
                queued_tokens.get_mut(role).add(tokens);
            }
            if role != Role::Prefill {
                decode_servers += 1.0;
                own_kv_tokens += server.local_load.reserved_kv_tokens();
            }
        }
        self.mean_peer_utilization = utilization.map(MeanAccumulator::mean);
        self.mean_peer_queued_tokens = queued_tokens.map(MeanAccumulator::mean);
        self.known_kv_tokens = own_kv_tokens + peer_load.reported_total();
        self.known_kv_tokens_per_server = self.known_kv_tokens / decode_servers.max(1.0);
    }

    /// All ready servers, by the work that they are asked for.
    pub fn ready(&self) -> &ServerIndices {
        &self.ready
    }

    /// The role of the servers that decode: mixed if there are no decode workers.
    pub fn decode_role(&self) -> Role {
        self.decode_role
    }

    /// The mean weight of the ready servers of a role; 1 if there are none.
    pub fn mean_weight(&self, role: Role) -> f64 {
        *self.mean_weight.get(role)
    }

    /// A cell's share of the total weight of a role; `None` for a cell without a ready server.
    pub fn cell_share(&self, cell: CellId, role: Role) -> Option<f64> {
        self.cell_shares.get(&cell).map(|shares| *shares.get(role))
    }

    /// The mean fraction of KV cache held by other routers' requests on the servers of a role, over the
    /// servers that report it.
    pub fn mean_peer_utilization(&self, role: Role) -> Option<f64> {
        *self.mean_peer_utilization.get(role)
    }

    /// The mean number of other routers' queued prompt tokens on the servers of a role, over the servers for
    /// which it is known.
    pub fn mean_peer_queued_tokens(&self, role: Role) -> Option<f64> {
        *self.mean_peer_queued_tokens.get(role)
    }

    /// KV cache tokens that this router and the routers that report their load have on the servers that
    /// decode.
    pub fn known_kv_tokens(&self) -> f64 {
        self.known_kv_tokens
    }

    /// The mean of [`FleetSummary::known_kv_tokens`] per server that decodes.
    pub fn known_kv_tokens_per_server(&self) -> f64 {
        self.known_kv_tokens_per_server
    }

    /// Whether a request chooses only among the servers near its key.
    pub fn uses_neighborhoods(&self) -> bool {
        self.uses_neighborhoods
    }

    /// The servers near a ring position plus the decode workers of `cell`; all servers if neighbourhoods are
    /// not in use.
    pub fn neighborhood(
        &self,
        position: Option<RingPosition>,
        cell: Option<CellId>,
        limits: NeighborhoodLimits,
    ) -> Neighborhood<'_> {
        let Some(position) = position.filter(|_| self.uses_neighborhoods) else {
            return Neighborhood::all(&self.ready);
        };
        let mut neighborhood = self.ring.neighborhood(&self.ready, position, limits);
        if let Some(cell_servers) = cell.and_then(|cell| self.ring.cell(cell)) {
            let decode = &mut neighborhood.servers.to_mut().decode;
            let missing = cell_servers.decode.iter().filter(|index| !decode.contains(*index));
            let missing: Vec<usize> = missing.copied().collect();
            decode.extend(missing);
        }
        neighborhood
    }

    /// The fraction of all decode workers that `count` workers are, if requests choose among neighbourhoods;
    /// otherwise 1.
    pub fn share_of_decode_workers(&self, count: usize) -> f64 {
        if self.uses_neighborhoods {
            count as f64 / self.ready.decode.len().max(1) as f64
        } else {
            1.0
        }
    }
}

fn is_ready_as(server: &Server, role: Role) -> bool {
    server.listing.is_ready() && server.listing.role == role
}

fn has_local_work(server: &Server) -> bool {
    let load = &server.local_load;
    load.awaiting_first_token() > 0 || load.reserved_kv_tokens() >= NEGLIGIBLE_KV_TOKENS
}

/// An arithmetic mean that is accumulated value by value.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanAccumulator {
    sum: f64,
    count: f64,
}

impl MeanAccumulator {
    /// Adds a value.
    pub fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1.0;
    }

    /// The mean; `None` if no value was added.
    pub fn mean(self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}
