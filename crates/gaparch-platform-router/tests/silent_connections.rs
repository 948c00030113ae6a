//! Open connections that fall silent with no error: what is sent on them never arrives, and nobody says so.

mod common;

use common::Site;
use gaparch_testbed::platform::{ask, head_and_body, instance, until, Platform, Seen, SilentRelay, Step};
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The settings' release time and what the platform adds to it.
const RELEASE_WITHIN: Duration = Duration::from_millis(500 + 300);

/// When a worker first saw something of a request that fits.
fn first(site: &Site, fits: impl Fn(&Seen) -> bool) -> Option<Instant> {
    site.floor.log().into_iter().find(|(_, seen)| fits(seen)).map(|(at, _)| at)
}

/// The only writer's kept connections fall silent between two requests. A write that has not arrived is not out: what the
/// reader holds is fetched or let go of in its time all the same.
#[test]
fn what_was_read_is_not_pinned_by_a_write_on_a_connection_that_fell_silent() {
    let site = Site::with(|_| {});
    let relay = SilentRelay::start(site.writers[0].address);
    let mut entry = instance(&site.writers[0], "decode", "ready");
    entry["hostPort"] = json!(relay.address.to_string());
    site.tell(
        [Platform::without_writers(&Platform::list(&site.readers, &site.writers)), vec![entry]].concat(),
    );
    assert_eq!(ask(site.listen, "before").status, 200);
    // Past the time in which a late second answer could still come on it.
    std::thread::sleep(Duration::from_millis(100));
    relay.silence_open_connections();
    let asked = std::thread::spawn({
        let listen = site.listen;
        move || ask(listen, "after")
    });
    let read = |seen: &Seen| matches!(seen, Seen::Asked { worker, txn, .. } if txn == "after" && worker.starts_with('r'));
    until("it is read", || first(&site, read).is_some());
    let done = |seen: &Seen| match seen {
        Seen::Asked { worker, txn, .. } => txn == "after" && worker.starts_with('w'),
        Seen::Released { txn, .. } => txn == "after",
        _ => false,
    };
    until("its state is fetched or let go of", || first(&site, done).is_some());
    let held = first(&site, done).expect("done") - first(&site, read).expect("read");
    assert!(held < RELEASE_WITHIN, "held for {held:?}");
    assert_eq!(asked.join().expect("no panic").status, 200);
    site.no_second_copies();
}

/// All kept connections fall silent at once, two to each worker, and a client leaves while its prompt is being read. What
/// its read leaves is let go of in its time: by then some worker has to have heard of it.
#[test]
fn a_release_reaches_a_worker_though_all_kept_connections_fell_silent() {
    let site = Site::with(|_| {});
    let workers = site.readers.iter().chain(&site.writers);
    let relays: Vec<SilentRelay> = workers.map(|worker| SilentRelay::start(worker.address)).collect();
    let mut list = Platform::list(&site.readers, &site.writers);
    for (entry, relay) in list.iter_mut().zip(&relays) {
        entry["hostPort"] = json!(relay.address.to_string());
    }
    site.tell(list);
    site.floor.slow_releases(Duration::from_millis(5));
    std::thread::scope(|all| {
        for number in 0..24 {
            let listen = site.listen;
            all.spawn(move || assert_eq!(ask(listen, &format!("before-{number}")).status, 200));
        }
    });
    std::thread::sleep(Duration::from_millis(100));
    site.readers[0].then(vec![Step::Wait(Duration::from_millis(300)), Step::Hang]);
    let mut client = TcpStream::connect(site.listen).expect("it listens");
    client.write_all(&head_and_body("leaves", "{}")).expect("written");
    until("it is being read", || site.floor.asked().iter().any(|(_, txn)| txn == "leaves"));
    relays.iter().for_each(SilentRelay::silence_open_connections);
    drop(client);
    let left = Instant::now();
    let released = |seen: &Seen| matches!(seen, Seen::Released { txn, .. } if txn == "leaves");
    until("what was read is let go of", || first(&site, released).is_some());
    let held = first(&site, released).expect("done") - left;
    assert!(held < RELEASE_WITHIN, "held for {held:?}");
}

/// A worker behind kept connections that fell silent answers probes: one on a kept connection leaves time for a new one.
#[test]
fn a_probe_on_a_connection_that_fell_silent_is_asked_again_on_a_new_one() {
    // A probe has as long as a connection: 3 s here, so that half of it is told apart from all of it on a busy machine.
    let site = Site::with(|config| {
        let settings = &mut config["settings"];
        settings["caps"]["connectTimeoutNs"] = json!(3_000_000_000u64);
        settings["rules"]["stopSendingWithinNs"] = json!(10_000_000_000u64);
    });
    let relay = SilentRelay::start(site.readers[0].address);
    let mut list = Platform::list(&site.readers, &site.writers);
    list.remove(1);
    list[0]["hostPort"] = json!(relay.address.to_string());
    site.tell(list);
    assert_eq!(ask(site.listen, "before").status, 200);
    let probes = || {
        let of_reader = |seen: &Seen| matches!(seen, Seen::Probed { worker } if worker == "r-1");
        site.floor.seen().iter().filter(|seen| of_reader(seen)).count()
    };
    // Long enough for the reader to be probed before the next read.
    std::thread::sleep(Duration::from_millis(1_200));
    relay.silence_open_connections();
    let (before, began) = (probes(), Instant::now());
    let asked = std::thread::spawn({
        let listen = site.listen;
        move || ask(listen, "after")
    });
    until("the reader is probed on a new connection", || probes() > before);
    assert!(began.elapsed() < Duration::from_millis(2_800), "after {:?}", began.elapsed());
    // The read itself may go out on a kept connection, and is then called off and made again.
    assert_eq!(asked.join().expect("no panic").status, 200);
}
