//! The interface of the scheduler: its settings, the events that a router reports and the actions that it carries out.
//!
//! Nothing here depends on a wire format. Instants and spans are in nanoseconds; an instant counts from an arbitrary
//! start of a monotonic clock. Traffic classes, tenants, zones and kinds of servers are named by their index in the
//! settings, never by text.

use std::sync::Arc;

/// An instant on the router's monotonic clock, or a span of time, in nanoseconds.
pub type Nanos = u64;

/// A request, unique within one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A prefill, decode or mixed server; the same on every router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// The number of an attempt within its request, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// A traffic class, by its index in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// A tenant, by its index in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A zone, by its index in the site's list of zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);

/// A kind of server, by its index in [`Settings::kinds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);

/// A cell: servers between which a KV cache moves fast, for example those of one rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// A timer of the scheduler; [`Event::TimerFired`] gives it back as [`Action::SetTimer`] set it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u32);

/// The digest of a session or of a shared prefix, the same on every router. Requests with one key prefer the same
/// prefill servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AffinityKey(pub u64);

impl AffinityKey {
    /// The digest of a text (FNV-1a).
    pub fn from_text(text: &str) -> AffinityKey {
        let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        AffinityKey(text.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, step))
    }

    /// The rank of a server for this key in rendezvous hashing, the same on every router.
    pub fn rendezvous_rank(self, server: ServerId) -> u64 {
        mix(self.0 ^ mix(u64::from(server.0)))
    }

    /// The rendezvous rank as a number between 0 and 1, both excluded.
    pub fn unit_interval(self, server: ServerId) -> f64 {
        ((self.rendezvous_rank(server) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }
}

/// A fixed mixing of bits (SplitMix64).
fn mix(key: u64) -> u64 {
    let z = key.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The stages that a server runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// It computes the KV cache of a prompt.
    Prefill,
    /// It fetches a KV cache and streams the answer.
    Decode,
    /// It does both; the role of a server whose settings name none.
    #[default]
    Mixed,
}

/// Whether the requests of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second execution does no harm.
    Idempotent,
    /// Servers of one deduplication domain drop a repeat with the same idempotency key, for a while.
    WithKey,
    /// A second execution may do harm.
    NotIdempotent,
}

/// Which servers recognise the repeats of a request with an idempotency key.
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
    /// The deduplication domain of a server in that zone and cell; `None` where the endpoint list names neither.
    pub fn domain(self, zone: Option<ZoneId>, cell: Option<CellId>) -> Option<u64> {
        match self {
            DeduplicationScope::All => Some(0),
            DeduplicationScope::Zone => zone.map(|zone| zone.0 as u64),
            DeduplicationScope::Cell => cell.map(|cell| cell.0),
        }
    }
}

/// A class of traffic: its service objectives and what its requests allow.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficClass {
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// Which servers drop a repeat with the same idempotency key.
    pub deduplication_scope: DeduplicationScope,
    /// How long such repeats are dropped, from the first send that may have run.
    pub deduplication_window: Nanos,
    /// Objective for the time to the first token. 0: none, an answer is worth the same until the deadline.
    pub latency_objective: Nanos,
    /// Nanoseconds added to the latency objective for each prompt token.
    pub latency_objective_per_prompt_token: f64,
    /// How long a client of this class waits for its answer.
    pub deadline: Nanos,
    /// Objective for the time between two tokens; 0: none.
    pub token_latency_objective: Nanos,
    /// Weight of an answer that meets its latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Weight of an answer between latency objective and deadline, as a fraction of `priority_weight`.
    pub late_priority_weight: f64,
    /// Whether answers are streamed. If not, nothing is heard of an attempt before its answer is complete.
    pub streamed: bool,
}

/// A tenant, whose traffic is limited by a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Fraction of the site's traffic that is expected to be this tenant's, 0 to 1.
    pub quota_share: f64,
    /// Requests per second within the quota, all routers together; 0: no quota.
    pub quota_per_second: f64,
}

/// What the servers of one kind have in common.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerKind {
    /// The stages that they run; `None`: neither prefill nor decode, so that they are sent nothing.
    pub role: Option<Role>,
    /// Tokens of KV cache that one of them holds; 0: not known.
    pub kv_capacity_tokens: f64,
}

impl ServerKind {
    /// A kind of which the settings say nothing: mixed, of unknown capacity.
    pub const UNKNOWN: ServerKind = ServerKind { role: Some(Role::Mixed), kv_capacity_tokens: 0.0 };
}

