//! What the servers of a role have in common, and which servers a request chooses among.

use super::hash_ring::HashRing;
use super::{
    average, Neighborhood, NeighborhoodLimits, PeerLoad, PerRole, RingPosition, Server, ServerIndices,
    ServerTable, ROLES,
};
use crate::api::{CellId, Nanos, Role};
use std::collections::BTreeMap;

/// A server that is not listed any more is kept while at least so many of its KV cache tokens are
/// reserved.
const NEGLIGIBLE_KV_TOKENS: f64 = 1.0;

/// What the servers of a role have in common: by the endpoint list, and by what was heard of their
/// load lately.
#[derive(Clone, Debug, Default)]
pub struct FleetSummary {
    mean_weight: PerRole<f64>,
    /// Each cell's share of all weight.
    cell_shares: BTreeMap<CellId, PerRole<f64>>,
    ready: ServerIndices,
    decode_role: Role,
    /// There are so many servers that a request chooses only among those near its key.
    uses_neighborhoods: bool,
    ring: HashRing,
    load_updated_at: Nanos,
    mean_peer_utilization: PerRole<Option<f64>>,
    mean_peer_queued_tokens: PerRole<Option<f64>>,
    known_kv_tokens: f64,
    known_kv_tokens_per_server: f64,
}

impl FleetSummary {
    /// Takes the listed servers. One that is removed is dropped with the last of our work there:
    /// new ones come under new ids all the time. With more than `most` ready servers requests
    /// choose among neighbourhoods.
    pub fn update_listed(&mut self, servers: &mut ServerTable, most: usize, limits: NeighborhoodLimits) {
        servers.retain(|server| !server.listing.is_removed() || has_local_work(server));
        // Mixed servers are sent KV caches from prefill workers only where there are no decode
        // workers.
        let has_decode_workers = servers.iter().any(|server| is_ready_as(server, Role::Decode));
        self.decode_role = if has_decode_workers { Role::Decode } else { Role::Mixed };
        self.ready = ServerIndices {
            prefill: servers.indices(|s| s.listing.is_ready() && s.listing.role != Role::Decode),
            decode: servers.indices(|s| is_ready_as(s, self.decode_role)),
            mixed: servers.indices(|s| has_decode_workers && is_ready_as(s, Role::Mixed)),
        };
        self.uses_neighborhoods = self.ready.prefill.len() + self.ready.decode.len() > most;
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

    /// Updates the means of the load heard of since `now - max_age`, and forgets older reports.
    /// Done once an interval.
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
            // A probe whose answer was lost must not be awaited for ever.
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

    /// All ready servers.
    pub fn ready(&self) -> &ServerIndices {
        &self.ready
    }

    /// The role of the servers that are asked to decode.
    pub fn decode_role(&self) -> Role {
        self.decode_role
    }

    /// The mean weight of a role's servers; 1 without one.
    pub fn mean_weight(&self, role: Role) -> f64 {
        *self.mean_weight.get(role)
    }

    /// A cell's share of a role's weight; `None` for a cell without a ready server.
    pub fn cell_share(&self, cell: CellId, role: Role) -> Option<f64> {
        self.cell_shares.get(&cell).map(|shares| *shares.get(role))
    }

    /// The mean share of KV cache that other routers' requests hold at a role's servers, where that
    /// was reported.
    pub fn mean_peer_utilization(&self, role: Role) -> Option<f64> {
        *self.mean_peer_utilization.get(role)
    }

    /// The mean of other routers' queued prompt tokens at a role's servers, where that was reported.
    pub fn mean_peer_queued_tokens(&self, role: Role) -> Option<f64> {
        *self.mean_peer_queued_tokens.get(role)
    }

    /// KV cache tokens that this router and those that report have at decode workers.
    pub fn known_kv_tokens(&self) -> f64 {
        self.known_kv_tokens
    }

    /// The same for one decode worker, on average.
    pub fn known_kv_tokens_per_server(&self) -> f64 {
        self.known_kv_tokens_per_server
    }

    /// A request chooses only among servers near its key.
    pub fn uses_neighborhoods(&self) -> bool {
        self.uses_neighborhoods
    }

    /// The servers near a position, and the decode workers of one cell besides; all servers where
    /// there are few.
    pub fn neighborhood(
        &self,
        position: Option<RingPosition>,
        cell: Option<CellId>,
        limits: NeighborhoodLimits,
    ) -> Neighborhood<'_> {
        let Some(position) = position.filter(|_| self.uses_neighborhoods) else {
            return Neighborhood::all(&self.ready);
        };
        let mut found = self.ring.neighborhood(&self.ready, position, limits);
        if let Some(of_cell) = cell.and_then(|cell| self.ring.cell(cell)) {
            let decode = &mut found.servers.to_mut().decode;
            let missing = of_cell.decode.iter().filter(|index| !decode.contains(*index));
            let missing: Vec<usize> = missing.copied().collect();
            decode.extend(missing);
        }
        found
    }

    /// The share of all decode workers that so many are, where requests choose among
    /// neighbourhoods; else 1.
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
    let own = &server.local_load;
    own.awaiting_first_token() > 0 || own.reserved_kv_tokens() >= NEGLIGIBLE_KV_TOKENS
}

/// A mean that is summed up value by value.
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

    /// The mean; `None` of no values.
    pub fn mean(self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}
