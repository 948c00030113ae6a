//! How the endpoint list is applied: the known servers, and how much affinity each prefill worker
//! attracts.

use super::constants::{
    ENDPOINT_POLL_TIMER, FULL_SCAN_SERVER_LIMIT, MAX_AFFINITY, MIN_AFFINITY, MIN_CELL_SHARE, NEIGHBORHOOD,
    RECENT_WINDOW,
};
use super::Policy;
use crate::api::{Action, AffinityKey, Endpoint, EndpointUpdate, Role};
use crate::state::{FleetSummary, ListingState, Server};

impl Policy {
    /// Applies an update of the endpoint list.
    pub(super) fn on_endpoints_changed(&mut self, update: EndpointUpdate, endpoints: &[Endpoint]) {
        if update == EndpointUpdate::Failed {
            let retry = Action::SetTimer { token: ENDPOINT_POLL_TIMER, delay: RECENT_WINDOW };
            return self.actions.push(retry);
        }
        if update == EndpointUpdate::Cached && self.settings.poll_endpoints {
            self.actions.push(Action::WatchEndpoints(true));
        }
        if update != EndpointUpdate::Delta {
            for server in self.servers.iter_mut() {
                server.listing.state = ListingState::Removed;
            }
        }
        self.update_listings(endpoints);
        self.fleet.update_listed(&mut self.servers, FULL_SCAN_SERVER_LIMIT, NEIGHBORHOOD);
        for server in self.servers.iter_mut() {
            server.affinity_weight = affinity_weight(server, &self.fleet);
        }
        self.update_fleet_load(0);
    }

    fn update_listings(&mut self, endpoints: &[Endpoint]) {
        let new_server = |endpoint: &Endpoint| {
            let (role, kv_capacity_tokens) = self.settings.kind(endpoint.kind)?;
            Some(Server::new(endpoint.server, role, kv_capacity_tokens))
        };
        self.servers.insert_missing(endpoints.iter().filter_map(new_server));
        let seed = AffinityKey(self.settings.seed);
        for endpoint in endpoints {
            let Some(server) = self.servers.get_mut(endpoint.server) else { continue };
            let Some((role, kv_capacity_tokens)) = self.settings.kind(endpoint.kind) else {
                server.listing.mark_not_ready();
                continue;
            };
            server.listing.role = role;
            server.listing.kv_capacity_tokens = kv_capacity_tokens;
            // No new request is sent to a draining or removed server from now on; the drain grace is not
            // used.
            server.update_listing(self.now, endpoint, seed.unit_interval(endpoint.server));
        }
    }
}

/// How much affinity a server attracts. Prefill workers attract affinity in proportion to the decode
/// capacity of their cell, so that KV caches need not be transferred to another cell. Mixed servers
/// decode what they prefill.
fn affinity_weight(server: &Server, fleet: &FleetSummary) -> f64 {
    let listing = &server.listing;
    let cell = listing.cell.filter(|_| listing.role == Role::Prefill);
    let balance = cell.and_then(|cell| {
        let decode_share = fleet.cell_share(cell, fleet.decode_role())?;
        let prefill_share = fleet.cell_share(cell, Role::Prefill)?;
        Some(decode_share / prefill_share.max(MIN_CELL_SHARE))
    });
    listing.weight * balance.unwrap_or(1.0).clamp(MIN_AFFINITY, MAX_AFFINITY)
}