/// The settings that a router starts with. [`Settings::default`] holds the meaning of each absent setting.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seed of the choices between equals; differs between routers, so that they don't all pick one server.
    pub seed: u64,
    /// Index of this router among the routers of the site.
    pub router_index: u32,
    /// Number of routers of the site, this one included. Each takes an even part of what they share.
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
    /// Whether a decode server can compute the KV cache itself, where there is no prefill server.
    pub decode_workers_can_prefill: bool,
    /// Whether a decode server takes reservations while the prefill is still running.
    pub can_reserve: bool,
    /// Whether a broken or migrated stream is resumed by another server from the point where it stopped.
    pub can_resume: bool,
    /// How long a prefill server may hold a KV cache that no decode server fetches.
    pub kv_release_within: Nanos,
    /// Whether changes of the endpoint list have to be asked for, by a watch or a fetch; else they come unasked.
    pub poll_endpoints: bool,
    /// Without a watch and a fetch for so long, this router counts as notified of the list as it was then.
    pub endpoint_poll_interval: Nanos,
    /// Whether an attempt can be cancelled.
    pub can_cancel: bool,
    /// Whether servers answer health checks.
    pub can_probe: bool,
    /// Whether routers exchange gossip messages.
    pub can_gossip: bool,
    /// Whether two attempts of a request may be in flight at once (hedging).
    pub can_hedge: bool,
    /// Whether a rejection carries a Retry-After.
    pub can_send_retry_after: bool,
    /// Longest Retry-After that may be sent.
    pub max_retry_after: Nanos,
    /// Most attempts of a request. The default of 2 allows a prefill and a decode.
    pub max_attempts: u32,
    /// How long a connection may take to come up.
    pub connect_timeout: Nanos,
    /// How long requests may still be sent to a server after it was listed as draining.
    pub drain_grace: Nanos,
    /// Least speed of a server that has just started, as a share of its full speed, 0 to 1.
    pub slow_start_speed: f64,
    /// Longest time that a server takes from its start to full speed.
    pub slow_start_duration: Nanos,
    /// A server in slow start crashes when it is sent more than this multiple of its current capacity.
    pub overload_factor: f64,
    /// Window over which that multiple is counted.
    pub overload_window: Nanos,
    /// How long after a client's deadline its final answer still counts.
    pub answer_grace: Nanos,
    /// Shortest time between two batches of events, where a simulation runs in steps; 0 where time is continuous.
    pub step: Nanos,
    /// Cost of one probe, in units of the value of one request.
    pub probe_cost: f64,
    /// Cost of one gossip message of 256 bytes to one router, in units of the value of one request.
    pub gossip_cost: f64,
}

impl Settings {
    /// Role and KV capacity in tokens of a kind. A kind that the settings lack counts as [`ServerKind::UNKNOWN`]; `None`
    /// for a kind that runs neither stage.
    pub fn kind(&self, kind: Option<KindId>) -> Option<(Role, f64)> {
        let kind = kind.and_then(|kind| self.kinds.get(kind.0)).unwrap_or(&ServerKind::UNKNOWN);
        kind.role.map(|role| (role, kind.kv_capacity_tokens))
    }

    /// The Retry-After that a rejected client gets; 0: none.
    pub fn advertised_retry_after(&self) -> Nanos {
        if self.can_send_retry_after {
            self.max_retry_after
        } else {
            0
        }
    }

    /// Replaces a tenant's quota, in requests per second. A number that is negative or not finite is ignored, as is
    /// a tenant that the settings lack.
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

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is not listed any more.
    Removed,
}

/// One server of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its zone, if it is one of the settings.
    pub zone: Option<ZoneId>,
    /// Its kind, if it is one of the settings.
    pub kind: Option<KindId>,
    /// Its cell, if the list names one.
    pub cell: Option<CellId>,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Its capacity relative to other servers of its role; 1 if the list names none.
    pub weight: Option<f64>,
    /// When its process last started; `None` or 0: long ago.
    pub started_at: Option<Nanos>,
}

/// How an update of the endpoint list relates to what was known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// It holds only the servers that have changed.
    Delta,
    /// It holds all servers; those that it lacks are removed.
    Full,
    /// It holds all servers as they were known before this router started, and may be stale.
    Cached,
    /// The list could not be fetched.
    Failed,
}

/// A request that a client has sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its traffic class.
    pub class: ClassId,
    /// The tenant that it counts for.
    pub tenant: Option<TenantId>,
    /// Digest of its session, if it has one.
    pub session: Option<AffinityKey>,
    /// Digest of the prefix that it shares with other requests, if it has one.
    pub prefix: Option<AffinityKey>,
    /// Tokens of its prompt; 0: not known.
    pub prompt_tokens: f64,
    /// Tokens of the shared prefix.
    pub prefix_tokens: f64,
    /// Most tokens of the answer; 0: not known.
    pub max_output_tokens: f64,
    /// Rough duration of the answer's stream at the class's token latency objective.
    pub expected_duration: Option<Nanos>,
    /// When its client stops waiting.
    pub deadline_at: Nanos,
    /// Whether the client says that it repeats an earlier request.
    pub client_retry: bool,
    /// Whether the client comes back after a stream that broke or was migrated.
    pub client_reconnect: bool,
}

