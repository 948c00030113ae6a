//! Tests decode workers whose process hangs while the kernel still accepts connections and bytes, so that a
//! decode request that was sent is never handled. The KV cache has to be fetched by a running decode worker
//! or released in time in every case.

mod common;

use common::RunningRouter;
use gaparch_testbed::platform::{
    ask, head_and_body, instance, until, HangingRelay, Platform, Response, WorkerEvent,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The release time of the settings plus the platform's tolerance.
const MAX_HELD_TIME: Duration = Duration::from_millis(500 + 300);

/// A platform with only the first few decode workers, each behind a relay that can hang.
struct HangingPlatform {
    router: RunningRouter,
    relays: Vec<HangingRelay>,
}

impl HangingPlatform {
    fn with(decode_workers: usize, change: impl FnOnce(&mut Value)) -> HangingPlatform {
        let router = RunningRouter::with(change);
        let relays: Vec<HangingRelay> = router
            .decode_workers
            .iter()
            .take(decode_workers)
            .map(|writer| HangingRelay::start(writer.address))
            .collect();
        let mut list = Platform::without_decode_workers(&Platform::list(
            &router.prefill_workers,
            &router.decode_workers,
        ));
        for (writer, relay) in router.decode_workers.iter().zip(&relays) {
            let mut entry = instance(writer, "decode", "ready");
            entry["hostPort"] = json!(relay.address.to_string());
            list.retain(|other| other["instanceId"] != entry["instanceId"]);
            list.push(entry);
        }
        router.publish_list(list);
        HangingPlatform { router, relays }
    }

    fn send_request(&self, txn: &str) -> JoinHandle<Response> {
        let (listen, txn) = (self.router.listen, txn.to_owned());
        std::thread::spawn(move || ask(listen, &txn))
    }

    /// Returns when the prefill arrived. The prefill is answered immediately.
    fn prefilled_at(&self, txn: &str) -> Instant {
        let is_prefill = |seen: &WorkerEvent| matches!(seen, WorkerEvent::RequestReceived { worker, txn: of, .. } if of == txn && worker.starts_with('r'));
        until("it is prefilled", || self.first_time(&is_prefill).is_some());
        self.first_time(&is_prefill).expect("prefilled")
    }

    fn first_time(&self, matches: &dyn Fn(&WorkerEvent) -> bool) -> Option<Instant> {
        self.router.worker_log.log().into_iter().find(|(_, seen)| matches(seen)).map(|(at, _)| at)
    }

    /// Asserts that the KV cache is fetched by a running decode worker or released in time.
    fn assert_kv_cache_not_pinned(&self, txn: &str) {
        let prefilled_at = self.prefilled_at(txn);
        let is_done = |seen: &WorkerEvent| match seen {
            WorkerEvent::RequestReceived { worker, txn: of, .. } => of == txn && worker.starts_with('w'),
            WorkerEvent::Released { txn: of, .. } => of == txn,
            _ => false,
        };
        until("its KV cache is fetched or released", || self.first_time(&is_done).is_some());
        let held = self.first_time(&is_done).expect("done").saturating_duration_since(prefilled_at);
        assert!(held < MAX_HELD_TIME, "{txn}: held for {held:?}");
    }
}

fn with_idempotency(idempotency: &str) -> impl FnOnce(&mut Value) + use<'_> {
    move |config| {
        let class = &mut config["settings"]["services"][0];
        class["idempotency"] = json!(idempotency);
        class["dedupScope"] = json!("all");
        class["dedupWindowNs"] = json!(2_000_000_000u64);
    }
}

/// Guards against a KV cache that stays held while its only decode worker hangs. The prefill is answered and
/// the decode request is sent on a new connection, but gets no response. The KV cache has to be released
/// whether or not the request may be retried, attempts cancelled and workers probed.
#[test]
fn the_kv_cache_is_released_while_its_only_decode_worker_hangs() {
    std::thread::scope(|all| {
        for idempotency in ["free", "guarded", "single_shot"] {
            for (cancel, probes) in [(true, true), (true, false), (false, true), (false, false)] {
                all.spawn(move || {
                    let hanging = HangingPlatform::with(1, |config| {
                        with_idempotency(idempotency)(config);
                        config["settings"]["caps"]["cancel"] = json!(cancel);
                        config["settings"]["caps"]["probes"] = json!(probes);
                    });
                    hanging.relays[0].hang();
                    let request = hanging.send_request("held");
                    hanging.assert_kv_cache_not_pinned("held");
                    let status = request.join().expect("no panic").status;
                    assert_ne!(status, 0, "{idempotency}, cancel {cancel}, probes {probes}: no response");
                    hanging.router.assert_no_second_copies();
                });
            }
        }
    });
}

/// If one of two decode workers hangs, a request that may be retried is served by the other one.
#[test]
fn the_kv_cache_is_fetched_by_another_decode_worker_while_one_hangs() {
    let hanging = HangingPlatform::with(2, |_| {});
    assert_eq!(ask(hanging.router.listen, "before").status, 200);
    hanging.relays[0].hang();
    let names: Vec<String> = (0..12).map(|number| format!("held-{number}")).collect();
    let requests: BTreeMap<&str, JoinHandle<Response>> =
        names.iter().map(|name| (name.as_str(), hanging.send_request(name))).collect();
    for (name, answer) in requests {
        assert_eq!(answer.join().expect("no panic").status, 200, "{name}");
        hanging.assert_kv_cache_not_pinned(name);
    }
    hanging.router.assert_no_second_copies();
}

/// A decode request whose KV cache was released is rejected when its worker resumes. Since it has not run, it
/// is prefilled again and served, even if it may run only once.
#[test]
fn a_decode_worker_that_resumes_rejects_the_request_and_it_is_prefilled_again() {
    let hanging = HangingPlatform::with(1, with_idempotency("single_shot"));
    let gone = "HTTP/1.1 410 Gone\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
    hanging.router.reply_to_next_decode(&[common::put(gone)]);
    hanging.relays[0].hang();
    let request = hanging.send_request("again");
    hanging.assert_kv_cache_not_pinned("again");
    until("the KV cache is released", || hanging.router.is_released("again"));
    hanging.relays[0].resume();
    let answer = request.join().expect("no panic");
    assert_eq!(answer.status, 200, "{}", answer.head);
    assert_eq!(hanging.router.decode_requests("again"), 2);
    hanging.router.assert_no_second_copies();
}

/// The client disconnects, or the router shuts down, while a decode request hangs. In the first case it can't
/// be cancelled.
#[test]
fn the_kv_cache_is_released_if_the_client_disconnects_or_the_router_shuts_down() {
    let disconnecting =
        HangingPlatform::with(1, |config| config["settings"]["caps"]["cancel"] = json!(false));
    disconnecting.relays[0].hang();
    let mut client = TcpStream::connect(disconnecting.router.listen).expect("connected");
    client.write_all(&head_and_body("leaves", "{}")).expect("written");
    disconnecting.prefilled_at("leaves");
    std::thread::sleep(Duration::from_millis(50));
    drop(client);
    disconnecting.assert_kv_cache_not_pinned("leaves");

    let shutting_down = HangingPlatform::with(1, |_| {});
    shutting_down.relays[0].hang();
    let request = shutting_down.send_request("ends");
    shutting_down.prefilled_at("ends");
    shutting_down.router.send(gaparch_platform_router::Command::Shutdown);
    shutting_down.assert_kv_cache_not_pinned("ends");
    assert_ne!(request.join().expect("no panic").status, 0);
    shutting_down.router.wait_for_shutdown();
}
