//! The list of engines as this router knows it, from the settings, the list service and the engines' hellos.

use super::{kv_cache_location, load_values, Counters};
use crate::core::operate::{listed_state, server_state};
use gaparch_config::{server_id, Config, Links};
use gaparch_ops::effective_state;
use gaparch_ops::OrderRegistry;
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
    pub scope: Scope,
    /// Grows with each change.
    pub version: u64,
    /// The version that changes are counted from.
    pub base_version: u64,
    pub entries: Vec<ListEntry>,
}

/// Engines that are known at once; more are dropped and counted. Those of a list that replaces another count beside
/// those of the old one until these are forgotten. The shells bound a list itself, by the memory that they may use.
const MAX_ENDPOINTS: usize = 1 << 16;
/// A process that says that it began further in the future than this has a clock that is off.
const MAX_CLOCK_SKEW: Nanos = 3_600_000_000_000;

#[derive(Clone, Debug)]
pub(super) struct KnownEndpoint {
    pub listed: ListEntry,
    pub address: SocketAddr,
    /// As the module is told: with the operators' word.
    pub endpoint: Endpoint,
    /// What its process says of its start, by its own clock.
    reported_start: Option<u64>,
    /// When it was last not there, or could not be reached, by the clock here: where a change of the list first named it,
    /// until then.
    unreachable_at: Nanos,
}

/// An entry of a list with when its process began, by the clock here; `None`: long ago, or not told.
struct EndpointWithStart {
    listed: ListEntry,
    started_at: Option<Nanos>,
    /// A change of the list names it.
    is_addition: bool,
}

/// What the list and the operators say together.
fn ordered_state(listed: &ListEntry, book: &OrderRegistry) -> ServerState {
    let mode = book.drain(&listed.engine).map(|drain| drain.mode);
    server_state(effective_state(mode, listed_state(listed.state)))
}

#[derive(Clone, Debug, Default)]
pub(super) struct EndpointTable {
    known: BTreeMap<ServerId, KnownEndpoint>,
    version: Option<u64>,
}

