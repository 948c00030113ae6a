//! Rows of `gaparch lab scale` that are the same each time, at small sizes, with their slopes.

use gaparch_testbed::scale::fit::{Fit, Growth};
use gaparch_testbed::scale::hollow::{play, shape, Chooser, Day, Fault, Played, Shape};
use gaparch_testbed::scale::knowledge::{cold_share, slow_share};
use gaparch_testbed::scale::target;

/// One router with its part of the peak before so many workers.
fn one_router(workers: usize) -> Played {
    let shape = Shape { routers: 1, workers, zones: 3, seed: 5 };
    play(Day { per_s: target::requests_per_router(), warm_up: 4.0, counted: 6.0, ..Day::of(shape) })
}

/// A short day of a fleet on the line to the target.
fn fleet(workers: usize, fault: Fault) -> (Day, Played) {
    let day = Day { warm_up: 3.0, counted: 4.0, fault, ..Day::of(shape(workers, 7)) };
    (day, play(day))
}

#[test]
fn the_same_seed_plays_the_same_day() {
    let of =
        |played: Played| (played.asked, played.in_time, played.reads, played.probes, played.first_tokens);
    assert_eq!(of(fleet(100, Fault::None).1), of(fleet(100, Fault::None).1));
}

/// What a router spends on probes does not grow with the workers, once there are many.
#[test]
fn probes_of_a_router_are_bounded_at_any_size() {
    let mut points = Vec::new();
    for workers in [300, 600, 1_200, 2_400] {
        let probes = one_router(workers).probes as f64 / 6.0;
        assert!(probes > 2.0 && probes < 18.0, "{workers}: {probes} a second");
        points.push((workers as f64, probes));
    }
    let fit = Fit::of(&points).expect("four sizes");
    assert!(fit.at(target::WORKERS as f64) < 25.0 && fit.growth != Growth::Quadratic, "{fit:?}");
}

/// All is served on a plain day, whatever the size, and no worse than by chance.
#[test]
fn a_fleet_that_grows_along_the_line_serves_all() {
    for workers in [50, 100, 200, 400] {
        let (day, played) = fleet(workers, Fault::None);
        let by_chance = play(Day { chooser: Chooser::Random, ..day });
        assert!(played.worth() >= by_chance.worth() - 0.01, "{workers}: {}", played.worth());
        assert!(played.first_token_s(95.0) < target::FIRST_TOKEN_S, "{workers}");
    }
}

/// Each router learns by itself that a worker has died: what that costs grows with the routers, and no faster. Up to 256
/// workers probes are bounded by their price alone, and more attempts are saved: two slopes.
#[test]
fn attempts_lost_to_a_dead_worker_grow_no_faster_than_the_routers() {
    for [small, large] in [[50, 250], [300, 700]] {
        let played = std::thread::scope(|all| {
            let playing = [small, large].map(|workers| all.spawn(move || fleet(workers, Fault::Dies)));
            playing.map(|day| day.join().expect("it is played"))
        });
        let each = played.map(|(day, played)| {
            let workers = day.shape.workers;
            assert!(played.worth() > 0.9, "{workers}: {}", played.worth());
            let each = played.struck.len() as f64 / day.shape.routers as f64;
            assert!(each > 0.0 && each < 4.0, "{workers}: {each} attempts of each router");
            each
        });
        assert!(each[1] < 1.5 * each[0], "{each:?} attempts of each router at {small} and {large} workers");
    }
}

#[test]
fn a_cold_worker_is_not_pushed_over_by_all_routers_together() {
    for workers in [50, 100, 400] {
        let (day, played) = fleet(workers, Fault::StartsCold);
        assert!(!played.struck.is_empty(), "{workers}: it gets some");
        let share = cold_share(&played, &day);
        assert!(share < 1.0, "{workers}: {share} of what it may get");
    }
}

/// The planted defect of that check: one that sends as if the worker were warm.
#[test]
fn a_worker_that_gets_all_at_once_is_seen_to_be_pushed_over() {
    let (day, mut played) = fleet(100, Fault::StartsCold);
    let attempt = played.struck.first().copied().expect("it gets some");
    played.struck.extend(std::iter::repeat_n(attempt, 500));
    assert!(cold_share(&played, &day) > 1.0);
}

/// Among many servers, too, one that has become slow is told from its peers.
#[test]
fn a_slow_worker_gets_less_than_its_peers() {
    for workers in [100, 400] {
        let (_, played) = fleet(workers, Fault::Slows);
        let share = slow_share(&played);
        assert!(share < 0.8, "{workers}: {share} of what its peers get");
    }
}
