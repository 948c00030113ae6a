//! When a listed process started, by the router's own clock. The router's wall clock may be off by hours,
//! while listed start times follow the list service's clock; slow start must follow the time that has really
//! passed.

use gaparch_config::{server_id, Config, Links, EXAMPLE};
use gaparch_ops::OrderRegistry;
use gaparch_protocol::engine::RouterRun;
use gaparch_protocol::list::{ListEntry, Scope};
use gaparch_router::core::{Core, Input, ListUpdate};
use gaparch_scheduler::api::{Nanos, ServerState};

const S: Nanos = 1_000_000_000;
const HOUR: i64 = 3_600;
/// The list service's wall clock when the router starts.
const TRUE_START: Nanos = 1_700_000_000 * S;
/// The time between a process start and the list update that contains it.
const LIST_DELAY: Nanos = 2 * S;
/// How far the router's wall clock is ahead, in seconds.
const OFFSETS: [i64; 7] = [0, 5, -5, HOUR, -HOUR, 2 * HOUR, -2 * HOUR];

struct TestRouter {
    core: Core,
    offset: i64,
    version: u64,
}

/// A worker that started so many seconds after the router, or before it if negative; `None`: long ago.
fn entry(name: &str, started_after: Option<i64>) -> ListEntry {
    ListEntry {
        engine: name.to_owned(),
        address: "127.0.0.1:9".to_owned(),
        kind: if name.starts_with('r') { "reader" } else { "writer" }.to_owned(),
        zone: "north".to_owned(),
        rack: "1".to_owned(),
        state: ServerState::Ready,
        weight: None,
        started_at: started_after.map(|seconds| TRUE_START.saturating_add_signed(seconds * S as i64)),
    }
}

impl TestRouter {
    fn start(offset: i64, entries: Vec<ListEntry>) -> TestRouter {
        let mut config = Config::parse(EXAMPLE).expect("valid settings");
        (config.links, config.engines, config.list) = (Links::Exchanges, Vec::new(), None);
        config.scheduler.slow_start_duration = 14 * S;
        let at = TestRouter::clock(offset, 0);
        let core = Core::new(config, OrderRegistry::default(), RouterRun(1), at, &mut Vec::new());
        let mut router = TestRouter { core, offset, version: 0 };
        router.update_list(Scope::Full, 0, entries);
        router
    }

    /// The router's wall clock at a time after its start.
    fn clock(offset: i64, elapsed: Nanos) -> Nanos {
        TRUE_START.saturating_add_signed(offset * S as i64) + elapsed
    }

    fn update_list(&mut self, scope: Scope, elapsed: Nanos, entries: Vec<ListEntry>) {
        let base_version = self.version;
        self.version += 1;
        let update = ListUpdate { scope, version: self.version, base_version, entries };
        self.core.handle(
            TestRouter::clock(self.offset, elapsed),
            Input::ListUpdated(update),
            &mut Vec::new(),
        );
    }

    /// For how long a worker has run by the router's clock; `None`: for long.
    fn age(&self, name: &str, elapsed: Nanos) -> Option<i64> {
        let (_, started_at) = self.core.endpoint_process(server_id(name)).expect("it is listed");
        let now = TestRouter::clock(self.offset, elapsed);
        (started_at > 0).then(|| (i128::from(now) - i128::from(started_at)) as i64)
    }
}

fn old_fleet() -> Vec<ListEntry> {
    ["r-1", "r-2", "w-1", "w-2"].map(|name| entry(name, None)).to_vec()
}

