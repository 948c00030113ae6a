//! When a listed process began, by the router's own clock: its wall clock may be off by hours, and starts are told by the
//! catalogue's. Slow start goes by the time that has really passed.

use gaparch_config::{server_id, Config, Links, EXAMPLE};
use gaparch_ops::OrderRegistry;
use gaparch_protocol::engine::RouterRun;
use gaparch_protocol::list::{ListEntry, Scope};
use gaparch_router::core::{Core, Input, ListUpdate};
use gaparch_scheduler::api::{Nanos, ServerState};

const S: Nanos = 1_000_000_000;
const HOUR: i64 = 3_600;
/// The catalogue's wall clock as the router starts.
const TRUE_START: Nanos = 1_700_000_000 * S;
/// Between a start and the list that tells of it.
const LIST_DELAY: Nanos = 2 * S;
/// How far the router's wall clock is ahead, in seconds.
const OFFSETS: [i64; 7] = [0, 5, -5, HOUR, -HOUR, 2 * HOUR, -2 * HOUR];

struct Router {
    core: Core,
    offset: i64,
    version: u64,
}

/// A worker that began so long after the router, or before it; `None`: long ago.
fn entry(name: &str, began: Option<i64>) -> ListEntry {
    ListEntry {
        engine: name.to_owned(),
        address: "127.0.0.1:9".to_owned(),
        kind: if name.starts_with('r') { "reader" } else { "writer" }.to_owned(),
        zone: "north".to_owned(),
        rack: "1".to_owned(),
        state: ServerState::Ready,
        weight: None,
        started_at: began.map(|seconds| TRUE_START.saturating_add_signed(seconds * S as i64)),
    }
}

impl Router {
    fn start(offset: i64, entries: Vec<ListEntry>) -> Router {
        let mut config = Config::parse(EXAMPLE).expect("sound");
        (config.links, config.engines, config.list) = (Links::Exchanges, Vec::new(), None);
        config.module.slow_start_duration = 14 * S;
        let at = Router::clock(offset, 0);
        let core = Core::new(config, OrderRegistry::default(), RouterRun(1), at, &mut Vec::new());
        let mut router = Router { core, offset, version: 0 };
        router.list(Scope::Full, 0, entries);
        router
    }

    /// What the router's clock shows so long after its start.
    fn clock(offset: i64, passed: Nanos) -> Nanos {
        TRUE_START.saturating_add_signed(offset * S as i64) + passed
    }

    fn list(&mut self, scope: Scope, passed: Nanos, entries: Vec<ListEntry>) {
        let after = self.version;
        self.version += 1;
        let update = ListUpdate { scope, version: self.version, base_version: after, entries };
        self.core.handle(Router::clock(self.offset, passed), Input::ListUpdated(update), &mut Vec::new());
    }

    /// For how long that worker has run by the router's reckoning; `None`: long.
    fn age(&self, name: &str, passed: Nanos) -> Option<i64> {
        let (_, began) = self.core.endpoint_process(server_id(name)).expect("it is listed");
        let now = Router::clock(self.offset, passed);
        (began > 0).then(|| (i128::from(now) - i128::from(began)) as i64)
    }
}

fn whole_fleet() -> Vec<ListEntry> {
    ["r-1", "r-2", "w-1", "w-2"].map(|name| entry(name, None)).to_vec()
}

/// Its slow start neither ends before its time nor lasts longer than the list was late.
#[test]
fn a_worker_that_joins_is_as_old_as_it_is_whatever_the_routers_wall_clock_says() {
    for offset in OFFSETS {
        let mut router = Router::start(offset, whole_fleet());
        let (began, told) = (100, 100 * S + LIST_DELAY);
        router.list(Scope::Delta, told, vec![entry("w-3", Some(began))]);
        let age = router.age("w-3", told).expect("it has just begun");
        let range = 0..=LIST_DELAY as i64;
        assert!(range.contains(&age), "wall clock {offset} s ahead: {} s old", age as f64 / S as f64);
        assert_eq!(router.age("w-1", told), None, "the others have run for long");
    }
}

/// A process that comes back under its id is a new one, also where its machine's wall clock was set back meanwhile.
#[test]
fn a_worker_that_starts_again_is_new_though_its_clock_was_set_back() {
    for offset in OFFSETS {
        for stepped in [0, -HOUR] {
            let mut router = Router::start(offset, [whole_fleet(), vec![entry("w-3", Some(-50))]].concat());
            let before = router.core.endpoint_process(server_id("w-3"));
            let told = 100 * S + LIST_DELAY;
            router.list(Scope::Delta, told, vec![entry("w-3", Some(100 + stepped))]);
            assert_ne!(
                router.core.endpoint_process(server_id("w-3")),
                before,
                "it counts as the same process"
            );
            let age = router.age("w-3", told).expect("it has just begun");
            let range = 0..=LIST_DELAY as i64;
            assert!(range.contains(&age), "{offset} s ahead, {stepped} s stepped: {age} ns old");
        }
    }
}

/// A router that starts in the middle of a release: what has just begun is not taken for old.
#[test]
fn a_router_that_starts_within_a_release_takes_no_new_worker_for_an_old_one() {
    for offset in OFFSETS {
        let mut fleet = whole_fleet();
        fleet.extend([entry("w-3", Some(-3)), entry("w-4", Some(-4000))]);
        let router = Router::start(offset, fleet);
        let age = router.age("w-3", 0).expect("it has just begun");
        assert!((0..=3 * S as i64).contains(&age), "wall clock {offset} s ahead: {age} ns old");
        // By a clock that is behind, what began within that time can't be told from what is new.
        let old = router.age("w-4", 0).expect("its start is told");
        assert!(old >= 3900 * S as i64 || offset <= -HOUR, "wall clock {offset} s ahead: {old} ns old");
    }
}

/// Most of a fleet that began together an hour ago is not taken for new by each router that starts.
#[test]
fn a_fleet_that_began_together_long_ago_is_warm_to_a_router_that_starts() {
    let names = ["r-1", "r-2", "w-1", "w-2"];
    let router = Router::start(0, names.map(|name| entry(name, Some(-HOUR))).to_vec());
    for name in names {
        assert!(router.age(name, 0).is_none_or(|age| age >= 14 * S as i64), "{name} counts as new");
    }
}

/// One machine's clock is an hour ahead: the others that join are as new as they are.
#[test]
fn a_start_told_by_a_clock_that_is_ahead_makes_no_other_worker_old() {
    for offset in OFFSETS {
        let mut router = Router::start(offset, [whole_fleet(), vec![entry("w-3", Some(HOUR))]].concat());
        let told = 100 * S + LIST_DELAY;
        for (scope, name) in [(Scope::Delta, "w-4"), (Scope::Full, "w-5")] {
            let mut entries = vec![entry(name, Some(100))];
            if scope == Scope::Full {
                entries.extend(
                    [whole_fleet(), vec![entry("w-3", Some(HOUR)), entry("w-4", Some(100))]].concat(),
                );
            }
            router.list(scope, told, entries);
            let age = router.age(name, told).expect("it has just begun");
            assert!((0..=LIST_DELAY as i64).contains(&age), "{name}, {offset} s ahead: {age} ns old");
        }
        let w3 = router.age("w-3", told).expect("its start is told");
        assert!(w3 >= 100 * S as i64, "{offset} s ahead: listed for {w3} ns");
    }
}
