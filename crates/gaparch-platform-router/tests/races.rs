//! Two events at the same time, their order forced by scripted peers: a drain and a connection that comes up,
//! a moved discovery service and the delay between two attempts, a response and what comes late behind it.

mod common;

use common::{ms, put, RunningRouter};
use gaparch_platform_router::Command;
use gaparch_testbed::platform::{
    ask, head_and_body, instance, judge, read, stream, until, Catalogue, Facts, Got, Platform, Seen, Step,
    Stuck, LONG,
};
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// What a loaded machine may add.
const SLACK: Duration = Duration::from_millis(300);

/// Connecting may take long, and the drain grace period is longer still.
fn patient(config: &mut Value) {
    let settings = &mut config["settings"];
    settings["caps"]["connectTimeoutNs"] = json!(3_500_000_000u64);
    settings["rules"]["stopSendingWithinNs"] = json!(10_000_000_000u64);
    settings["familyInfo"]["releaseWithinNs"] = json!(8_000_000_000u64);
}

/// The full list with a decode worker to which connections come up late in place of the usual ones.
fn with_late_writer(router: &RunningRouter, late: &Stuck) -> Vec<Value> {
    let mut entry = instance(&router.writers[0], "decode", "ready");
    entry["instanceId"] = json!("w-late");
    entry["hostPort"] = json!(late.address.to_string());
    [Platform::without_writers(&Platform::list(&router.readers, &router.writers)), vec![entry]].concat()
}

/// A client whose request is prefilled, and waits for its connection to the late decode worker.
fn waiting_for(router: &RunningRouter, late: &Stuck, txn: &str) -> TcpStream {
    router.tell(with_late_writer(router, late));
    let mut client = TcpStream::connect(router.listen).expect("it listens");
    client.write_all(&head_and_body(txn, "{}")).expect("written");
    until("it is prefilled", || router.floor.asked().iter().any(|(_, of)| of == txn));
    std::thread::sleep(ms(200));
    client
}

#[test]
fn an_attempt_states_the_time_that_is_left_when_its_connection_is_up() {
    let router = RunningRouter::with(patient);
    let late = Stuck::start();
    let began = Instant::now();
    let _client = waiting_for(&router, &late, "told");
    let heard = late.heard_within(ms(2500));
    let told = heard.lines().find_map(|line| line.strip_prefix("X-Remaining-Ms: ")).expect("it is sent");
    let told: u64 = told.trim().parse().expect("a number");
    // The queue lets a second connection up a second after the first at the earliest.
    assert!(began.elapsed() > ms(700));
    assert!(told <= 5000 - 700, "{told} ms are stated, and the connection took longer than 700 ms");
}

#[test]
fn a_drain_listed_while_the_connection_comes_up_stops_the_send() {
    let router = RunningRouter::with(patient);
    let late = Stuck::start();
    let _client = waiting_for(&router, &late, "drained");
    let mut list = with_late_writer(&router, &late);
    list.iter_mut().for_each(|entry| {
        // No other has capacity, or the attempt would be cancelled for that one.
        let writer = entry["machineType"] == json!("decode");
        entry["lifecycle"] = json!(if writer { "draining" } else { "ready" });
    });
    router.tell(list);
    let heard = late.heard_within(ms(2500));
    assert!(!heard.contains("POST"), "sent to a draining decode worker: {heard}");
}

/// The connection may take 3.5 s, the KV cache has to be released within one.
#[test]
fn the_kv_cache_is_released_in_time_though_a_connection_is_still_coming_up() {
    let router = RunningRouter::with(|config| {
        patient(config);
        config["settings"]["familyInfo"]["releaseWithinNs"] = json!(1_000_000_000u64);
    });
    let late = Stuck::start();
    let mut client = waiting_for(&router, &late, "pinned");
    until("the KV cache is released", || router.released("pinned"));
    let log = router.floor.log();
    let first = |of: fn(&Seen) -> bool| log.iter().find(|(_, seen)| of(seen)).expect("it is there").0;
    let read_at = first(|seen| matches!(seen, Seen::Asked { .. }));
    let held = first(|seen| matches!(seen, Seen::Released { .. })) - read_at;
    assert!(held < ms(1000) + SLACK, "{held:?}");
    assert!(matches!(read(&mut client, LONG).status, 429 | 503));
    assert!(!late.heard_within(ms(2500)).contains("POST"));
}

