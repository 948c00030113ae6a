//! Decode workers that hang while their machines accept connections and bytes: a decode request that was sent
//! has not arrived. Its KV cache is fetched by a running decode worker or released in time, whatever else
//! holds for the request.

mod common;

use common::RunningRouter;
use gaparch_testbed::platform::{ask, head_and_body, instance, until, Got, HangingRelay, Platform, Seen};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The settings' release time and what the platform adds to it.
const RELEASE_WITHIN: Duration = Duration::from_millis(500 + 300);

/// A platform whose only decode workers are its first, each behind a relay that may hang.
struct HangingPlatform {
    router: RunningRouter,
    relays: Vec<HangingRelay>,
}

impl HangingPlatform {
    fn with(writers: usize, change: impl FnOnce(&mut Value)) -> HangingPlatform {
        let router = RunningRouter::with(change);
        let relays: Vec<HangingRelay> =
            router.writers.iter().take(writers).map(|writer| HangingRelay::start(writer.address)).collect();
        let mut list = Platform::without_writers(&Platform::list(&router.readers, &router.writers));
        for (writer, relay) in router.writers.iter().zip(&relays) {
            let mut entry = instance(writer, "decode", "ready");
            entry["hostPort"] = json!(relay.address.to_string());
            list.retain(|other| other["instanceId"] != entry["instanceId"]);
            list.push(entry);
        }
        router.tell(list);
        HangingPlatform { router, relays }
    }

    fn asks(&self, txn: &str) -> JoinHandle<Got> {
        let (listen, txn) = (self.router.listen, txn.to_owned());
        std::thread::spawn(move || ask(listen, &txn))
    }

    /// When its prefill arrived, which is answered at once.
    fn read_at(&self, txn: &str) -> Instant {
        let reads = |seen: &Seen| matches!(seen, Seen::Asked { worker, txn: of, .. } if of == txn && worker.starts_with('r'));
        until("it is prefilled", || self.first(&reads).is_some());
        self.first(&reads).expect("read")
    }

    fn first(&self, fits: &dyn Fn(&Seen) -> bool) -> Option<Instant> {
        self.router.floor.log().into_iter().find(|(_, seen)| fits(seen)).map(|(at, _)| at)
    }

    /// Its KV cache is fetched by a running decode worker, or released, in time.
    fn is_not_pinned(&self, txn: &str) {
        let read_at = self.read_at(txn);
        let done = |seen: &Seen| match seen {
            Seen::Asked { worker, txn: of, .. } => of == txn && worker.starts_with('w'),
            Seen::Released { txn: of, .. } => of == txn,
            _ => false,
        };
        until("its KV cache is fetched or released", || self.first(&done).is_some());
        let held = self.first(&done).expect("done").saturating_duration_since(read_at);
        assert!(held < RELEASE_WITHIN, "{txn}: held for {held:?}");
    }
}

fn class_of(effect: &str) -> impl FnOnce(&mut Value) + use<'_> {
    move |config| {
        let class = &mut config["settings"]["services"][0];
        class["idempotency"] = json!(effect);
        class["dedupScope"] = json!("all");
        class["dedupWindowNs"] = json!(2_000_000_000u64);
    }
}

/// As reported: the prefill is answered, the decode request goes out on a new connection to a worker that
/// hangs, and nothing more comes of it. Whether or not it may be retried, attempts cancelled and workers
/// probed, the KV cache is released.
#[test]
fn the_kv_cache_is_released_while_its_only_decode_worker_hangs() {
    std::thread::scope(|all| {
        for effect in ["free", "guarded", "single_shot"] {
            for (cancel, probes) in [(true, true), (true, false), (false, true), (false, false)] {
                all.spawn(move || {
                    let hanging = HangingPlatform::with(1, |config| {
                        class_of(effect)(config);
                        config["settings"]["caps"]["cancel"] = json!(cancel);
                        config["settings"]["caps"]["probes"] = json!(probes);
                    });
                    hanging.relays[0].hang();
                    let asked = hanging.asks("held");
                    hanging.is_not_pinned("held");
                    let status = asked.join().expect("no panic").status;
                    assert_ne!(status, 0, "{effect}, cancel {cancel}, probes {probes}: no answer");
                    hanging.router.no_second_copies();
                });
            }
        }
    });
}

/// One of two decode workers hangs: a request that may be retried is served by the other one.
#[test]
fn the_kv_cache_is_fetched_by_another_decode_worker_while_one_hangs() {
    let hanging = HangingPlatform::with(2, |_| {});
    assert_eq!(ask(hanging.router.listen, "before").status, 200);
    hanging.relays[0].hang();
    let names: Vec<String> = (0..12).map(|number| format!("held-{number}")).collect();
    let asked: BTreeMap<&str, JoinHandle<Got>> =
        names.iter().map(|name| (name.as_str(), hanging.asks(name))).collect();
    for (name, answer) in asked {
        assert_eq!(answer.join().expect("no panic").status, 200, "{name}");
        hanging.is_not_pinned(name);
    }
    hanging.router.no_second_copies();
}

/// A decode request whose KV cache was released is rejected once its worker resumes, so that it has not run:
/// it is prefilled again and served, also if it may run only once.
#[test]
fn a_decode_worker_that_resumes_rejects_the_request_and_it_is_prefilled_again() {
    let hanging = HangingPlatform::with(1, class_of("single_shot"));
    let gone = "HTTP/1.1 410 Gone\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
    hanging.router.next_write(&[common::put(gone)]);
    hanging.relays[0].hang();
    let asked = hanging.asks("again");
    hanging.is_not_pinned("again");
    until("it is released", || hanging.router.released("again"));
    hanging.relays[0].resume();
    let answer = asked.join().expect("no panic");
    assert_eq!(answer.status, 200, "{}", answer.head);
    assert_eq!(hanging.router.writes("again"), 2);
    hanging.router.no_second_copies();
}

/// A client disconnects while its decode request hangs and can't be cancelled, or the router is ordered to
/// shut down just then.
#[test]
fn the_kv_cache_is_released_though_its_client_disconnects_or_its_router_shuts_down() {
    let left = HangingPlatform::with(1, |config| config["settings"]["caps"]["cancel"] = json!(false));
    left.relays[0].hang();
    let mut client = TcpStream::connect(left.router.listen).expect("it listens");
    client.write_all(&head_and_body("leaves", "{}")).expect("written");
    left.read_at("leaves");
    std::thread::sleep(Duration::from_millis(50));
    drop(client);
    left.is_not_pinned("leaves");

    let ending = HangingPlatform::with(1, |_| {});
    ending.relays[0].hang();
    let asked = ending.asks("ends");
    ending.read_at("ends");
    ending.router.send(gaparch_platform_router::Command::Shutdown);
    ending.is_not_pinned("ends");
    assert_ne!(asked.join().expect("no panic").status, 0);
    ending.router.wait_for_shutdown();
}
