//! Endpoint lists that are longer than any other message, and lists that are rejected.

mod common;

use common::RunningRouter;
use gaparch_testbed::platform::{ask, instance, until, Platform};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// The usual list with so many more workers, which are draining.
fn with_others(router: &RunningRouter, others: usize) -> Vec<Value> {
    let mut list = Platform::list(&router.readers, &router.writers);
    let other = |n: usize| {
        let mut entry = instance(&router.readers[0], "prefill", "draining");
        entry["instanceId"] = json!(format!("other-{n}"));
        entry
    };
    list.extend((0..others).map(other));
    list
}

fn with_memory(megabytes: u64) -> RunningRouter {
    RunningRouter::with(|config| config["limits"]["memory_mb"] = json!(megabytes))
}

#[test]
fn a_list_of_ten_thousand_workers_is_in_force() {
    let router = with_memory(64);
    let mut list = with_others(&router, 10_000);
    (list[0]["lifecycle"], list[2]["lifecycle"]) = (json!("draining"), json!("draining"));
    router.tell(list);
    for number in 0..6 {
        assert_eq!(ask(router.listen, &format!("txn-{number}")).status, 200);
    }
    let asked = router.floor.asked();
    assert!(asked.iter().all(|(worker, _)| worker.ends_with("-2")), "{asked:?}");
}

/// It is requested again with backoff, the last good list serves, and the next good one is in force in time.
#[test]
fn a_list_beyond_the_bound_is_rejected_and_the_last_good_one_serves() {
    let router = with_memory(1);
    let calls = router.catalogue.calls();
    router.catalogue.set(with_others(&router, 5_000));
    until("the long list is rejected", || router.catalogue.calls() > calls + 3);
    let (from, calls) = (Instant::now(), router.catalogue.calls());
    std::thread::sleep(Duration::from_secs(2));
    let again = (router.catalogue.calls() - calls) as f64 / from.elapsed().as_secs_f64();
    assert!(again < 4.0, "requested {again:.1} times a second");
    assert_eq!(ask(router.listen, "kept").status, 200);
    let mut list = Platform::list(&router.readers, &router.writers);
    (list[0]["lifecycle"], list[2]["lifecycle"]) = (json!("draining"), json!("draining"));
    let from = Instant::now();
    router.tell(list);
    assert!(from.elapsed() < Duration::from_secs(6));
    let before = router.floor.asked().len();
    for number in 0..6 {
        assert_eq!(ask(router.listen, &format!("txn-{number}")).status, 200);
    }
    let asked = router.floor.asked();
    assert!(asked[before..].iter().all(|(worker, _)| worker.ends_with("-2")), "{asked:?}");
}
