//! The settings of a router.

use super::{CellId, KindId, Nanos, TenantId, ZoneId};

/// The stages that a server runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Computes the KV cache of a prompt.
    Prefill,
    /// Fetches a KV cache and streams the answer.
    Decode,
    /// Does both; the role of servers for which the settings name none.
    #[default]
    Mixed,
}

/// Whether the requests of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second execution is harmless.
    Idempotent,
    /// The servers of one deduplication domain drop repeats with the same idempotency key within the
    /// deduplication window.
    WithKey,
    /// A second execution may be harmful.
    NotIdempotent,
}

/// Which servers recognise repeats of a request by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers of the site.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

impl DeduplicationScope {
    /// The deduplication domain of a server in that zone and cell; `None` if the endpoint list does not
    /// name the zone or cell that the scope goes by.
    pub fn domain(self, zone: Option<ZoneId>, cell: Option<CellId>) -> Option<u64> {
        match self {
            DeduplicationScope::All => Some(0),
            DeduplicationScope::Zone => zone.map(|zone| zone.0 as u64),
            DeduplicationScope::Cell => cell.map(|cell| cell.0),
        }
    }
}

/// A traffic class: its service objectives and the constraints on its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficClass {
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// Which servers drop a repeat with the same idempotency key.
    pub deduplication_scope: DeduplicationScope,
    /// How long they drop repeats, counted from the first send that may have run.
    pub deduplication_window: Nanos,
    /// Objective for the time to the first token. 0: none; an answer has the same value until the
    /// deadline.
    pub latency_objective: Nanos,
    /// Nanoseconds added to the latency objective for each prompt token.
    pub latency_objective_per_prompt_token: f64,
    /// How long clients wait for an answer.
    pub deadline: Nanos,
    /// Objective for the time between two tokens; 0: none.
    pub token_latency_objective: Nanos,
    /// Weight of an answer that meets its latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Weight of an answer between latency objective and deadline, as a fraction of `priority_weight`.
    pub late_priority_weight: f64,
    /// Whether answers are streamed. If not, nothing is received from an attempt before its answer is
    /// complete.
    pub streamed: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Expected fraction of the site's traffic, 0 to 1.
    pub quota_share: f64,
    /// Quota in requests per second, for all routers together; 0: no quota.
    pub quota_per_second: f64,
}

/// A kind of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerKind {
    /// The stages that they run; `None`: neither prefill nor decode, and they get no requests.
    pub role: Option<Role>,
    /// KV cache capacity of one server in tokens; 0: unknown.
    pub kv_capacity_tokens: f64,
}

impl ServerKind {
    /// Stands in for kinds that the settings do not define: mixed, of unknown capacity.
    pub const UNKNOWN: ServerKind = ServerKind { role: Some(Role::Mixed), kv_capacity_tokens: 0.0 };
}

