//! Bounds of a run's sizes, and what a run itself checks.

use super::report::{Axis, Point, Way};
use super::*;

fn options(workers: Option<usize>, rows: &[Row]) -> Options {
    let rows = rows.to_vec();
    Options { routers: None, workers, zones: None, seed: 1, rows, quick: true, program: PathBuf::new() }
}

#[test]
fn sizes_that_make_no_sense_are_refused_by_name() {
    let refused = |options: Options| options.sizes().expect_err("refused").to_string();
    assert!(refused(options(Some(7), &Row::ALL)).contains("--workers 7: 100 to 16000"));
    assert!(refused(options(Some(1_000_000), &Row::ALL)).contains("--workers"));
    assert!(refused(Options { routers: Some(1), ..options(None, &Row::ALL) }).contains("--routers 1"));
    assert!(refused(Options { zones: Some(0), ..options(None, &Row::ALL) }).contains("--zones 0"));
}

#[test]
fn a_hollow_fleet_that_does_not_fit_the_memory_is_refused_before_anything_starts() {
    let error = options(Some(16_000), &[Row::Knowledge]).sizes().expect_err("it does not fit");
    assert!(matches!(error, ScaleError::Memory { workers: 16_000, .. }), "{error}");
    assert!(options(Some(16_000), &[Row::Decision]).sizes().is_ok());
}

#[test]
fn every_row_has_four_sizes_at_least() {
    let sizes = options(None, &Row::ALL).sizes().expect("they make sense");
    for of_row in [&sizes.lists, &sizes.hollow, &sizes.watches] {
        let mut of_row = of_row.clone();
        of_row.dedup();
        assert!(of_row.len() >= fit::LEAST_SIZES, "{of_row:?}");
    }
    assert_eq!(sizes.lists[sizes.lists.len() - 1], target::WORKERS);
    assert_eq!(sizes.watches[sizes.watches.len() - 1], target::ROUTERS);
}

#[test]
fn rows_are_named() {
    assert_eq!("knowledge".parse(), Ok(Row::Knowledge));
    assert!("nonsense".parse::<Row>().expect_err("none").to_string().contains("'nonsense'"));
}

/// A planted fault for each check.
#[test]
fn a_cold_worker_pushed_over_and_a_request_not_served_fall_short() {
    let figure = |row, name, value| Figure {
        row,
        name,
        unit: "",
        way: Way::HollowRouters,
        axis: Axis::Workers,
        points: vec![Point { size: 100, seed: 1, value }],
        budget: None,
    };
    let cold = |value| figure("knowledge", "calls to a cold worker, of what it may get", value);
    assert_eq!(falls_short(&cold(1.0)), None);
    assert!(falls_short(&cold(1.01)).is_some());
    let served = |value| figure("router", "share of the requests that is served", value);
    assert_eq!(falls_short(&served(1.0)), None);
    assert!(falls_short(&served(0.999)).is_some());
}
