//! Tests connections that go silent without an error: data sent on them never arrives, and neither side is
//! notified.

mod common;

use common::RunningRouter;
use gaparch_testbed::platform::{
    ask, head_and_body, instance, until, Platform, SilentRelay, Step, WorkerEvent,
};
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The release time of the settings plus the platform's tolerance.
const MAX_HELD_TIME: Duration = Duration::from_millis(500 + 300);

/// Returns when a worker first saw a matching event.
fn first_time(router: &RunningRouter, matches: impl Fn(&WorkerEvent) -> bool) -> Option<Instant> {
    router.worker_log.log().into_iter().find(|(_, seen)| matches(seen)).map(|(at, _)| at)
}

/// The idle connections to the only decode worker go silent between two requests, so a decode request sent on
/// one of them does not arrive. Guards against a KV cache that stays held because of it: the cache is fetched
/// or released in time.
#[test]
fn the_kv_cache_is_not_pinned_by_a_decode_request_on_a_connection_that_went_silent() {
    let router = RunningRouter::with(|_| {});
    let relay = SilentRelay::start(router.decode_workers[0].address);
    let mut entry = instance(&router.decode_workers[0], "decode", "ready");
    entry["hostPort"] = json!(relay.address.to_string());
    router.publish_list(
        [
            Platform::without_decode_workers(&Platform::list(
                &router.prefill_workers,
                &router.decode_workers,
            )),
            vec![entry],
        ]
        .concat(),
    );
    assert_eq!(ask(router.listen, "before").status, 200);
    // Wait for the settle time, in which stray bytes could follow the response, so that connections are not
    // reused.
    std::thread::sleep(Duration::from_millis(100));
    relay.silence_open_connections();
    let request = std::thread::spawn({
        let listen = router.listen;
        move || ask(listen, "after")
    });
    let is_prefill = |seen: &WorkerEvent| matches!(seen, WorkerEvent::RequestReceived { worker, txn, .. } if txn == "after" && worker.starts_with('r'));
    until("it is prefilled", || first_time(&router, is_prefill).is_some());
    let is_done = |seen: &WorkerEvent| match seen {
        WorkerEvent::RequestReceived { worker, txn, .. } => txn == "after" && worker.starts_with('w'),
        WorkerEvent::Released { txn, .. } => txn == "after",
        _ => false,
    };
    until("its KV cache is fetched or released", || first_time(&router, is_done).is_some());
    let held =
        first_time(&router, is_done).expect("done") - first_time(&router, is_prefill).expect("prefilled");
    assert!(held < MAX_HELD_TIME, "held for {held:?}");
    assert_eq!(request.join().expect("no panic").status, 200);
    router.assert_no_second_copies();
}

/// All idle connections, two to each worker, go silent at once, and a client disconnects while its prompt is
/// being prefilled. Some worker has to receive the release in time.
#[test]
fn a_release_reaches_a_worker_if_all_idle_connections_went_silent() {
    let router = RunningRouter::with(|_| {});
    let workers = router.prefill_workers.iter().chain(&router.decode_workers);
    let relays: Vec<SilentRelay> = workers.map(|worker| SilentRelay::start(worker.address)).collect();
    let mut list = Platform::list(&router.prefill_workers, &router.decode_workers);
    for (entry, relay) in list.iter_mut().zip(&relays) {
        entry["hostPort"] = json!(relay.address.to_string());
    }
    router.publish_list(list);
    router.worker_log.slow_releases(Duration::from_millis(5));
    std::thread::scope(|all| {
        for number in 0..24 {
            let listen = router.listen;
            all.spawn(move || assert_eq!(ask(listen, &format!("before-{number}")).status, 200));
        }
    });
    std::thread::sleep(Duration::from_millis(100));
    router.prefill_workers[0].reply_once(vec![Step::Wait(Duration::from_millis(300)), Step::Hang]);
    let mut client = TcpStream::connect(router.listen).expect("connected");
    client.write_all(&head_and_body("leaves", "{}")).expect("written");
    until("the request is being prefilled", || {
        router.worker_log.requests().iter().any(|(_, txn)| txn == "leaves")
    });
    relays.iter().for_each(SilentRelay::silence_open_connections);
    drop(client);
    let disconnected_at = Instant::now();
    let is_release =
        |seen: &WorkerEvent| matches!(seen, WorkerEvent::Released { txn, .. } if txn == "leaves");
    until("the KV cache is released", || first_time(&router, is_release).is_some());
    let held = first_time(&router, is_release).expect("released") - disconnected_at;
    assert!(held < MAX_HELD_TIME, "held for {held:?}");
}

/// A worker whose idle connections went silent still answers probes. A probe on an idle connection leaves
/// enough time for another one on a new connection.
#[test]
fn a_probe_on_a_connection_that_fell_silent_is_retried_on_a_new_one() {
    // Probes use the connect timeout. It is 3 s here, so that half of it can be distinguished from all of it
    // on a busy machine.
    let router = RunningRouter::with(|config| {
        let settings = &mut config["settings"];
        settings["caps"]["connectTimeoutNs"] = json!(3_000_000_000u64);
        settings["rules"]["stopSendingWithinNs"] = json!(10_000_000_000u64);
    });
    let relay = SilentRelay::start(router.prefill_workers[0].address);
    let mut list = Platform::list(&router.prefill_workers, &router.decode_workers);
    list.remove(1);
    list[0]["hostPort"] = json!(relay.address.to_string());
    router.publish_list(list);
    assert_eq!(ask(router.listen, "before").status, 200);
    let probes = || {
        let is_probe = |seen: &WorkerEvent| matches!(seen, WorkerEvent::Probed { worker } if worker == "r-1");
        router.worker_log.events().iter().filter(|seen| is_probe(seen)).count()
    };
    // Long enough for the prefill worker to be probed before the next prefill.
    std::thread::sleep(Duration::from_millis(1_200));
    relay.silence_open_connections();
    let (probes_before, started_at) = (probes(), Instant::now());
    let request = std::thread::spawn({
        let listen = router.listen;
        move || ask(listen, "after")
    });
    until("the prefill worker is probed on a new connection", || probes() > probes_before);
    assert!(started_at.elapsed() < Duration::from_millis(2_800), "after {:?}", started_at.elapsed());
    // The prefill itself may go out on an idle connection, and is then cancelled and retried.
    assert_eq!(request.join().expect("no panic").status, 200);
}
