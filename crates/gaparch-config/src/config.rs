//! The settings in the terms of the program.

use crate::check;
use crate::document::{self, Problem};
use crate::raw;
use crate::schema::Schema;
use crate::units::Span;
use gaparch_protocol::client::Dialect;
use gaparch_scheduler::api::{
    AffinityKey, CellId, ClassId, DeduplicationScope, Idempotency, KindId, Nanos, Role, ServerId, ServerKind,
    ServerState, Settings, Tenant, TenantId, TrafficClass, ZoneId,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The number by which every router knows an engine of this name.
pub fn server_id(name: &str) -> ServerId {
    let digest = AffinityKey::from_text(name).0;
    ServerId((digest ^ (digest >> 32)) as u32)
}

/// All that a router is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    pub router: String,
    pub listeners: Vec<Listener>,
    /// What the decision module is told.
    pub module: Settings,
    pub names: Names,
    /// Bounds of a begun stream, by class.
    pub class_times: Vec<ClassTimes>,
    pub default_class: Option<ClassId>,
    /// Tenants by key; none: no key is asked for.
    pub keys: BTreeMap<String, TenantId>,
    pub engines: Vec<EngineConfig>,
    pub list: Option<ListConfig>,
    pub links: Links,
    pub attempts: Attempts,
    pub limits: Limits,
    pub operations: Option<Operations>,
    /// The other routers; none: this one knows of no other.
    pub fleet: Option<Fleet>,
}

/// How this router and the others of its site find one another.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Where their datagrams come in, and where they are told to send them.
    pub listen: SocketAddr,
    pub address: SocketAddr,
    /// Its first line is the site's key.
    pub key_file: PathBuf,
    pub seeds: Vec<SocketAddr>,
    /// Between two probes.
    pub period: Nanos,
    /// How long a dead one is counted on.
    pub hold: Nanos,
    /// For how long the list of engines may go unconfirmed before another router is asked for it; none: it never is.
    pub confirm: Option<Nanos>,
    /// Without: plain SWIM, to compare with.
    pub refined: bool,
}

impl Fleet {
    /// With a relative key file counted from a folder.
    pub fn at(mut self, folder: &Path) -> Fleet {
        self.key_file = folder.join(&self.key_file);
        self
    }
}

/// How the router is run.
#[derive(Clone, Debug, PartialEq)]
pub struct Operations {
    /// The folder for what must survive a restart.
    pub state: PathBuf,
    pub socket: Option<PathBuf>,
    pub address: Option<SocketAddr>,
    /// Consoles and scripts at once.
    pub sessions: usize,
    /// Bytes of history on disk, and of refusals in memory.
    pub history: usize,
    pub refusals: usize,
    pub operators: Vec<Operator>,
}

impl Operations {
    /// With relative paths counted from a folder.
    pub fn at(mut self, folder: &Path) -> Operations {
        self.state = folder.join(&self.state);
        self.socket = self.socket.map(|socket| folder.join(socket));
        for operator in &mut self.operators {
            if let KeySource::File(file) = &mut operator.key {
                *file = folder.join(&*file);
            }
        }
        self
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    pub name: String,
    /// May change things; else look only.
    pub may_change: bool,
    pub key: KeySource,
}

#[derive(Clone, PartialEq)]
pub enum KeySource {
    /// Its first line is the key.
    File(PathBuf),
    Text(String),
}

impl std::fmt::Debug for KeySource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            KeySource::File(file) => write!(f, "File({})", file.display()),
            // Keys must not end up in logs.
            KeySource::Text(_) => f.write_str("Text(..)"),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Listener {
    pub address: SocketAddr,
    pub dialect: Arc<Dialect>,
}

/// What the module knows by index only.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub classes: ClassNames,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

pub type ClassNames = Vec<String>;

impl Names {
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|n| n == name).map(ClassId)
    }

    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|n| n == name).map(ZoneId)
    }

    pub fn kind(&self, name: &str) -> Option<KindId> {
        self.kinds.iter().position(|n| n == name).map(KindId)
    }

    /// The number of a rack: the same on every router, whatever it lists.
    pub fn cell(&self, zone: &str, rack: &str) -> Option<CellId> {
        (!rack.is_empty()).then(|| CellId(AffinityKey::from_text(&format!("{zone}/{rack}")).0))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassTimes {
    /// An answer's whole time, once begun.
    pub stream: Nanos,
    /// The longest pause within it.
    pub silence: Nanos,
}

#[derive(Clone, Debug, PartialEq)]
pub struct EngineConfig {
    pub name: String,
    pub address: SocketAddr,
    pub kind: String,
    pub zone: String,
    pub rack: String,
    pub weight: Option<f64>,
    pub state: ServerState,
}

/// How engines are reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Links {
    /// One connection to each carries all; what an engine holds goes with it.
    Connections,
    /// Each attempt has an exchange of its own, and only that can fail: an engine counts as reachable while listed.
    Exchanges,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListConfig {
    pub address: SocketAddr,
}

/// What the core has to know of attempts besides the module's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    pub probe_timeout: Nanos,
    /// Wait before a connection is tried again; doubles up to the second.
    pub reconnect_after: Nanos,
    pub reconnect_most: Nanos,
}

