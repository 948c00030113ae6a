//! The endpoints as this router knows them, from the settings, the list service and the engines' hellos. It
//! owns what is listed of each engine and when its process started.

use super::wire_names::{engine_state, server_state};
use super::{kv_cache_location, load_values, Counters};
use gaparch_config::{server_id, Config, Links};
use gaparch_ops::{effective_state, OrderRegistry};
use gaparch_protocol::engine::{EngineFacts, KvCacheLocation};
use gaparch_protocol::list::{ListEntry, Scope};
use gaparch_scheduler::api::{
    CellId, Endpoint, EndpointUpdate, Nanos, Role, ServerId, ServerState, Settings, ZoneId,
};
use gaparch_scheduler::policy::process_start::{self, ListedStart};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One update of the list service.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// Whether the entries are the full list or a change of it.
    pub scope: Scope,
    /// Grows with each change.
    pub version: u64,
    /// The version that changes are counted from.
    pub base_version: u64,
    /// The entries that the update names.
    pub entries: Vec<ListEntry>,
}

/// Endpoints that are known at once; more are ignored and counted. Those of a list that replaces another
/// count beside those of the old one until these are forgotten. The shells bound a list itself, by the memory
/// that they may use.
const MAX_ENDPOINTS: usize = 1 << 16;
/// A process that says it began further in the future than this, in nanoseconds, has a wrong clock.
const MAX_CLOCK_SKEW: Nanos = 3_600_000_000_000;

#[derive(Clone, Debug)]
pub(super) struct KnownEndpoint {
    pub listed: ListEntry,
    pub address: SocketAddr,
    /// What the scheduler is told, with the orders of operators applied.
    pub endpoint: Endpoint,
    /// The start of its process as it says itself, by its own clock.
    reported_start: Option<u64>,
    /// When it was last known not to be reachable, by the clock here; one that a change of the list added was
    /// not there until then.
    unreachable_at: Nanos,
}

/// A list entry with the start of its process by the clock here; `None`: long ago, or not listed.
struct EndpointWithStart {
    listed: ListEntry,
    started_at: Option<Nanos>,
    /// It comes with a change of the list, and not with a full list.
    is_addition: bool,
}

/// The state by the list and by the orders of operators together.
fn ordered_state(listed: &ListEntry, orders: &OrderRegistry) -> ServerState {
    let mode = orders.drain(&listed.engine).map(|drain| drain.mode);
    server_state(effective_state(mode, engine_state(listed.state)))
}

/// Why an engine that was connected to is not the one that is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EngineMismatch {
    NotListed,
    OtherName,
    OtherRole,
}

impl EngineMismatch {
    /// The reason for which its connection is closed.
    pub fn reason(self) -> &'static str {
        match self {
            EngineMismatch::NotListed => "an engine that is not listed",
            EngineMismatch::OtherName => "an engine of another name than listed",
            EngineMismatch::OtherRole => "an engine of another role than listed",
        }
    }
}

/// The endpoints by their server id.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointTable {
    known: BTreeMap<ServerId, KnownEndpoint>,
    version: Option<u64>,
}

impl EndpointTable {
    /// Loads the engines of the settings.
    pub fn load_settings(&mut self, config: &Config, orders: &OrderRegistry, now: Nanos) -> Vec<Endpoint> {
        let mut counters = Counters::default();
        for engine in &config.engines {
            let listed = ListEntry {
                engine: engine.name.clone(),
                address: engine.address.to_string(),
                kind: engine.kind.clone(),
                zone: engine.zone.clone(),
                rack: engine.rack.clone(),
                state: engine.state,
                weight: engine.weight,
                started_at: None,
            };
            self.insert(
                EndpointWithStart { listed, started_at: None, is_addition: false },
                config,
                orders,
                now,
                &mut counters,
            );
        }
        self.known.values().map(|known| known.endpoint.clone()).collect()
    }

    /// Applies an update; what the scheduler is to be told, or `None` if a change before it was missed.
    pub fn apply_update(
        &mut self,
        update: ListUpdate,
        config: &Config,
        orders: &OrderRegistry,
        now: Nanos,
        counters: &mut Counters,
    ) -> Option<(EndpointUpdate, Vec<Endpoint>)> {
        let is_delta = update.scope == Scope::Delta;
        if is_delta && self.version != Some(update.base_version) {
            // A version that is known already says nothing new.
            let is_known = self.version.is_some_and(|version| update.version <= version);
            return is_known.then_some((EndpointUpdate::Delta, Vec::new()));
        }
        self.version = Some(update.version);
        if !is_delta {
            // What a full list does not name is removed.
            for known in self.known.values_mut() {
                known.listed.state = ServerState::Removed;
                known.endpoint.state = ServerState::Removed;
            }
        }
        let mut entries = Vec::new();
        for entry in self.resolve_start_times(update.entries, !is_delta, config, now) {
            entries.extend(self.insert(entry, config, orders, now, counters));
        }
        let kind = if is_delta { EndpointUpdate::Delta } else { EndpointUpdate::Full };
        Some((kind, entries))
    }