/// The settings of a router. [`Settings::default`] defines the value of each absent setting.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seed of the tie breakers. It differs between routers, so that they don't all choose the same
    /// server.
    pub seed: u64,
    /// Index of this router among the routers of the site.
    pub router_index: u32,
    /// Number of routers of the site, this one included. Shared limits such as quotas are divided
    /// evenly among them.
    pub router_count: u32,
    /// Zone of this router.
    pub zone: Option<ZoneId>,
    /// Traffic classes.
    pub classes: Vec<TrafficClass>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// Weight of a request over its tenant's quota, as a fraction of its class's weight.
    pub over_quota_priority_weight: f64,
    /// Kinds of servers.
    pub kinds: Vec<ServerKind>,
    /// Whether a decode server can compute the KV cache itself if there is no prefill server.
    pub decode_workers_can_prefill: bool,
    /// Whether a decode server accepts reservations while the prefill is still running.
    pub can_reserve: bool,
    /// Whether another server can resume a broken or migrated stream from the point where it stopped.
    pub can_resume: bool,
    /// How long a prefill server may hold a KV cache that no decode server fetches.
    pub kv_release_within: Nanos,
    /// Whether changes of the endpoint list have to be requested, by a watch or a fetch; otherwise they
    /// are pushed.
    pub poll_endpoints: bool,
    /// After this long without a watch or a fetch, the router counts as notified of the endpoint list
    /// as of that time.
    pub endpoint_poll_interval: Nanos,
    /// Whether attempts can be cancelled.
    pub can_cancel: bool,
    /// Whether servers answer health checks.
    pub can_probe: bool,
    /// Whether routers exchange gossip messages.
    pub can_gossip: bool,
    /// Whether two attempts of a request may be in flight at once (hedging).
    pub can_hedge: bool,
    /// Whether rejections carry a Retry-After.
    pub can_send_retry_after: bool,
    /// Maximum Retry-After.
    pub max_retry_after: Nanos,
    /// Maximum number of attempts per request. The default of 2 allows a prefill and a decode.
    pub max_attempts: u32,
    /// Timeout for establishing a connection.
    pub connect_timeout: Nanos,
    /// How long requests may still be sent to a server after it was listed as draining.
    pub drain_grace: Nanos,
    /// Minimum speed of a server that has just started, as a fraction of its full speed, 0 to 1.
    pub slow_start_speed: f64,
    /// Maximum time that a server needs from its start to full speed.
    pub slow_start_duration: Nanos,
    /// A server in slow start crashes if it is sent more than this multiple of its current capacity.
    pub overload_factor: f64,
    /// Window over which that multiple is measured.
    pub overload_window: Nanos,
    /// How long after the client's deadline a final answer still counts.
    pub answer_grace: Nanos,
    /// Minimum time between two batches of events in a stepped simulation; 0: time is continuous.
    pub step: Nanos,
    /// Cost of one probe, in units of the value of one request.
    pub probe_cost: f64,
    /// Cost of one gossip message of 256 bytes to one router, in units of the value of one request.
    pub gossip_cost: f64,
}

impl Settings {
    /// Role and KV capacity in tokens of a kind; `None` for a kind that runs neither stage. A kind that
    /// the settings do not define counts as [`ServerKind::UNKNOWN`].
    pub fn kind(&self, kind: Option<KindId>) -> Option<(Role, f64)> {
        let kind = kind.and_then(|kind| self.kinds.get(kind.0)).unwrap_or(&ServerKind::UNKNOWN);
        kind.role.map(|role| (role, kind.kv_capacity_tokens))
    }

    /// The Retry-After of rejections; 0: none.
    pub fn advertised_retry_after(&self) -> Nanos {
        if self.can_send_retry_after {
            self.max_retry_after
        } else {
            0
        }
    }

    /// Replaces a tenant's quota, in requests per second. Negative or non-finite values and unknown
    /// tenants are ignored.
    pub fn set_quota(&mut self, tenant: TenantId, quota_per_second: f64) {
        let is_valid = quota_per_second.is_finite() && quota_per_second >= 0.0;
        if let Some(tenant) = self.tenants.get_mut(tenant.0).filter(|_| is_valid) {
            tenant.quota_per_second = quota_per_second;
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            seed: 0,
            router_index: 0,
            router_count: 1,
            zone: None,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_priority_weight: 1.0,
            kinds: Vec::new(),
            decode_workers_can_prefill: false,
            can_reserve: false,
            can_resume: false,
            kv_release_within: 0,
            poll_endpoints: false,
            endpoint_poll_interval: 0,
            can_cancel: false,
            can_probe: false,
            can_gossip: false,
            can_hedge: false,
            can_send_retry_after: false,
            max_retry_after: 0,
            max_attempts: 2,
            connect_timeout: 0,
            drain_grace: 0,
            slow_start_speed: 0.0,
            slow_start_duration: 0,
            overload_factor: 1.0,
            overload_window: 0,
            answer_grace: 0,
            step: 0,
            probe_cost: 0.0,
            gossip_cost: 0.0,
        }
    }
}