/// First attempts and retries, prefill and decode, however long the request was queued before them.
#[test]
fn every_attempt_states_at_most_the_time_that_its_client_has_left() {
    let router = RunningRouter::with(|_| {});
    let list = Platform::list(&router.readers, &router.writers);
    let mut facts = Facts::default();
    // The second prefill and the second decode attempt are retries.
    router.readers[0].then(vec![Step::Wait(ms(300)), Step::Close]);
    router.next_write(&[Step::Wait(ms(300)), Step::Close]);
    for (number, held) in [0, 700].into_iter().enumerate() {
        let txn = format!("told-{number}");
        if held > 0 {
            router.tell(Platform::without_writers(&list));
        }
        let mut client = TcpStream::connect(router.listen).expect("it listens");
        client.write_all(&head_and_body(&txn, "{}")).expect("written");
        facts.due.insert(txn, Instant::now() + ms(5000));
        if held > 0 {
            std::thread::sleep(ms(held));
            router.tell(list.clone());
        }
        assert_eq!(read(&mut client, LONG).status, 200);
    }
    let log = router.floor.log();
    let attempts = log.iter().filter(|(_, seen)| matches!(seen, Seen::Asked { .. })).count();
    assert_eq!(attempts, 6, "{log:?}");
    assert_eq!(judge(&log, &facts), Vec::<String>::new());
}

/// A release frees all that is held for a request, also what is just being prefilled again.
#[test]
fn a_second_prefill_does_not_overtake_the_release_of_the_first() {
    let router = RunningRouter::with(|_| {});
    router.floor.slow_releases(ms(50));
    router.readers[0].then(vec![Step::Close]);
    assert_eq!(ask(router.listen, "again").status, 200);
    let order: Vec<&str> = router
        .floor
        .seen()
        .iter()
        .filter_map(|seen| match seen {
            Seen::Asked { worker, .. } if worker.starts_with("r-") => Some("read"),
            Seen::Asked { .. } => Some("write"),
            Seen::Released { .. } => Some("release"),
            _ => None,
        })
        .collect();
    assert_eq!(order[..4], ["read", "release", "read", "write"], "{order:?}");
}

/// Its first byte comes late on its connection, and the rest a little later.
#[test]
fn a_first_request_that_begins_late_and_comes_in_pieces_is_served() {
    let router = RunningRouter::with(|_| {});
    let mut client = TcpStream::connect(router.listen).expect("it listens");
    let request = head_and_body("pieces", "{}");
    std::thread::sleep(ms(1700));
    client.write_all(&request[..40]).expect("written");
    std::thread::sleep(ms(500));
    client.write_all(&request[40..]).expect("written");
    assert_eq!(read(&mut client, LONG).status, 200);
}

/// Two hundred clients wait for a decode worker. They disconnect as decode workers are listed again, in both
/// orders: the owner has all of their requests, their disconnects and the list to handle at once.
#[test]
fn requests_of_clients_that_disconnect_as_decode_workers_come_back_are_not_forwarded() {
    for disconnect_first in [true, false] {
        let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(1024));
        let list = Platform::list(&router.readers, &router.writers);
        router.tell(Platform::without_writers(&list));
        let waiting: Vec<(String, TcpStream)> = (0..200)
            .map(|number| {
                let txn = format!("left-{number}");
                let mut client = TcpStream::connect(router.listen).expect("it listens");
                client.write_all(&head_and_body(&txn, "{}")).expect("written");
                (txn, client)
            })
            .collect();
        assert_eq!(router.health(), 200);
        if !disconnect_first {
            router.catalogue.set(list.clone());
            until("the first is forwarded", || !router.floor.asked().is_empty());
        }
        let mut facts = Facts::default();
        for (txn, client) in waiting {
            drop(client);
            facts.left.insert(txn, Instant::now());
        }
        if disconnect_first {
            router.catalogue.set(list);
        }
        until("others are served", || ask(router.listen, "next").status == 200);
        let log = router.floor.log();
        assert_eq!(judge(&log, &facts), Vec::<String>::new(), "they disconnect first: {disconnect_first}");
        let lag = |(at, seen): &(Instant, Seen)| match seen {
            Seen::Asked { txn, .. } => Some(at.saturating_duration_since(*facts.left.get(txn)?)),
            _ => None,
        };
        let worst = log.iter().filter_map(lag).max();
        println!("from a close to the last send, they disconnect first: {disconnect_first}: {worst:?}");
    }
}