/// The slow start of a new worker does not end too early, and ends at most the delay of the list too late.
#[test]
fn the_age_of_an_added_worker_is_right_whatever_the_routers_wall_clock_shows() {
    for offset in OFFSETS {
        let mut router = TestRouter::start(offset, old_fleet());
        let (started_after, listed_at) = (100, 100 * S + LIST_DELAY);
        router.update_list(Scope::Delta, listed_at, vec![entry("w-3", Some(started_after))]);
        let age = router.age("w-3", listed_at).expect("it has just started");
        let range = 0..=LIST_DELAY as i64;
        assert!(range.contains(&age), "wall clock {offset} s ahead: {} s old", age as f64 / S as f64);
        assert_eq!(router.age("w-1", listed_at), None, "the others started long ago");
    }
}

/// A process that restarts under the same id is new, even if its machine's wall clock was set back in
/// between.
#[test]
fn a_restarted_worker_is_new_even_if_its_clock_was_set_back() {
    for offset in OFFSETS {
        for clock_step in [0, -HOUR] {
            let mut router = TestRouter::start(offset, [old_fleet(), vec![entry("w-3", Some(-50))]].concat());
            let before = router.core.endpoint_process(server_id("w-3"));
            let listed_at = 100 * S + LIST_DELAY;
            router.update_list(Scope::Delta, listed_at, vec![entry("w-3", Some(100 + clock_step))]);
            assert_ne!(
                router.core.endpoint_process(server_id("w-3")),
                before,
                "it counts as the same process"
            );
            let age = router.age("w-3", listed_at).expect("it has just started");
            let range = 0..=LIST_DELAY as i64;
            assert!(range.contains(&age), "{offset} s ahead, {clock_step} s stepped: {age} ns old");
        }
    }
}

/// A router that starts during a rollout must not take workers that have just started for old ones.
#[test]
fn a_router_that_starts_during_a_rollout_takes_no_new_worker_for_an_old_one() {
    for offset in OFFSETS {
        let mut fleet = old_fleet();
        fleet.extend([entry("w-3", Some(-3)), entry("w-4", Some(-4000))]);
        let router = TestRouter::start(offset, fleet);
        let age = router.age("w-3", 0).expect("it has just started");
        assert!((0..=3 * S as i64).contains(&age), "wall clock {offset} s ahead: {age} ns old");
        // With a clock that is behind, workers that started within the offset can't be told from new ones.
        let old = router.age("w-4", 0).expect("its start is listed");
        assert!(old >= 3900 * S as i64 || offset <= -HOUR, "wall clock {offset} s ahead: {old} ns old");
    }
}

/// A fleet whose workers started together an hour ago must not be taken for new by every router that starts.
#[test]
fn a_fleet_that_started_together_long_ago_is_warm_for_a_router_that_starts() {
    let names = ["r-1", "r-2", "w-1", "w-2"];
    let router = TestRouter::start(0, names.map(|name| entry(name, Some(-HOUR))).to_vec());
    for name in names {
        assert!(router.age(name, 0).is_none_or(|age| age >= 14 * S as i64), "{name} counts as new");
    }
}

/// If one machine's clock is an hour ahead, the ages of other added workers are still right.
#[test]
fn a_start_time_from_a_clock_that_is_ahead_makes_no_other_worker_old() {
    for offset in OFFSETS {
        let mut router = TestRouter::start(offset, [old_fleet(), vec![entry("w-3", Some(HOUR))]].concat());
        let listed_at = 100 * S + LIST_DELAY;
        for (scope, name) in [(Scope::Delta, "w-4"), (Scope::Full, "w-5")] {
            let mut entries = vec![entry(name, Some(100))];
            if scope == Scope::Full {
                entries
                    .extend([old_fleet(), vec![entry("w-3", Some(HOUR)), entry("w-4", Some(100))]].concat());
            }
            router.update_list(scope, listed_at, entries);
            let age = router.age(name, listed_at).expect("it has just started");
            assert!((0..=LIST_DELAY as i64).contains(&age), "{name}, {offset} s ahead: {age} ns old");
        }
        let w3 = router.age("w-3", listed_at).expect("its start is listed");
        assert!(w3 >= 100 * S as i64, "{offset} s ahead: listed for {w3} ns");
    }
}
