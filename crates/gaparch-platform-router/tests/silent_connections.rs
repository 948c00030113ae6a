//! Open connections that fall silent with no error: what is sent on them never arrives, and nobody says so.

mod common;

use common::RunningRouter;
use gaparch_testbed::platform::{ask, head_and_body, instance, until, Platform, Seen, SilentRelay, Step};
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The settings' release time and what the platform adds to it.
const RELEASE_WITHIN: Duration = Duration::from_millis(500 + 300);

/// When a worker first saw something of a request that fits.
fn first(router: &RunningRouter, fits: impl Fn(&Seen) -> bool) -> Option<Instant> {
    router.floor.log().into_iter().find(|(_, seen)| fits(seen)).map(|(at, _)| at)
}

/// The only decode worker's idle connections fall silent between two requests. A decode request that has not
/// arrived does not count: the KV cache is fetched or released in time all the same.
#[test]
fn the_kv_cache_is_not_pinned_by_a_decode_request_on_a_connection_that_fell_silent() {
    let router = RunningRouter::with(|_| {});
    let relay = SilentRelay::start(router.writers[0].address);
    let mut entry = instance(&router.writers[0], "decode", "ready");
    entry["hostPort"] = json!(relay.address.to_string());
    router.tell(
        [Platform::without_writers(&Platform::list(&router.readers, &router.writers)), vec![entry]].concat(),
    );
    assert_eq!(ask(router.listen, "before").status, 200);
    // Past the time in which bytes behind its response could still come on it.
    std::thread::sleep(Duration::from_millis(100));
    relay.silence_open_connections();
    let asked = std::thread::spawn({
        let listen = router.listen;
        move || ask(listen, "after")
    });
    let read = |seen: &Seen| matches!(seen, Seen::Asked { worker, txn, .. } if txn == "after" && worker.starts_with('r'));
    until("it is prefilled", || first(&router, read).is_some());
    let done = |seen: &Seen| match seen {
        Seen::Asked { worker, txn, .. } => txn == "after" && worker.starts_with('w'),
        Seen::Released { txn, .. } => txn == "after",
        _ => false,
    };
    until("its KV cache is fetched or released", || first(&router, done).is_some());
    let held = first(&router, done).expect("done") - first(&router, read).expect("read");
    assert!(held < RELEASE_WITHIN, "held for {held:?}");
    assert_eq!(asked.join().expect("no panic").status, 200);
    router.no_second_copies();
}

/// All idle connections fall silent at once, two to each worker, and a client disconnects while its prompt is
/// prefilled. What that leaves behind is released in time: by then some worker has to have got the release.
#[test]
fn a_release_reaches_a_worker_though_all_idle_connections_fell_silent() {
    let router = RunningRouter::with(|_| {});
    let workers = router.readers.iter().chain(&router.writers);
    let relays: Vec<SilentRelay> = workers.map(|worker| SilentRelay::start(worker.address)).collect();
    let mut list = Platform::list(&router.readers, &router.writers);
    for (entry, relay) in list.iter_mut().zip(&relays) {
        entry["hostPort"] = json!(relay.address.to_string());
    }
    router.tell(list);
    router.floor.slow_releases(Duration::from_millis(5));
    std::thread::scope(|all| {
        for number in 0..24 {
            let listen = router.listen;
            all.spawn(move || assert_eq!(ask(listen, &format!("before-{number}")).status, 200));
        }
    });
    std::thread::sleep(Duration::from_millis(100));
    router.readers[0].then(vec![Step::Wait(Duration::from_millis(300)), Step::Hang]);
    let mut client = TcpStream::connect(router.listen).expect("it listens");
    client.write_all(&head_and_body("leaves", "{}")).expect("written");
    until("it is being prefilled", || router.floor.asked().iter().any(|(_, txn)| txn == "leaves"));
    relays.iter().for_each(SilentRelay::silence_open_connections);
    drop(client);
    let left = Instant::now();
    let released = |seen: &Seen| matches!(seen, Seen::Released { txn, .. } if txn == "leaves");
    until("the KV cache is released", || first(&router, released).is_some());
    let held = first(&router, released).expect("done") - left;
    assert!(held < RELEASE_WITHIN, "held for {held:?}");
}

/// A worker behind idle connections that fell silent answers probes: one on an idle connection leaves time
/// for a new one.
#[test]
fn a_probe_on_a_connection_that_fell_silent_is_retried_on_a_new_one() {
    // A probe times out as connecting does: after 3 s here, so that half of it is told apart from all of it
    // on a busy machine.
    let router = RunningRouter::with(|config| {
        let settings = &mut config["settings"];
        settings["caps"]["connectTimeoutNs"] = json!(3_000_000_000u64);
        settings["rules"]["stopSendingWithinNs"] = json!(10_000_000_000u64);
    });
    let relay = SilentRelay::start(router.readers[0].address);
    let mut list = Platform::list(&router.readers, &router.writers);
    list.remove(1);
    list[0]["hostPort"] = json!(relay.address.to_string());
    router.tell(list);
    assert_eq!(ask(router.listen, "before").status, 200);
    let probes = || {
        let of_reader = |seen: &Seen| matches!(seen, Seen::Probed { worker } if worker == "r-1");
        router.floor.seen().iter().filter(|seen| of_reader(seen)).count()
    };
    // Long enough for the prefill worker to be probed before the next prefill.
    std::thread::sleep(Duration::from_millis(1_200));
    relay.silence_open_connections();
    let (before, began) = (probes(), Instant::now());
    let asked = std::thread::spawn({
        let listen = router.listen;
        move || ask(listen, "after")
    });
    until("the prefill worker is probed on a new connection", || probes() > before);
    assert!(began.elapsed() < Duration::from_millis(2_800), "after {:?}", began.elapsed());
    // The prefill itself may go out on an idle connection, and is then cancelled and retried.
    assert_eq!(asked.join().expect("no panic").status, 200);
}
