//! Tests with lists of 10,000 engines: duplicate entries, names with the same hash, series of deltas.

use gaparch_config::{server_id, Config, Links, EXAMPLE};
use gaparch_ops::OrderRegistry;
use gaparch_protocol::engine::RouterRun;
use gaparch_protocol::list::{ListEntry, Scope};
use gaparch_router::core::{Core, Input, ListUpdate, Output};
use gaparch_scheduler::api::{Nanos, ServerId, ServerState};
use std::collections::{BTreeSet, HashMap};

const NOW: Nanos = 1_000_000_000_000;
const ENGINES: usize = 10_000;

struct TestRouter {
    core: Core,
    version: u64,
}

impl TestRouter {
    fn new() -> TestRouter {
        let mut config = Config::parse(EXAMPLE).expect("valid settings");
        (config.links, config.engines, config.list) = (Links::Exchanges, Vec::new(), None);
        let core = Core::new(config, OrderRegistry::default(), RouterRun(1), NOW, &mut Vec::new());
        TestRouter { core, version: 0 }
    }

    fn update_list(&mut self, scope: Scope, entries: Vec<ListEntry>) -> Vec<Output> {
        let (base_version, version) = (self.version, self.version + 1);
        self.version = version;
        let mut out = Vec::new();
        let update = ListUpdate { scope, version, base_version, entries };
        self.core.handle(NOW, Input::ListUpdated(update), &mut out);
        out
    }

    fn listed(&self) -> BTreeSet<ServerId> {
        self.core.listed_engines().collect()
    }
}

fn entry(name: &str, state: ServerState) -> ListEntry {
    ListEntry {
        engine: name.to_owned(),
        address: "127.0.0.1:9".to_owned(),
        kind: "writer".to_owned(),
        zone: "north".to_owned(),
        rack: "1".to_owned(),
        state,
        weight: None,
        started_at: None,
    }
}

fn names() -> impl Iterator<Item = String> {
    (0..).map(|number| format!("w-{number}"))
}

/// Two names with the same id.
fn names_with_the_same_id() -> (String, String) {
    let mut seen: HashMap<ServerId, String> = HashMap::new();
    for name in names() {
        if let Some(first) = seen.insert(server_id(&name), name.clone()) {
            return (first, name);
        }
    }
    unreachable!("there are more names than ids")
}

/// 10,000 names with different ids.
fn distinct_names() -> Vec<String> {
    let mut ids = BTreeSet::new();
    names().filter(|name| ids.insert(server_id(name))).take(ENGINES).collect()
}

#[test]
fn of_two_engines_with_the_same_id_the_first_is_kept_and_the_second_is_counted_as_ignored() {
    let (first, second) = names_with_the_same_id();
    let mut router = TestRouter::new();
    router.update_list(
        Scope::Full,
        vec![entry(&first, ServerState::Ready), entry(&second, ServerState::Ready)],
    );
    assert_eq!(router.listed().len(), 1);
    assert_eq!(router.core.counters().ignored_entries, 1);
    // An entry for the second does not affect the first.
    router.update_list(Scope::Delta, vec![entry(&second, ServerState::Removed)]);
    assert_eq!(router.listed().len(), 1);
    assert_eq!(router.core.counters().ignored_entries, 2);
}

#[test]
fn duplicate_entries_in_a_list_are_harmless() {
    let names = distinct_names();
    let list =
        |names: &[String]| names.iter().map(|name| entry(name, ServerState::Ready)).collect::<Vec<_>>();
    let mut router = TestRouter::new();
    router.update_list(Scope::Full, [list(&names), list(&names)].concat());
    assert_eq!(router.listed().len(), ENGINES);
    assert_eq!(router.core.counters().ignored_entries, 0);
}

/// A delta affects only the engines that it names; a series of them results in what a full list would.
#[test]
fn a_series_of_deltas_results_in_the_same_engines_as_a_full_list() {
    let names = distinct_names();
    let mut router = TestRouter::new();
    router.update_list(Scope::Full, names.iter().map(|name| entry(name, ServerState::Ready)).collect());
    for name in names.iter().step_by(100) {
        router.update_list(Scope::Delta, vec![entry(name, ServerState::Removed)]);
    }
    let remaining: BTreeSet<ServerId> = names
        .iter()
        .enumerate()
        .filter(|(index, _)| index % 100 != 0)
        .map(|(_, name)| server_id(name))
        .collect();
    assert_eq!(router.listed(), remaining);
    // The removed engines are added again under their old names.
    let added = names.iter().step_by(100).map(|name| entry(name, ServerState::Ready)).collect();
    router.update_list(Scope::Delta, added);
    assert_eq!(router.listed().len(), ENGINES);
}

/// A list that replaces every engine at once is accepted in full: the removed engines don't count against its
/// limit.
#[test]
fn a_full_list_may_replace_every_engine_at_once() {
    let names = distinct_names();
    let mut ids: BTreeSet<ServerId> = names.iter().map(|name| server_id(name)).collect();
    let others = (0..).map(|number| format!("v-{number}")).filter(|name| ids.insert(server_id(name)));
    let others: Vec<ListEntry> = others.take(ENGINES).map(|name| entry(&name, ServerState::Ready)).collect();
    let mut router = TestRouter::new();
    router.update_list(Scope::Full, names.iter().map(|name| entry(name, ServerState::Ready)).collect());
    router.update_list(Scope::Full, others);
    assert_eq!(router.listed().len(), ENGINES);
    assert_eq!(router.core.counters().ignored_entries, 0);
}