impl EndpointTable {
    pub fn load_settings(&mut self, config: &Config, book: &OrderRegistry, now: Nanos) -> Vec<Endpoint> {
        let mut counts = Counters::default();
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
                book,
                now,
                &mut counts,
            );
        }
        self.known.values().map(|k| k.endpoint.clone()).collect()
    }

    /// What the module is to be told; `None` where a change was missed.
    pub fn apply_update(
        &mut self,
        update: ListUpdate,
        config: &Config,
        book: &OrderRegistry,
        now: Nanos,
        counts: &mut Counters,
    ) -> Option<(EndpointUpdate, Vec<Endpoint>)> {
        let delta = update.scope == Scope::Delta;
        if delta && self.version != Some(update.base_version) {
            // One that is known already says nothing new.
            let stale = self.version.is_some_and(|v| update.version <= v);
            return stale.then_some((EndpointUpdate::Delta, Vec::new()));
        }
        self.version = Some(update.version);
        if !delta {
            // What a whole list does not name is gone.
            for known in self.known.values_mut() {
                (known.listed.state, known.endpoint.state) = (ServerState::Removed, ServerState::Removed);
            }
        }
        let mut entries = Vec::new();
        for timed in self.resolve_start_times(update.entries, !delta, config, now) {
            entries.extend(self.insert(timed, config, book, now, counts));
        }
        Some((if delta { EndpointUpdate::Delta } else { EndpointUpdate::Full }, entries))
    }

    /// An operator has changed his word on an engine; the entry to tell of, if the engine is known.
    pub fn apply_operator_hold(&mut self, engine: &str, book: &OrderRegistry) -> Option<Endpoint> {
        let known = self.known.get_mut(&server_id(engine)).filter(|k| k.listed.engine == engine)?;
        known.endpoint.state = ordered_state(&known.listed, book);
        Some(known.endpoint.clone())
    }

    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, &KnownEndpoint)> {
        self.known.iter()
    }

    pub fn name(&self, server: ServerId) -> &str {
        self.known.get(&server).map_or("", |k| k.listed.engine.as_str())
    }

    /// Places the told starts on the clock here. One that was told before stays where it was placed then; another one
    /// is another process, which began after the last.
    fn resolve_start_times(
        &self,
        entries: Vec<ListEntry>,
        whole: bool,
        config: &Config,
        now: Nanos,
    ) -> Vec<EndpointWithStart> {
        let before = |listed: &ListEntry| {
            self.known.get(&server_id(&listed.engine)).filter(|known| known.listed.engine == listed.engine)
        };
        let start = |listed: &ListEntry| ListedStart {
            kind: config.names.kind(&listed.kind),
            listed: listed.started_at,
            known: before(listed)
                .filter(|known| known.listed.started_at == listed.started_at)
                .and_then(|known| known.endpoint.started_at),
        };
        let starts: Vec<ListedStart> = entries.iter().map(start).collect();
        let began = match whole {
            true => process_start::starts_of_full_list(now, config.module.slow_start_duration, &starts),
            false => process_start::starts_of_delta(now, &starts),
        };
        let after_the_last = |listed: &ListEntry, start: &ListedStart, began: Option<Nanos>| {
            let last =
                before(listed).filter(|_| start.known.is_none()).and_then(|known| known.endpoint.started_at);
            began.map(|began| last.map_or(began, |last| began.max(last + 1))).or(last)
        };
        let entries = entries.into_iter().zip(starts).zip(began);
        entries
            .map(|((listed, start), began)| {
                let began = after_the_last(&listed, &start, began);
                EndpointWithStart { listed, started_at: began, is_addition: !whole }
            })
            .collect()
    }

    fn insert(
        &mut self,
        EndpointWithStart { listed, started_at: began, is_addition: joins }: EndpointWithStart,
        config: &Config,
        book: &OrderRegistry,
        now: Nanos,
        counts: &mut Counters,
    ) -> Option<Endpoint> {
        let server = server_id(&listed.engine);
        let kind = config.names.kind(&listed.kind);
        // An engine says itself what it is; without a word from it, one of an unknown kind may be asked for all.
        let unknown = kind.is_none() && config.links == Links::Connections;
        let known = self.known.get(&server);
        let other = known.is_some_and(|k| k.listed.engine != listed.engine);
        let full = known.is_none() && self.known.len() >= MAX_ENDPOINTS;
        let Some(address) = listed.address.parse().ok().filter(|_| !unknown && !other && !full) else {
            counts.ignored_entries += 1;
            return None;
        };
        let weight = listed.weight.filter(|w| load_values::is_valid(*w) && *w > 0.0);
        counts.ignored_values += u64::from(weight.is_none() && listed.weight.is_some());
        counts.ignored_values +=
            u64::from(listed.started_at.is_some_and(|at| at > now.saturating_add(MAX_CLOCK_SKEW)));
        let (said, away_at) =
            known.map_or((None, if joins { now } else { 0 }), |k| (k.reported_start, k.unreachable_at));
        let entry = Endpoint {
            server,
            zone: config.names.zone(&listed.zone),
            kind,
            cell: config.names.cell(&listed.zone, &listed.rack),
            state: ordered_state(&listed, book),
            weight,
            started_at: began,
        };
        self.known.insert(
            server,
            KnownEndpoint {
                listed,
                address,
                endpoint: entry.clone(),
                reported_start: said,
                unreachable_at: away_at,
            },
        );
        Some(entry)
    }

    /// Nothing answers there now.
    pub fn mark_unreachable(&mut self, server: ServerId, now: Nanos) {
        self.known.get_mut(&server).into_iter().for_each(|k| k.unreachable_at = now);
    }

    /// An engine has said when it started; the entry to tell of, if that is news.
    ///
    /// Its clock is another machine's, and may be hours off: a process that speaks has begun by now, and one that was
    /// not there before began after the time at which it was not. Believed as it stands, a start told by a clock behind
    /// ours makes a cold engine look warm, and one ahead of ours keeps it cold.
    pub fn on_reported_start(
        &mut self,
        server: ServerId,
        at: u64,
        now: Nanos,
        counts: &mut Counters,
    ) -> Option<Endpoint> {
        let known = self.known.get_mut(&server)?;
        counts.ignored_values += u64::from(at > now.saturating_add(MAX_CLOCK_SKEW));
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
    ) -> Result<(), &'static str> {
        let Some(known) = self.known.get(&server) else { return Err("an engine that is not listed") };
        if facts.name != known.listed.engine {
            return Err("an engine of another name than listed");
        }
        match known.endpoint.kind.and_then(|k| config.module.kind(Some(k))) {
            Some((role, _)) if role == facts.role => Ok(()),
            _ => Err("an engine of another role than listed"),
        }
    }

    /// Drops those that are gone and of which nothing is kept elsewhere.
    pub fn forget_removed(&mut self, kept: impl Fn(ServerId) -> bool) {
        self.known.retain(|id, known| known.endpoint.state != ServerState::Removed || kept(*id));
    }

    pub fn present(&self) -> Vec<ServerId> {
        self.known
            .iter()
            .filter(|(_, k)| k.endpoint.state != ServerState::Removed)
            .map(|(id, _)| *id)
            .collect()
    }

    /// It is to be connected to.
    pub fn is_present(&self, server: ServerId) -> bool {
        self.known.get(&server).is_some_and(|k| k.endpoint.state != ServerState::Removed)
    }

    pub fn is_ready(&self, server: ServerId) -> bool {
        self.known.get(&server).is_some_and(|k| k.endpoint.state == ServerState::Ready)
    }

    pub fn role(&self, server: ServerId, settings: &Settings) -> Option<Role> {
        self.known.get(&server).and_then(|k| Some(settings.kind(k.endpoint.kind)?.0))
    }

    /// The zone and the cell that an engine is listed in.
    pub fn location(&self, server: ServerId) -> (Option<ZoneId>, Option<CellId>) {
        self.known.get(&server).map_or((None, None), |k| (k.endpoint.zone, k.endpoint.cell))
    }

    pub fn connect_target(&self, server: ServerId) -> Option<(String, String)> {
        let known = self.known.get(&server).filter(|k| k.endpoint.state != ServerState::Removed)?;
        Some((known.listed.engine.clone(), known.listed.address.clone()))
    }

    /// Where an engine is, and when its process began; 0: long ago.
    pub fn process(&self, server: ServerId) -> Option<(SocketAddr, Nanos)> {
        self.known.get(&server).map(|k| (k.address, k.endpoint.started_at.unwrap_or(0)))
    }

    pub fn kv_source(&self, server: ServerId) -> Option<KvCacheLocation> {
        self.known.get(&server).map(|k| kv_cache_location(&k.listed.engine, &k.listed.address))
    }
}
