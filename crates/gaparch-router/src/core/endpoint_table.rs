//! The endpoints known to this router from the settings, the list service and the facts that engines send
//! when they are connected to: the list entry of each engine, and when its process started.

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
    /// Whether the entries are the full list or a delta.
    pub scope: Scope,
    /// The version of the list after this update; it grows with each change.
    pub version: u64,
    /// The version that a delta applies to.
    pub base_version: u64,
    /// The entries in the update.
    pub entries: Vec<ListEntry>,
}

/// The most endpoints that are known at once; further ones are ignored and counted. When one list replaces
/// another, the endpoints of both count until the removed ones are forgotten. The shells limit the list
/// itself, by the memory that they may use.
const MAX_ENDPOINTS: usize = 1 << 16;
/// A start time further in the future than this, in nanoseconds, means that the clock it was read from is
/// wrong.
const MAX_CLOCK_SKEW: Nanos = 3_600_000_000_000;

#[derive(Clone, Debug)]
pub(super) struct KnownEndpoint {
    pub listed: ListEntry,
    pub address: SocketAddr,
    /// The endpoint as the scheduler knows it, with operators' orders applied.
    pub endpoint: Endpoint,
    /// The start of its process as the engine reported it, by the engine's clock.
    reported_start: Option<u64>,
    /// When the engine was last known to be unreachable, by this router's clock. One that a delta added
    /// counts as unreachable until that update.
    unreachable_at: Nanos,
}

/// A list entry with the start of its process by this router's clock; `None`: long ago, or not listed.
struct EndpointWithStart {
    listed: ListEntry,
    started_at: Option<Nanos>,
    /// The entry comes from a delta, not from a full list.
    is_from_delta: bool,
}

/// The state that results from the list and operators' orders.
fn ordered_state(listed: &ListEntry, orders: &OrderRegistry) -> ServerState {
    let mode = orders.drain(&listed.engine).map(|drain| drain.mode);
    server_state(effective_state(mode, engine_state(listed.state)))
}

/// How a connected engine differs from its list entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EngineMismatch {
    NotListed,
    OtherName,
    OtherRole,
}

