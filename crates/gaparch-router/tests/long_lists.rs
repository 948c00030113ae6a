//! Lists of ten thousand engines: doubled entries, names that hash alike, changes one after the other.

use gaparch_config::{server_id, Config, Links, EXAMPLE};
use gaparch_ops::OrderRegistry;
use gaparch_protocol::engine::RouterRun;
use gaparch_protocol::list::{ListEntry, Scope};
use gaparch_router::core::{Core, Input, ListUpdate, Output};
use gaparch_scheduler::api::{Nanos, ServerId, ServerState};
use std::collections::{BTreeSet, HashMap};

const NOW: Nanos = 1_000_000_000_000;
const ENGINES: usize = 10_000;

struct Bench {
    core: Core,
    version: u64,
}

impl Bench {
    fn new() -> Bench {
        let mut config = Config::parse(EXAMPLE).expect("sound");
        (config.links, config.engines, config.list) = (Links::Exchanges, Vec::new(), None);
        let core = Core::new(config, OrderRegistry::default(), RouterRun(1), NOW, &mut Vec::new());
        Bench { core, version: 0 }
    }

    fn tell(&mut self, scope: Scope, entries: Vec<ListEntry>) -> Vec<Output> {
        let (after, version) = (self.version, self.version + 1);
        self.version = version;
        let mut out = Vec::new();
        let update = ListUpdate { scope, version, base_version: after, entries };
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

/// Two names of one id.
fn names_that_hash_alike() -> (String, String) {
    let mut seen: HashMap<ServerId, String> = HashMap::new();
    for name in names() {
        if let Some(first) = seen.insert(server_id(&name), name.clone()) {
            return (first, name);
        }
    }
    unreachable!("there are more names than ids")
}

/// Ten thousand names none of which shares its id.
fn distinct_names() -> Vec<String> {
    let mut ids = BTreeSet::new();
    names().filter(|name| ids.insert(server_id(name))).take(ENGINES).collect()
}

#[test]
fn of_two_engines_whose_names_hash_alike_the_first_stays_and_the_second_is_counted() {
    let (first, second) = names_that_hash_alike();
    let mut bench = Bench::new();
    bench.tell(Scope::Full, vec![entry(&first, ServerState::Ready), entry(&second, ServerState::Ready)]);
    assert_eq!(bench.listed().len(), 1);
    assert_eq!(bench.core.counters().ignored_entries, 1);
    // What is said of the second does not touch the first.
    bench.tell(Scope::Delta, vec![entry(&second, ServerState::Removed)]);
    assert_eq!(bench.listed().len(), 1);
    assert_eq!(bench.core.counters().ignored_entries, 2);
}

#[test]
fn a_list_in_which_each_entry_stands_twice_is_that_list() {
    let names = distinct_names();
    let list =
        |names: &[String]| names.iter().map(|name| entry(name, ServerState::Ready)).collect::<Vec<_>>();
    let mut bench = Bench::new();
    bench.tell(Scope::Full, [list(&names), list(&names)].concat());
    assert_eq!(bench.listed().len(), ENGINES);
    assert_eq!(bench.core.counters().ignored_entries, 0);
}

/// A change deals with what it names; what has come of many of them is what a whole list would say.
#[test]
fn changes_one_after_the_other_come_to_what_a_whole_list_says() {
    let names = distinct_names();
    let mut bench = Bench::new();
    bench.tell(Scope::Full, names.iter().map(|name| entry(name, ServerState::Ready)).collect());
    for name in names.iter().step_by(100) {
        bench.tell(Scope::Delta, vec![entry(name, ServerState::Removed)]);
    }
    let left: BTreeSet<ServerId> =
        names.iter().enumerate().filter(|(at, _)| at % 100 != 0).map(|(_, name)| server_id(name)).collect();
    assert_eq!(bench.listed(), left);
    // They come back under their old names.
    let back = names.iter().step_by(100).map(|name| entry(name, ServerState::Ready)).collect();
    bench.tell(Scope::Delta, back);
    assert_eq!(bench.listed().len(), ENGINES);
}

/// A list that replaces every engine at once is taken whole: those that are gone don't count against it.
#[test]
fn a_list_may_replace_every_engine_at_once() {
    let names = distinct_names();
    let mut ids: BTreeSet<ServerId> = names.iter().map(|name| server_id(name)).collect();
    let others = (0..).map(|number| format!("v-{number}")).filter(|name| ids.insert(server_id(name)));
    let others: Vec<ListEntry> = others.take(ENGINES).map(|name| entry(&name, ServerState::Ready)).collect();
    let mut bench = Bench::new();
    bench.tell(Scope::Full, names.iter().map(|name| entry(name, ServerState::Ready)).collect());
    bench.tell(Scope::Full, others);
    assert_eq!(bench.listed().len(), ENGINES);
    assert_eq!(bench.core.counters().ignored_entries, 0);
}
