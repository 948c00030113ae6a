//! Read-only view of each server's status, for operators.

use crate::api::{ClassId, Nanos, Role, ServerId, TenantId};
use crate::policy::{is_unhealthy, is_warming_up, slow_start_allows, Policy};
use crate::state::{Server, TrafficClassKey};

/// Why a server gets no new requests, or fewer than its peers. The strongest reason comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvoidReason {
    /// The server is listed as draining or removed, or is no longer listed.
    NotReady,
    /// Connections to the server fail, or it has not responded for too long.
    Unreachable,
    /// The server is ejected after failures.
    Ejected {
        /// When the ejection ends.
        until: Nanos,
    },
    /// The server is so much slower than its peers that it gets one request at a time.
    Outlier,
    /// The server is warming up and its slow start budget is used up.
    WarmingUp,
    /// The server has reported saturation, or is estimated to be saturated.
    Saturated,
}

/// An ejection for one traffic class, whose requests the server rejects or leaves unanswered while
/// it serves other traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartialEjection {
    /// The traffic class.
    pub class: ClassId,
    /// The tenant of the requests, if known.
    pub tenant: Option<TenantId>,
    /// When the ejection ends.
    pub until: Nanos,
}

/// By what sign a router knows that a server's process has just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartSign {
    /// The endpoint list states the start.
    Listed,
    /// Connections to the server had failed, and it has answered a probe since.
    Recovered,
}

/// The slow start of one server. Work is in mean requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartView {
    /// The server.
    pub server: ServerId,
    /// When its process started, by this router's clock.
    pub started_at: Nanos,
    /// By what sign this router knows of it.
    pub sign: StartSign,
    /// The balance of its budget.
    pub budget: f64,
    /// The rate at which its budget is refilled.
    pub budget_per_second: f64,
    /// Attempts of this router since the start.
    pub sent_attempts: u32,
    /// The work of these attempts.
    pub sent_work: f64,
}

/// The current status of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// The server.
    pub server: ServerId,
    /// The stages that it runs.
    pub role: Role,
    /// Why it gets no new requests, or fewer than its peers, if so.
    pub avoid_reason: Option<AvoidReason>,
    /// Current ejections for single traffic classes: at most one for each class and tenant.
    pub partial_ejections: Vec<PartialEjection>,
    /// This router's attempts at the server that have not produced their first token.
    pub awaiting_first_token: u32,
    /// This router's prompt tokens at the server that are not prefilled yet.
    pub queued_prompt_tokens: f64,
    /// Estimated share of its KV cache in use; 0 if its capacity is unknown.
    pub memory_utilization: f64,
    /// Share of its KV cache in use, as last reported by the server.
    pub reported_memory_utilization: Option<f64>,
    /// Its latency as a multiple of the median of its peers.
    pub latency_ratio: f64,
    /// Balance of its slow start budget, in mean requests; `None` unless it is warming up.
    pub slow_start_budget: Option<f64>,
    /// When it last responded; 0: never.
    pub last_response_at: Nanos,
}

impl Policy {
    /// Whether a server has answered something that was sent after `at`.
    pub fn has_run_since(&self, server: ServerId, at: Nanos) -> bool {
        self.servers.get(server).is_some_and(|server| server.liveness.ran_since(at))
    }

    /// The views of all known servers, in the order of their ids.
    pub fn views(&self) -> impl Iterator<Item = ServerView> + '_ {
        self.servers.iter().map(|server| self.view(server))
    }

    /// The servers that are warming up, in the order of their ids.
    pub fn slow_starts(&self) -> impl Iterator<Item = SlowStartView> + '_ {
        let warming_up = |server: &&Server| is_warming_up(self.now, &self.settings, server);
        self.servers.iter().filter(warming_up).map(slow_start_view)
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

fn slow_start_view(server: &Server) -> SlowStartView {
    let record = &server.slow_start;
    let is_listed = server.listing.started_at >= record.recovered_at();
    SlowStartView {
        server: server.id,
        started_at: server.process_started_at(),
        sign: if is_listed { StartSign::Listed } else { StartSign::Recovered },
        budget: record.budget(),
        budget_per_second: record.budget_per_second(),
        sent_attempts: record.sent_attempts(),
        sent_work: record.sent_work(),
    }
}

fn partial_ejection((traffic, until): (TrafficClassKey, Nanos)) -> PartialEjection {
    PartialEjection { class: traffic.class, tenant: traffic.tenant, until }
}
