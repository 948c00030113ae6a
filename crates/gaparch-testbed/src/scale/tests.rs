//! Bounds of a run's sizes, and what a run itself checks.

use super::report::{Bound, Point, Way};
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

/// A planted fault for each kind of check.
#[test]
fn a_point_beyond_its_bound_falls_short() {
    let with = |bound, value| {
        let figure = Figure::new(Row::Knowledge, "calls", "", Way::HollowRouters, None);
        let points = vec![Point { size: 100, seed: 1, value: 0.5 }, Point { size: 200, seed: 1, value }];
        Figure { points, bound: Some(bound), ..figure }.short()
    };
    assert_eq!(with(Bound::AtMost(1.0), 1.0), None);
    assert!(with(Bound::AtMost(1.0), 1.01).expect("it is beyond").contains("knowledge: calls: 1.010 at 200"));
    assert_eq!(with(Bound::AtLeast(0.5), 1.0), None);
    assert!(with(Bound::AtLeast(0.5), 0.499).is_some());
}

/// Rows that one run of processes gives are measured once, and only those asked for are told.
#[test]
fn rows_of_processes_share_one_stage() {
    let stages = |rows: &[Row]| options(None, rows).stages();
    assert_eq!(stages(&[Row::Messages, Row::Connections, Row::Router]), [Stage::Processes]);
    assert_eq!(stages(&[Row::List]), [Stage::Processes, Stage::Watches]);
    assert_eq!(stages(&Row::ALL), [Stage::Decision, Stage::Processes, Stage::Watches, Stage::Knowledge]);
}