/// Bounds of what is held at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's body.
    pub body: usize,
    /// Client connections.
    pub connections: usize,
    /// Requests taken and not yet ended.
    pub open_requests: usize,
    /// Requests that wait to be taken.
    pub inbox: usize,
    /// Events of one stream that wait for its client.
    pub stream_buffer: usize,
    /// Bytes of a frame.
    pub frame: usize,
    /// For the head of a request, and for its body.
    pub head_time: Span,
    pub body_time: Span,
    /// Between two keep-alive events while nothing else is sent.
    pub keep_alive: Span,
    /// For what runs when the router is asked to stop.
    pub shutdown: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body: 1 << 20,
            connections: 16_384,
            open_requests: 20_000,
            inbox: 1024,
            stream_buffer: 256,
            frame: gaparch_protocol::DEFAULT_MAX_FRAME,
            head_time: Span::secs(10),
            body_time: Span::secs(10),
            keep_alive: Span::secs(15),
            shutdown: Span::secs(10),
        }
    }
}

impl Config {
    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    /// Every mistake in it, in the order of its lines. Mistakes of meaning are looked for once there is none
    /// against the schema.
    pub fn parse(text: &str) -> Result<Config, Vec<Problem>> {
        let document = document::parse(text).map_err(|problem| vec![problem])?;
        let problems = Schema::published().judge_node(&document);
        if !problems.is_empty() {
            return Err(problems);
        }
        let raw: raw::Gaparch = quick_xml::de::from_str(text).map_err(|e| {
            // The schema took it: what is left is for the reader of values alone.
            vec![Problem { line: document.line, place: "settings".to_owned(), message: e.to_string() }]
        })?;
        let mut check = check::Check::new(&document);
        let config = check.run(raw);
        match (config, check.into_problems()) {
            (Some(config), problems) if problems.is_empty() => Ok(config),
            (_, problems) => Err(problems),
        }
    }
}

pub(crate) fn module_settings(raw: &raw::Gaparch, names: &Names) -> Settings {
    let (attempts, rules) = (&raw.attempts, &raw.rules);
    Settings {
        seed: raw.router.seed,
        router_index: raw.router.number as u32,
        router_count: raw.router.routers,
        zone: raw.router.zone.as_deref().and_then(|z| names.zone(z)),
        classes: raw.classes.class.iter().map(class).collect(),
        tenants: raw.tenants.iter().flat_map(|t| &t.tenant).map(tenant).collect(),
        over_quota_priority_weight: raw.tenants.as_ref().map_or(1.0, |t| t.over_share_worth),
        kinds: raw.kinds.kind.iter().map(server_kind).collect(),
        decode_workers_can_prefill: attempts.self_prefill,
        can_reserve: true,
        can_resume: false,
        kv_release_within: rules.release_within.0,
        poll_endpoints: raw.list.as_ref().is_some_and(|l| l.mode == raw::Mode::Ask),
        endpoint_poll_interval: raw.list.as_ref().map_or(0, |l| l.ask_within.0),
        can_cancel: attempts.cancel,
        can_probe: attempts.probes,
        can_gossip: false,
        can_hedge: false,
        can_send_retry_after: attempts.retry_after,
        max_retry_after: attempts.max_retry_after.0,
        max_attempts: attempts.most,
        connect_timeout: attempts.connect_timeout.0,
        drain_grace: rules.drain_grace.0,
        slow_start_speed: rules.cold_from,
        slow_start_duration: rules.cold.0,
        overload_factor: rules.fall_multiple,
        overload_window: rules.fall.0,
        answer_grace: rules.answer_slack.0,
        step: 0,
        probe_cost: attempts.probe_price,
        gossip_cost: 0.0,
    }
}

fn class(raw: &raw::Class) -> TrafficClass {
    TrafficClass {
        idempotency: match raw.effect {
            raw::Effect::Safe => Idempotency::Idempotent,
            raw::Effect::Keyed => Idempotency::WithKey,
            raw::Effect::Unsafe => Idempotency::NotIdempotent,
        },
        deduplication_scope: match raw.group {
            raw::Group::All => DeduplicationScope::All,
            raw::Group::Zone => DeduplicationScope::Zone,
            raw::Group::Rack => DeduplicationScope::Cell,
        },
        deduplication_window: raw.window.0,
        latency_objective: raw.aim.0,
        latency_objective_per_prompt_token: raw.aim_per_1000_tokens.0 as f64 / 1000.0,
        deadline: raw.deadline.0,
        token_latency_objective: raw.token_aim.0,
        priority_weight: raw.worth,
        late_priority_weight: raw.late_worth,
        streamed: true,
    }
}

fn tenant(raw: &raw::Tenant) -> Tenant {
    Tenant { quota_share: raw.share, quota_per_second: raw.requests_per_second }
}

fn server_kind(kind: &raw::Kind) -> ServerKind {
    ServerKind { role: Some(role(kind.role)), kv_capacity_tokens: f64::from(kind.memory_tokens) }
}

fn role(raw: raw::Role) -> Role {
    match raw {
        raw::Role::Read => Role::Prefill,
        raw::Role::Write => Role::Decode,
        raw::Role::Both => Role::Mixed,
    }
}
