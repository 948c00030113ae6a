//! Tests very long endpoint lists, and lists that exceed the limit.

mod common;

use common::RunningRouter;
use gaparch_testbed::platform::{ask, instance, until, Platform};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Returns the usual list with `others` additional, draining workers.
fn list_with_others(router: &RunningRouter, others: usize) -> Vec<Value> {
    let mut list = Platform::list(&router.readers, &router.writers);
    let other = |n: usize| {
        let mut entry = instance(&router.readers[0], "prefill", "draining");
        entry["instanceId"] = json!(format!("other-{n}"));
        entry
    };
    list.extend((0..others).map(other));
    list
}

fn router_with_memory(megabytes: u64) -> RunningRouter {
    RunningRouter::with(|config| config["limits"]["memory_mb"] = json!(megabytes))
}

#[test]
fn a_list_of_ten_thousand_workers_is_applied() {
    let router = router_with_memory(64);
    let mut list = list_with_others(&router, 10_000);
    (list[0]["lifecycle"], list[2]["lifecycle"]) = (json!("draining"), json!("draining"));
    router.tell(list);
    for number in 0..6 {
        assert_eq!(ask(router.listen, &format!("txn-{number}")).status, 200);
    }
    let asked = router.floor.asked();
    assert!(asked.iter().all(|(worker, _)| worker.ends_with("-2")), "{asked:?}");
}

/// The list is requested again with backoff. Meanwhile the last valid list stays in use, and the next valid
/// one is applied in time.
#[test]
fn a_list_beyond_the_limit_is_rejected_and_the_last_valid_one_stays_in_use() {
    let router = router_with_memory(1);
    let calls = router.catalogue.calls();
    router.catalogue.set(list_with_others(&router, 5_000));
    until("the long list is rejected", || router.catalogue.calls() > calls + 3);
    let (from, calls) = (Instant::now(), router.catalogue.calls());
    std::thread::sleep(Duration::from_secs(2));
    let rate = (router.catalogue.calls() - calls) as f64 / from.elapsed().as_secs_f64();
    assert!(rate < 4.0, "requested {rate:.1} times a second");
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
