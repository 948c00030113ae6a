//! Tests very long endpoint lists, and lists that exceed the limit.

mod common;

use common::RunningRouter;
use gaparch_testbed::platform::{ask, instance, until, Platform};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Returns the usual list with `others` additional, draining workers.
fn list_with_others(router: &RunningRouter, others: usize) -> Vec<Value> {
    let mut list = Platform::list(&router.prefill_workers, &router.decode_workers);
    let other = |n: usize| {
        let mut entry = instance(&router.prefill_workers[0], "prefill", "draining");
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
    router.publish_list(list);
    for number in 0..6 {
        assert_eq!(ask(router.listen, &format!("txn-{number}")).status, 200);
    }
    let asked = router.worker_log.requests();
    assert!(asked.iter().all(|(worker, _)| worker.ends_with("-2")), "{asked:?}");
}

/// The list is requested again with backoff. Meanwhile the last valid list stays in use, and the next valid
/// one is applied in time.
#[test]
fn a_list_beyond_the_limit_is_rejected_and_the_last_valid_one_stays_in_use() {
    let router = router_with_memory(1);
    let calls = router.discovery.responses();
    router.discovery.set_list(list_with_others(&router, 5_000));
    until("the long list is rejected", || router.discovery.responses() > calls + 3);
    let (from, calls) = (Instant::now(), router.discovery.responses());
    std::thread::sleep(Duration::from_secs(2));
    let rate = (router.discovery.responses() - calls) as f64 / from.elapsed().as_secs_f64();
    assert!(rate < 4.0, "requested {rate:.1} times a second");
    assert_eq!(ask(router.listen, "kept").status, 200);
    let mut list = Platform::list(&router.prefill_workers, &router.decode_workers);
    (list[0]["lifecycle"], list[2]["lifecycle"]) = (json!("draining"), json!("draining"));
    let from = Instant::now();
    router.publish_list(list);
    assert!(from.elapsed() < Duration::from_secs(6));
    let before = router.worker_log.requests().len();
    for number in 0..6 {
        assert_eq!(ask(router.listen, &format!("txn-{number}")).status, 200);
    }
    let asked = router.worker_log.requests();
    assert!(asked[before..].iter().all(|(worker, _)| worker.ends_with("-2")), "{asked:?}");
}