/// A load report of a server; a field that the site does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight, those of all routers.
    pub in_flight: Option<f64>,
    /// Requests that are queued.
    pub queued: Option<f64>,
    /// Share of its slots that are in use, 0 to 1.
    pub slot_utilization: Option<f64>,
    /// Share of its KV cache memory that is in use, 0 to 1 (field `x0` on the wire).
    pub memory_utilization: Option<f64>,
    /// Thousands of prompt tokens that wait for prefill or for their fetch (field `x1` on the wire).
    pub pending_prefill_kilotokens: Option<f64>,
}

/// How an attempt or a probe has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The answer is complete, or the probe was answered.
    Ok,
    /// The prefill is complete and its KV cache waits at the server.
    Prefilled,
    /// The server answered with an error; the attempt may have run.
    Error,
    /// The server rejected the attempt without running it.
    Rejected,
    /// No answer came within the attempt's timeout.
    Timeout,
    /// No connection to the server could be established; nothing was sent.
    ConnectFailed,
    /// This machine had no socket or no route for it: nothing was sent, and nothing is known of the server.
    NoSocket,
    /// The connection broke after something was sent; the attempt may have run.
    Reset,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt expired before it was sent, or nobody waits for it any more; it has not run.
    Expired,
    /// A status code that this version does not know; the attempt may have run.
    Unknown,
}

impl AttemptStatus {
    /// Whether the server itself has answered, so that its process has run since the exchange began.
    pub fn is_answer(self) -> bool {
        matches!(
            self,
            AttemptStatus::Ok
                | AttemptStatus::Prefilled
                | AttemptStatus::Error
                | AttemptStatus::Rejected
                | AttemptStatus::Unknown
        )
    }

    /// The name of the status in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            AttemptStatus::Ok => "ok",
            AttemptStatus::Prefilled => "read",
            AttemptStatus::Error => "error",
            AttemptStatus::Rejected => "full",
            AttemptStatus::Timeout => "timeout",
            AttemptStatus::ConnectFailed => "connect_failed",
            AttemptStatus::NoSocket => "no_socket",
            AttemptStatus::Reset => "reset",
            AttemptStatus::Cancelled => "cancelled",
            AttemptStatus::Expired => "moot",
            AttemptStatus::Unknown => "unknown",
        }
    }

    /// Whether there was no connection for the attempt, so that nothing of it was sent.
    pub fn was_never_sent(self) -> bool {
        matches!(self, AttemptStatus::ConnectFailed | AttemptStatus::NoSocket)
    }
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// The server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub status: AttemptStatus,
    /// Time from its send to its end.
    pub latency: Nanos,
    /// Whether the request is finished with it.
    pub request_finished: bool,
    /// Prompt tokens that the server found in its cache; 0 unless the status is [`AttemptStatus::Prefilled`] or
    /// [`AttemptStatus::Ok`].
    pub cached_prompt_tokens: u64,
    /// Whether a decode server rejected the attempt because it could not fetch the KV cache.
    pub kv_cache_missing: bool,
    /// The server's load, if it came with the answer.
    pub report: Option<LoadReport>,
}

/// The note of an attempt's outcome on the wire, a number whose meaning depends on the status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeNote(pub u64);

impl OutcomeNote {
    /// The note of a rejection because there was no KV cache to fetch.
    pub const KV_CACHE_MISSING: OutcomeNote = OutcomeNote(1);

    /// The note as [`AttemptOutcome::cached_prompt_tokens`].
    pub fn cached_prompt_tokens(self, status: AttemptStatus) -> u64 {
        match status {
            AttemptStatus::Ok | AttemptStatus::Prefilled => self.0,
            _ => 0,
        }
    }

    /// The note as [`AttemptOutcome::kv_cache_missing`].
    pub fn kv_cache_missing(self, status: AttemptStatus) -> bool {
        status == AttemptStatus::Rejected && self == OutcomeNote::KV_CACHE_MISSING
    }
}

