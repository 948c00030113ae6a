//! Gossip between routers: when this router sends its load, and the estimated load of routers without
//! a report.

use super::constants::{
    GOSSIP_COST_BYTES, GOSSIP_INTERVAL, LOAD_INFO_POINTS_PER_REQUEST, MAX_LOAD_INFO_POINTS,
};
use super::Policy;
use crate::api::{Action, Nanos, Settings};
use crate::state::{encode_gossip, least_by, Budget, FleetSummary, ServerTable};

/// Limits how often this router sends its load to the others.
#[derive(Default)]
pub(super) struct Gossip {
    budget: Budget,
    last_sent_at: Nanos,
}

impl Gossip {
    /// Adds to the budget what a new request earns.
    pub(super) fn earn(&mut self) {
        self.budget.earn(LOAD_INFO_POINTS_PER_REQUEST, MAX_LOAD_INFO_POINTS);
    }

    /// The message to send now, if any. Gossip is sent only if no server reports its load, and only as
    /// often as the budget covers its cost.
    fn next_message(&mut self, now: Nanos, settings: &Settings, servers: &ServerTable) -> Option<Vec<u8>> {
        let is_allowed = settings.can_gossip && settings.router_count >= 2;
        if !is_allowed || now < self.last_sent_at + GOSSIP_INTERVAL || servers_report_load(servers) {
            return None;
        }
        let message = local_load(servers);
        // An empty message has no content but would still cost its sending.
        if message.is_empty() || !self.budget.try_spend(cost(settings, &message)) {
            return None;
        }
        self.last_sent_at = now;
        Some(message)
    }
}

fn servers_report_load(servers: &ServerTable) -> bool {
    servers.iter().any(|server| server.reported_load.peer_kv_tokens().is_some())
}

/// Encodes this router's load, the most loaded servers first: a message can't hold all of many servers.
fn local_load(servers: &ServerTable) -> Vec<u8> {
    let load = servers.iter().map(|server| (server.id, server.local_load.reserved_kv_tokens())).collect();
    let most_loaded_first = least_by(load, usize::MAX, |(_, tokens)| -tokens);
    encode_gossip(most_loaded_first.into_iter())
}

fn cost(settings: &Settings, message: &[u8]) -> f64 {
    let receivers = f64::from(settings.router_count - 1);
    settings.gossip_cost * receivers * message.len() as f64 / GOSSIP_COST_BYTES
}

/// Estimated tokens that routers without a report have at each server: the mean of the known routers,
/// reduced by its sampling error, as a few known requests say little about hundreds of routers.
fn estimate_unreported(
    router_count: u32,
    reporting_routers: f64,
    fleet: &FleetSummary,
    mean_request_tokens: f64,
) -> f64 {
    let silent_routers = (f64::from(router_count) - 1.0 - reporting_routers).max(0.0);
    let known_requests = fleet.known_kv_tokens() / mean_request_tokens.max(1.0);
    let confidence = 1.0 - known_requests.max(1.0).sqrt().recip();
    silent_routers * confidence * fleet.known_kv_tokens_per_server() / (1.0 + reporting_routers)
}

impl Policy {
    /// Sends this router's load to the other routers if a message is due.
    pub(super) fn send_gossip(&mut self) {
        let message = self.gossip.next_message(self.now, &self.settings, &self.servers);
        self.actions.extend(message.map(|data| Action::SendGossip { peer: None, data }));
    }

    /// Updates the estimate, which changes with each report and each request.
    pub(super) fn estimate_unreported_load(&mut self) {
        let reporting_routers = self.peer_load.reporting_routers();
        let mean_request_tokens = self.traffic.mean_request_tokens();
        let router_count = self.settings.router_count;
        let tokens = estimate_unreported(router_count, reporting_routers, &self.fleet, mean_request_tokens);
        self.peer_load.set_unreported(tokens);
    }
}