impl EngineMismatch {
    /// Why its connection is closed, for the engine and the log.
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
                EndpointWithStart { listed, started_at: None, is_from_delta: false },
                config,
                orders,
                now,
                &mut counters,
            );
        }
        self.known.values().map(|known| known.endpoint.clone()).collect()
    }

    /// Applies an update. Returns what the scheduler has to be told, or `None` if an earlier update was
    /// missed.
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
            // An update to a version that is known already brings nothing new.
            let is_known = self.version.is_some_and(|version| update.version <= version);
            return is_known.then_some((EndpointUpdate::Delta, Vec::new()));
        }
        self.version = Some(update.version);
        if !is_delta {
            // Endpoints that are not in a full list are removed.
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

    /// Applies operators' orders to an engine after one of them has changed. Returns what the scheduler has
    /// to be told, if the engine is known.
    pub fn apply_operator_drain(&mut self, engine: &str, orders: &OrderRegistry) -> Option<Endpoint> {
        let known = self.known.get_mut(&server_id(engine)).filter(|known| known.listed.engine == engine)?;
        known.endpoint.state = ordered_state(&known.listed, orders);
        Some(known.endpoint.clone())
    }

    /// All known endpoints, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, &KnownEndpoint)> {
        self.known.iter()
    }

    /// The name of an engine; empty if it is not known.
    pub fn name(&self, server: ServerId) -> &str {
        self.known.get(&server).map_or("", |known| known.listed.engine.as_str())
    }

    /// Converts the listed start times to this router's clock. A start that was listed before keeps the time
    /// that it got then; a different one is a new process, which started after the previous one.
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
            process_start::starts_of_full_list(now, config.scheduler.slow_start_duration, &starts)
        } else {
            process_start::starts_of_delta(now, &starts)
        };
        let mut endpoints = Vec::with_capacity(entries.len());
        for ((listed, start), resolved) in entries.into_iter().zip(starts).zip(resolved) {
            let started_at = self.after_previous_process(&listed, &start, resolved);
            endpoints.push(EndpointWithStart { listed, started_at, is_from_delta: !is_full_list });
        }
        endpoints
    }

    /// The known endpoint of the same name as the entry.
    fn known_by_name(&self, listed: &ListEntry) -> Option<&KnownEndpoint> {
        let known = self.known.get(&server_id(&listed.engine))?;
        (known.listed.engine == listed.engine).then_some(known)
    }

    fn listed_start(&self, listed: &ListEntry, config: &Config) -> ListedStart {
        let same_process =
            self.known_by_name(listed).filter(|known| known.listed.started_at == listed.started_at);
        ListedStart {
            kind: config.names.kind(&listed.kind),
            listed: listed.started_at,
            known: same_process.and_then(|known| known.endpoint.started_at),
        }
    }

    /// The start time of a process, raised where necessary to be later than that of the previous process of
    /// the same name.
    fn after_previous_process(
        &self,
        listed: &ListEntry,
        start: &ListedStart,
        started_at: Option<Nanos>,
    ) -> Option<Nanos> {
        let known = self.known_by_name(listed).filter(|_| start.known.is_none());
        let previous = known.and_then(|known| known.endpoint.started_at);
        match (started_at, previous) {
            (Some(started_at), Some(previous)) => Some(started_at.max(previous + 1)),
            (started_at, previous) => started_at.or(previous),
        }
    }

    /// Adds or replaces an entry. Returns what the scheduler has to be told, or `None` if the entry can't be
    /// used.
    fn insert(
        &mut self,
        entry: EndpointWithStart,
        config: &Config,
        orders: &OrderRegistry,
        now: Nanos,
        counters: &mut Counters,
    ) -> Option<Endpoint> {
        let EndpointWithStart { listed, started_at, is_from_delta } = entry;
        let server = server_id(&listed.engine);
        let kind = config.names.kind(&listed.kind);
        // On a connection the engine reports its role, which has to match that of its kind, so the kind must
        // be known. With single exchanges, the scheduler uses a server of an unknown kind for both stages.
        let is_unknown_kind = kind.is_none() && config.links == Links::Connections;
        let known = self.known.get(&server);
        let is_hash_collision = known.is_some_and(|known| known.listed.engine != listed.engine);
        let is_full = known.is_none() && self.known.len() >= MAX_ENDPOINTS;
        let is_usable = !is_unknown_kind && !is_hash_collision && !is_full;
        let Some(address) = listed.address.parse().ok().filter(|_| is_usable) else {
            counters.ignored_entries += 1;
            return None;
        };
        let weight = listed.weight.filter(|weight| load_values::is_valid(*weight) && *weight > 0.0);
        let is_ahead = |at: u64| at > now.saturating_add(MAX_CLOCK_SKEW);
        counters.ignored_values += u64::from(weight.is_none() && listed.weight.is_some());
        counters.ignored_values += u64::from(listed.started_at.is_some_and(is_ahead));
        let first_seen_at = if is_from_delta { now } else { 0 };
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

    /// Records that an engine is unreachable now.
    pub fn mark_unreachable(&mut self, server: ServerId, now: Nanos) {
        if let Some(known) = self.known.get_mut(&server) {
            known.unreachable_at = now;
        }
    }

    /// Handles the start time that an engine reports. Returns what the scheduler has to be told, if its start
    /// time changes.
    ///
    /// The clock of the engine's machine may be hours off, so the reported time is bounded: a process that
    /// sends something has started by now, and one that was unreachable before started after it was last
    /// known to be. Taken as reported, a start by a clock that is behind this router's would end the slow
    /// start too early, and one by a clock that is ahead would prolong it.
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
        let started_at = at.min(now).max(known.unreachable_at);
        if known.endpoint.started_at.is_some_and(|previous| previous >= started_at) {
            return None;
        }
        known.endpoint.started_at = Some(started_at);
        Some(known.endpoint.clone())
    }

    /// Checks whether an engine's facts match its list entry.
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
        match known.endpoint.kind.and_then(|kind| config.scheduler.kind(Some(kind))) {
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

    /// The name and the address of an engine to connect to; `None` if it is removed.
    pub fn connect_target(&self, server: ServerId) -> Option<(String, String)> {
        let known = self.known.get(&server).filter(|known| known.endpoint.state != ServerState::Removed)?;
        Some((known.listed.engine.clone(), known.listed.address.clone()))
    }

    /// The address of an engine, and when its process started; 0: long ago.
    pub fn process(&self, server: ServerId) -> Option<(SocketAddr, Nanos)> {
        self.known.get(&server).map(|known| (known.address, known.endpoint.started_at.unwrap_or(0)))
    }

    /// The location from which a decode worker fetches a KV cache that this engine holds.
    pub fn kv_source(&self, server: ServerId) -> Option<KvCacheLocation> {
        self.known.get(&server).map(|known| kv_cache_location(&known.listed.engine, &known.listed.address))
    }
}