/// Generations are those of one service. The address changes while nothing is requested: between two
/// attempts.
#[test]
fn a_discovery_service_that_moves_between_two_attempts_is_asked_for_its_full_list() {
    let router = RunningRouter::with(|_| {});
    let mut list = Platform::list(&router.readers, &router.writers);
    (list[0]["lifecycle"], list[2]["lifecycle"]) = (json!("draining"), json!("draining"));
    // Of the same generation as the old one, and another list.
    let new = Catalogue::start(list);
    router.catalogue.silent(true);
    let given_up = router.catalogue.given_up();
    // Its first connection is the silent watch; the pause after the second is as good as any.
    until("a connection is given up", || router.catalogue.given_up() > given_up);
    let mut config = router.config.clone();
    config["discovery"] = json!(new.address.to_string());
    std::fs::write(&router.file, config.to_string()).expect("written");
    router.send(Command::Reload);
    until("the new one is asked", || new.calls() > 1);
    for number in 0..6 {
        assert_eq!(ask(router.listen, &format!("txn-{number}")).status, 200);
    }
    let drained = ["r-1", "w-1"];
    let asked = router.floor.asked();
    assert!(asked.iter().all(|(worker, _)| !drained.contains(&worker.as_str())), "{asked:?}");
}

/// A change that counts as known 6 s after the watch fell silent is received, though two connections after it
/// stay silent, too.
#[test]
fn a_change_is_received_in_time_past_two_connections_that_stay_silent() {
    let router = RunningRouter::with(|_| {});
    let mut list = Platform::list(&router.readers, &router.writers);
    (list[0]["lifecycle"], list[2]["lifecycle"]) = (json!("draining"), json!("draining"));
    router.catalogue.silent(true);
    let (from, calls) = (Instant::now(), router.catalogue.calls());
    router.catalogue.set(list);
    router.catalogue.silent_on_next(2);
    router.catalogue.silent(false);
    until("the list is requested", || router.catalogue.calls() > calls);
    assert!(from.elapsed() < ms(6000), "{:?}", from.elapsed());
}

/// A stream for another client, as a second response that went astray would be.
fn foreign() -> String {
    let event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"foreign\"}}]}\n\n".to_owned();
    String::from_utf8(stream(&[event, "data: [DONE]\n\n".to_owned()])).expect("text")
}

#[test]
fn a_second_answer_some_milliseconds_late_is_nobodys_answer() {
    let router = RunningRouter::with(|_| {});
    let mut entries = Platform::list(&router.readers, &router.writers);
    (entries[1]["lifecycle"], entries[3]["lifecycle"]) = (json!("draining"), json!("draining"));
    router.tell(entries);
    let own = String::from_utf8(stream(&gaparch_testbed::platform::events())).expect("text");
    let late = vec![put(&own), Step::Wait(ms(6)), put(&foreign())];
    let mut client = TcpStream::connect(router.listen).expect("it listens");
    for number in 0..30 {
        router.next_write(&late);
        client.write_all(&head_and_body(&format!("txn-{number}"), "{}")).expect("written");
        let got: Got = read(&mut client, LONG);
        assert!(got.whole && got.status == 200, "{got:?}");
        assert!(!String::from_utf8_lossy(&got.body).contains("foreign"), "{number}: another's answer");
    }
}

