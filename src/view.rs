//! What the module thinks of each server, for operators: nothing here changes state.

use crate::api::{ClassId, Nanos, Role, ServerId, TenantId};
use crate::policy::{is_unhealthy, is_warming_up, slow_start_allows, Policy};
use crate::state::{Server, TrafficClassKey};

/// Why a server gets nothing new, or less than its peers, the strongest reason first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvoidReason {
    /// It is listed as draining or removed, or is not listed any more.
    NotReady,
    /// It could not be reached, or has answered nothing for too long.
    Unreachable,
    /// It is ejected after failures.
    Ejected {
        /// When the ejection ends.
        until: Nanos,
    },
    /// It is so much slower than its peers that it gets one request at a time.
    Outlier,
    /// It is warming up, and was sent its share of what warm peers get.
    WarmingUp,
    /// It reported, or is estimated, to be saturated.
    Saturated,
}

/// A traffic class for which a server is ejected: it rejects that or leaves it unanswered while it
/// serves the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartialEjection {
    /// The class of the requests.
    pub class: ClassId,
    /// Their tenant, if known.
    pub tenant: Option<TenantId>,
    /// When the ejection ends.
    pub until: Nanos,
}

/// One server as the module sees it now.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// Its id.
    pub server: ServerId,
    /// What it is asked to do.
    pub role: Role,
    /// Why it gets nothing new, or less than its peers, if so.
    pub avoid_reason: Option<AvoidReason>,
    /// The ejections for a traffic class that hold now: at most one for each class and tenant.
    pub partial_ejections: Vec<PartialEjection>,
    /// Own attempts in flight that have not sent their first token.
    pub awaiting_first_token: u32,
    /// Own prompt tokens that are not prefilled yet.
    pub queued_prompt_tokens: f64,
    /// The estimated share of its KV cache in use; 0 where its capacity is not known.
    pub memory_utilization: f64,
    /// The share of its KV cache in use as it last reported.
    pub reported_memory_utilization: Option<f64>,
    /// Its latency as a multiple of its peers' median.
    pub latency_ratio: f64,
    /// What it may be sent at once while it is warming up, in mean requests; `None` once it is warm.
    pub slow_start_budget: Option<f64>,
    /// When it last sent anything; 0: never.
    pub last_response_at: Nanos,
}

impl Policy {
    /// Whether a server has answered something that was sent after that time.
    pub fn has_run_since(&self, server: ServerId, at: Nanos) -> bool {
        self.servers.get(server).is_some_and(|server| server.liveness.ran_since(at))
    }

    /// All servers that are known, in the order of their ids.
    pub fn views(&self) -> impl Iterator<Item = ServerView> + '_ {
        self.servers.iter().map(|server| self.view(server))
    }

    fn view(&self, server: &Server) -> ServerView {
        let has_known_capacity = server.listing.kv_capacity_tokens > 0.0;
        let is_warming_up = is_warming_up(self.now, &self.settings, server);
        let partial_ejections = server.ejections.by_class(self.now).map(partial_ejection);
        ServerView {
            server: server.id,
            role: server.listing.role,
            avoid_reason: self.avoid_reason(server),
            partial_ejections: partial_ejections.collect(),
            awaiting_first_token: server.local_load.awaiting_first_token(),
            queued_prompt_tokens: server.local_load.queued_prompt_tokens(),
            memory_utilization: if has_known_capacity { self.memory_utilization(server) } else { 0.0 },
            reported_memory_utilization: server.reported_load.memory_utilization(),
            latency_ratio: server.latency.ratio(),
            slow_start_budget: is_warming_up.then_some(server.slow_start.budget()),
            last_response_at: server.liveness.last_response_at(),
        }
    }

    fn avoid_reason(&self, server: &Server) -> Option<AvoidReason> {
        if !server.listing.is_ready() {
            return Some(AvoidReason::NotReady);
        }
        if server.liveness.is_unreachable() {
            return Some(AvoidReason::Unreachable);
        }
        if let Some(until) = server.ejections.ejected_until(self.now) {
            return Some(AvoidReason::Ejected { until });
        }
        if is_unhealthy(self.now, server, None) {
            return Some(AvoidReason::Outlier);
        }
        if !slow_start_allows(self.now, &self.settings, server) {
            return Some(AvoidReason::WarmingUp);
        }
        let is_saturated = server.listing.role != Role::Prefill && !self.has_capacity(server, 0.0);
        is_saturated.then_some(AvoidReason::Saturated)
    }
}

fn partial_ejection((traffic, until): (TrafficClassKey, Nanos)) -> PartialEjection {
    PartialEjection { class: traffic.class, tenant: traffic.tenant, until }
}