    /// An operator has changed the state of an engine; what the scheduler is to be told, if the engine is
    /// known.
    pub fn apply_operator_hold(&mut self, engine: &str, orders: &OrderRegistry) -> Option<Endpoint> {
        let known = self.known.get_mut(&server_id(engine)).filter(|known| known.listed.engine == engine)?;
        known.endpoint.state = ordered_state(&known.listed, orders);
        Some(known.endpoint.clone())
    }

    /// All endpoints, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, &KnownEndpoint)> {
        self.known.iter()
    }

    /// The name of an engine; empty if it is not known.
    pub fn name(&self, server: ServerId) -> &str {
        self.known.get(&server).map_or("", |known| known.listed.engine.as_str())
    }

    /// Places the listed start times on the clock here. One that was listed before stays where it was placed
    /// then; another one is another process, which began after the last.
    fn resolve_start_times(
        &self,
        entries: Vec<ListEntry>,
        is_full_list: bool,
        config: &Config,
        now: Nanos,
    ) -> Vec<EndpointWithStart> {
        let starts: Vec<ListedStart> =
            entries.iter().map(|listed| self.listed_start(listed, config)).collect();
        let resolved = if is_full_list {
            process_start::starts_of_full_list(now, config.module.slow_start_duration, &starts)
        } else {
            process_start::starts_of_delta(now, &starts)
        };
        let mut endpoints = Vec::with_capacity(entries.len());
        for ((listed, start), resolved) in entries.into_iter().zip(starts).zip(resolved) {
            let started_at = self.after_last_process(&listed, &start, resolved);
            endpoints.push(EndpointWithStart { listed, started_at, is_addition: !is_full_list });
        }
        endpoints
    }

    /// The entry that is known under the same name.
    fn known_as(&self, listed: &ListEntry) -> Option<&KnownEndpoint> {
        let known = self.known.get(&server_id(&listed.engine))?;
        (known.listed.engine == listed.engine).then_some(known)
    }

    fn listed_start(&self, listed: &ListEntry, config: &Config) -> ListedStart {
        let same_process = self.known_as(listed).filter(|known| known.listed.started_at == listed.started_at);
        ListedStart {
            kind: config.names.kind(&listed.kind),
            listed: listed.started_at,
            known: same_process.and_then(|known| known.endpoint.started_at),
        }
    }

    /// A start time that is not before that of the last process under the same name.
    fn after_last_process(
        &self,
        listed: &ListEntry,
        start: &ListedStart,
        started_at: Option<Nanos>,
    ) -> Option<Nanos> {
        let known = self.known_as(listed).filter(|_| start.known.is_none());
        let last = known.and_then(|known| known.endpoint.started_at);
        match (started_at, last) {
            (Some(started_at), Some(last)) => Some(started_at.max(last + 1)),
            (started_at, last) => started_at.or(last),
        }
    }

    /// Adds or replaces an entry; what the scheduler is told of it, unless it can't be used.
    fn insert(
        &mut self,
        entry: EndpointWithStart,
        config: &Config,
        orders: &OrderRegistry,
        now: Nanos,
        counters: &mut Counters,
    ) -> Option<Endpoint> {
        let EndpointWithStart { listed, started_at, is_addition } = entry;
        let server = server_id(&listed.engine);
        let kind = config.names.kind(&listed.kind);
        // An engine that is connected to says its role itself; one of an unknown kind that is not may be used
        // for anything.
        let is_unknown = kind.is_none() && config.links == Links::Connections;
        let known = self.known.get(&server);
        let is_hash_collision = known.is_some_and(|known| known.listed.engine != listed.engine);
        let is_full = known.is_none() && self.known.len() >= MAX_ENDPOINTS;
        let is_usable = !is_unknown && !is_hash_collision && !is_full;
        let Some(address) = listed.address.parse().ok().filter(|_| is_usable) else {
            counters.ignored_entries += 1;
            return None;
        };
        let weight = listed.weight.filter(|weight| load_values::is_valid(*weight) && *weight > 0.0);
        let is_ahead = |at: u64| at > now.saturating_add(MAX_CLOCK_SKEW);
        counters.ignored_values += u64::from(weight.is_none() && listed.weight.is_some());
        counters.ignored_values += u64::from(listed.started_at.is_some_and(is_ahead));
        let first_seen_at = if is_addition { now } else { 0 };
        let reported_start = known.and_then(|known| known.reported_start);
        let unreachable_at = known.map_or(first_seen_at, |known| known.unreachable_at);
        let endpoint = Endpoint {
            server,
            zone: config.names.zone(&listed.zone),
            kind,
            cell: config.names.cell(&listed.zone, &listed.rack),
            state: ordered_state(&listed, orders),
            weight,
            started_at,
        };
        let known =
            KnownEndpoint { listed, address, endpoint: endpoint.clone(), reported_start, unreachable_at };
        self.known.insert(server, known);
        Some(endpoint)
    }

    /// An engine can't be reached now.
    pub fn mark_unreachable(&mut self, server: ServerId, now: Nanos) {
        if let Some(known) = self.known.get_mut(&server) {
            known.unreachable_at = now;
        }
    }

    /// An engine has said when it started; what the scheduler is to be told, if that is news.
    ///
    /// Its clock is another machine's, and may be hours off: a process that speaks has begun by now, and one
    /// that was not there before began after the time at which it was not. Taken as it stands, a start by a
    /// clock behind ours would end a slow start too early, and one by a clock ahead of ours would prolong it.
    pub fn on_reported_start(
        &mut self,
        server: ServerId,
        at: u64,
        now: Nanos,
        counters: &mut Counters,
    ) -> Option<Endpoint> {
        let known = self.known.get_mut(&server)?;
        counters.ignored_values += u64::from(at > now.saturating_add(MAX_CLOCK_SKEW));
        if known.reported_start.replace(at) == Some(at) {
            return None;
        }
        let began = at.min(now).max(known.unreachable_at);
        if known.endpoint.started_at.is_some_and(|ready| ready >= began) {
            return None;
        }
        known.endpoint.started_at = Some(began);
        Some(known.endpoint.clone())
    }

    /// Whether an engine is what the list says it is.
    pub fn check_facts(
        &self,
        server: ServerId,
        facts: &EngineFacts,
        config: &Config,
    ) -> Result<(), EngineMismatch> {
        let Some(known) = self.known.get(&server) else { return Err(EngineMismatch::NotListed) };
        if facts.name != known.listed.engine {
            return Err(EngineMismatch::OtherName);
        }
        match known.endpoint.kind.and_then(|kind| config.module.kind(Some(kind))) {
            Some((role, _)) if role == facts.role => Ok(()),
            _ => Err(EngineMismatch::OtherRole),
        }
    }

    /// Forgets the removed endpoints that are not in use.
    pub fn forget_removed(&mut self, is_in_use: impl Fn(ServerId) -> bool) {
        self.known.retain(|id, known| known.endpoint.state != ServerState::Removed || is_in_use(*id));
    }

    /// All endpoints that are not removed.
    pub fn present(&self) -> Vec<ServerId> {
        self.known
            .iter()
            .filter(|(_, known)| known.endpoint.state != ServerState::Removed)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether an engine is listed and not removed.
    pub fn is_present(&self, server: ServerId) -> bool {
        self.known.get(&server).is_some_and(|known| known.endpoint.state != ServerState::Removed)
    }

    /// Whether an engine may be sent new requests.
    pub fn is_ready(&self, server: ServerId) -> bool {
        self.known.get(&server).is_some_and(|known| known.endpoint.state == ServerState::Ready)
    }

    /// The role of an engine by its kind.
    pub fn role(&self, server: ServerId, settings: &Settings) -> Option<Role> {
        self.known.get(&server).and_then(|known| Some(settings.kind(known.endpoint.kind)?.0))
    }

    /// The zone and the cell in which an engine is listed.
    pub fn location(&self, server: ServerId) -> (Option<ZoneId>, Option<CellId>) {
        self.known.get(&server).map_or((None, None), |known| (known.endpoint.zone, known.endpoint.cell))
    }

    /// The name and the address of an engine that is to be connected to.
    pub fn connect_target(&self, server: ServerId) -> Option<(String, String)> {
        let known = self.known.get(&server).filter(|known| known.endpoint.state != ServerState::Removed)?;
        Some((known.listed.engine.clone(), known.listed.address.clone()))
    }

    /// The address of an engine, and when its process started; 0: long ago.
    pub fn process(&self, server: ServerId) -> Option<(SocketAddr, Nanos)> {
        self.known.get(&server).map(|known| (known.address, known.endpoint.started_at.unwrap_or(0)))
    }

    /// Where a decode worker fetches a KV cache of this engine from.
    pub fn kv_source(&self, server: ServerId) -> Option<KvCacheLocation> {
        self.known.get(&server).map(|known| kv_cache_location(&known.listed.engine, &known.listed.address))
    }
}