/// Something that has happened at the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed.
    EndpointsChanged {
        /// How it relates to the list before.
        update: EndpointUpdate,
        /// The servers of the update.
        endpoints: Arc<[Endpoint]>,
    },
    /// A request has arrived.
    RequestArrived(Request),
    /// A timer has fired.
    TimerFired(TimerToken),
    /// Another router has sent a gossip message.
    GossipReceived {
        /// Index of the router that sent it.
        from: u32,
        /// The message.
        data: Vec<u8>,
    },
    /// An attempt has produced its first token.
    FirstToken {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The server that it was sent to.
        server: ServerId,
        /// Time from its send to the first token.
        latency: Nanos,
    },
    /// A server has answered a reservation.
    ReservationAnswered {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The server that was asked.
        server: ServerId,
        /// Whether the place is reserved.
        reserved: bool,
    },
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// A probe has ended.
    ProbeFinished {
        /// The server that was probed.
        server: ServerId,
        /// How it ended.
        status: AttemptStatus,
        /// Time from its send to its end.
        latency: Nanos,
        /// The server's load, if it came with the answer.
        report: Option<LoadReport>,
    },
    /// A tenant's quota is another from now on.
    QuotaChanged {
        /// The tenant.
        tenant: TenantId,
        /// Requests per second within the quota, all routers together.
        quota_per_second: f64,
    },
    /// The number of routers at work is another from now on, this one included. Without this event the number of the
    /// settings holds.
    RouterCountChanged(u32),
    /// An attempt has ended.
    AttemptFinished(AttemptOutcome),
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GiveUpReason {
    /// Its class is not one of the settings.
    UnknownClass,
    /// Its client's deadline is over.
    DeadlineExceeded,
    /// It was queued for so long that it can't meet its latency objective any more.
    ObjectiveMissed,
    /// Its KV cache may not be held any longer, and there is no decode server to send it to.
    KvReleaseTimeout,
    /// The attempts that are left are too few to end in an answer.
    AttemptsExhausted,
    /// An attempt may have run, and the request may not be repeated.
    MayHaveRun,
    /// The router found a send too late to be made.
    TooLate,
}

impl GiveUpReason {
    /// Whether it ended a wait, so that there is a [`QueueingReason`].
    pub fn ends_a_wait(self) -> bool {
        matches!(
            self,
            GiveUpReason::DeadlineExceeded | GiveUpReason::ObjectiveMissed | GiveUpReason::KvReleaseTimeout
        )
    }
}

/// What a request waited for when it was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QueueingReason {
    /// There was no decode server that it could be sent to.
    NoDecodeWorker,
    /// There was no prefill server that it could be sent to.
    NoPrefillWorker,
    /// Capacity was short, and its tenant was over its quota.
    OverQuota,
    /// All decode servers looked saturated.
    DecodeWorkersSaturated,
    /// All prefill servers had long queues.
    PrefillWorkersSaturated,
}

/// Why a request was given up, and what it waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GiveUpCause {
    /// Why it was given up.
    pub reason: GiveUpReason,
    /// What it waited for; `None` where an attempt was in flight, or it did not wait.
    pub queueing_reason: Option<QueueingReason>,
}

impl From<GiveUpReason> for GiveUpCause {
    fn from(reason: GiveUpReason) -> GiveUpCause {
        GiveUpCause { reason, queueing_reason: None }
    }
}

/// Something that the router is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt of a request to a server.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// How long the attempt may take; 0: until the client's deadline.
        timeout: Nanos,
        /// When the request's last byte has to be written. If that can't be met nothing is sent, and the attempt ends as
        /// [`AttemptStatus::Expired`].
        send_by: Nanos,
    },
    /// Cancels an attempt that is in flight.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// Rejects a request: a retry by the client is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// The Retry-After for the client; 0: none.
        retry_after: Nanos,
        /// Why.
        cause: GiveUpCause,
    },
    /// Fails a request, which may have had an effect.
    Fail {
        /// The request.
        id: RequestId,
        /// Why.
        cause: GiveUpCause,
    },
    /// Releases all KV caches and reservations of a request.
    ReleaseKv(RequestId),
    /// Reserves a place at a decode server while the prefill is still running.
    ReserveKv {
        /// The request.
        id: RequestId,
        /// The decode server.
        server: ServerId,
    },
    /// Migrates a stream: its client is asked to reconnect elsewhere.
    Migrate(RequestId),
    /// Probes a server.
    Probe(ServerId),
    /// Closes the connections to a server.
    CloseConnections(ServerId),
    /// Sets a timer.
    SetTimer {
        /// Its token, given back when it fires.
        token: TimerToken,
        /// When it fires, from now.
        delay: Nanos,
    },
    /// Sends a gossip message.
    SendGossip {
        /// Index of the router to send it to; `None`: all.
        peer: Option<u32>,
        /// The message.
        data: Vec<u8>,
    },
    /// Starts or stops watching the endpoint list.
    WatchEndpoints(bool),
    /// Fetches the whole endpoint list.
    FetchEndpoints,
    /// Writes a line to the log.
    Log(String),
}