/// The id of a request is taken for as long as an attempt of it is in flight, though its client has
/// disconnected.
#[test]
fn an_id_is_free_only_once_no_attempt_of_it_is_in_flight() {
    // Attempts can't be cancelled here.
    let router = RunningRouter::with(|config| config["settings"]["caps"]["cancel"] = json!(false));
    router.readers[0].then(vec![Step::Hang]);
    let mut client = TcpStream::connect(router.listen).expect("it listens");
    client.write_all(&head_and_body("twice", "{}")).expect("written");
    let reads = || router.floor.asked().iter().filter(|(_, txn)| txn == "twice").count();
    until("it is being prefilled", || reads() == 1);
    drop(client);
    std::thread::sleep(ms(100));
    assert_eq!(ask(router.listen, "twice").status, 409);
    until("its id is free", || ask(router.listen, "twice").status == 200);
    router.no_second_copies();
}

/// However many connections keep coming, a router that was ordered to shut down does so.
#[test]
fn a_flood_of_connections_does_not_delay_the_shutdown() {
    static OVER: AtomicBool = AtomicBool::new(false);
    let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(64));
    let listen = router.listen;
    let flood: Vec<_> = (0..4)
        .map(|_| {
            std::thread::spawn(move || {
                let mut open = Vec::new();
                while !OVER.load(Ordering::Relaxed) && open.len() < 1000 {
                    match TcpStream::connect_timeout(&listen, ms(100)) {
                        Ok(socket) => open.push(socket),
                        Err(_) => std::thread::sleep(ms(1)),
                    }
                }
                while !OVER.load(Ordering::Relaxed) {
                    std::thread::sleep(ms(10));
                }
            })
        })
        .collect();
    std::thread::sleep(ms(300));
    let from = Instant::now();
    router.send(Command::Shutdown);
    router.wait_for_shutdown();
    let took = from.elapsed();
    OVER.store(true, Ordering::Relaxed);
    flood.into_iter().for_each(|thread| thread.join().expect("no panic"));
    assert!(took < ms(4000) + SLACK, "{took:?}");
}

/// A client was in the middle of its request as the router was ordered to shut down. What would be accepted
/// so late could still run when the process is killed: it is rejected, and nothing is sent for it.
#[test]
fn a_request_whose_last_byte_comes_long_after_the_shutdown_was_ordered_is_rejected() {
    let router = RunningRouter::with(|_| {});
    // A stream that outlasts the late request keeps the router running.
    let event = &gaparch_testbed::platform::events()[0];
    let first =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n", event.len());
    router.next_write(&[put(&first), Step::Wait(ms(2500)), put("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")]);
    let mut streaming = TcpStream::connect(router.listen).expect("it listens");
    streaming.write_all(&head_and_body("streaming", "{}")).expect("written");
    until("its decode attempt is sent", || router.writes("streaming") == 1);
    router.send(Command::Shutdown);
    std::thread::sleep(ms(300));
    let mut late = TcpStream::connect(router.listen).expect("connections still arrive");
    let whole = head_and_body("late", "{}");
    late.write_all(&whole[..60]).expect("it is open");
    std::thread::sleep(ms(600));
    late.write_all(&whole[60..]).expect("it is open");
    let got = read(&mut late, LONG);
    assert_eq!(got.status, 503, "taken 0.9 s after the shutdown was ordered: {got:?}");
    assert!(router.floor.asked().iter().all(|(_, txn)| txn != "late"), "something was sent for it");
    let got = read(&mut streaming, LONG);
    assert!(got.status == 200 && got.whole, "the stream that was open is forwarded to its end: {got:?}");
    router.wait_for_shutdown();
}

/// The file is still being written as the router is ordered to read it, or can't be opened for a moment. The
/// old discovery service will close: without the new one the router would receive no change any more.
#[test]
fn a_configuration_that_is_half_written_as_it_is_read_is_read_again() {
    let router = RunningRouter::with(|_| {});
    let moved = Catalogue::start(Platform::list(&router.readers, &router.writers));
    std::fs::write(&router.file, "{\"name\":\"n0\",").expect("written");
    router.send(Command::Reload);
    std::thread::sleep(ms(200));
    let mut config = router.config.clone();
    config["discovery"] = json!(moved.address.to_string());
    std::fs::write(&router.file, config.to_string()).expect("written");
    until("the new service is asked", || moved.calls() > 0);
    assert_eq!(ask(router.listen, "next").status, 200);
}
