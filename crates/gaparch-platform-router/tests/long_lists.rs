//! Endpoint lists that are longer than any other message, and lists that are rejected.

mod common;

use common::Site;
use gaparch_testbed::platform::{ask, instance, until, Platform};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// The usual list with so many more workers, which are draining.
fn with_others(site: &Site, others: usize) -> Vec<Value> {
    let mut list = Platform::list(&site.readers, &site.writers);
    let other = |n: usize| {
        let mut entry = instance(&site.readers[0], "prefill", "draining");
        entry["instanceId"] = json!(format!("other-{n}"));
        entry
    };
    list.extend((0..others).map(other));
    list
}

fn with_memory(megabytes: u64) -> Site {
    Site::with(|config| config["limits"]["memory_mb"] = json!(megabytes))
}

#[test]
fn a_list_of_ten_thousand_workers_is_in_force() {
    let site = with_memory(64);
    let mut list = with_others(&site, 10_000);
    (list[0]["lifecycle"], list[2]["lifecycle"]) = (json!("draining"), json!("draining"));
    site.tell(list);
    for number in 0..6 {
        assert_eq!(ask(site.listen, &format!("txn-{number}")).status, 200);
    }
    let asked = site.floor.asked();
    assert!(asked.iter().all(|(worker, _)| worker.ends_with("-2")), "{asked:?}");
}

/// It is requested again with backoff, the last good list serves, and the next good one is in force in time.
#[test]
fn a_list_beyond_the_bound_is_rejected_and_the_last_good_one_serves() {
    let site = with_memory(1);
    let calls = site.catalogue.calls();
    site.catalogue.set(with_others(&site, 5_000));
    until("the long list is rejected", || site.catalogue.calls() > calls + 3);
    let (from, calls) = (Instant::now(), site.catalogue.calls());
    std::thread::sleep(Duration::from_secs(2));
    let again = (site.catalogue.calls() - calls) as f64 / from.elapsed().as_secs_f64();
    assert!(again < 4.0, "requested {again:.1} times a second");
    assert_eq!(ask(site.listen, "kept").status, 200);
    let mut list = Platform::list(&site.readers, &site.writers);
    (list[0]["lifecycle"], list[2]["lifecycle"]) = (json!("draining"), json!("draining"));
    let from = Instant::now();
    site.tell(list);
    assert!(from.elapsed() < Duration::from_secs(6));
    let before = site.floor.asked().len();
    for number in 0..6 {
        assert_eq!(ask(site.listen, &format!("txn-{number}")).status, 200);
    }
    let asked = site.floor.asked();
    assert!(asked[before..].iter().all(|(worker, _)| worker.ends_with("-2")), "{asked:?}");
}
