//! Two things in the same moment, their order forced by scripted peers: a drain and a connection that comes up, a moved
//! catalogue and the pause between two tries, an answer and what comes late behind it.

mod common;

use common::{ms, put, Site};
use gaparch_platform_router::Order;
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

/// Connections may take long, and a drain's grace is longer still.
fn patient(config: &mut Value) {
    let settings = &mut config["settings"];
    settings["caps"]["connectTimeoutNs"] = json!(3_500_000_000u64);
    settings["rules"]["stopSendingWithinNs"] = json!(10_000_000_000u64);
    settings["familyInfo"]["releaseWithinNs"] = json!(8_000_000_000u64);
}

/// The whole list with a writer to which connections come up late in place of the usual ones.
fn with_late_writer(site: &Site, late: &Stuck) -> Vec<Value> {
    let mut entry = instance(&site.writers[0], "decode", "ready");
    entry["instanceId"] = json!("w-late");
    entry["hostPort"] = json!(late.address.to_string());
    [Platform::without_writers(&Platform::list(&site.readers, &site.writers)), vec![entry]].concat()
}

/// A client whose request was read, and waits for its connection to the late writer.
fn waiting_for(site: &Site, late: &Stuck, txn: &str) -> TcpStream {
    site.tell(with_late_writer(site, late));
    let mut client = TcpStream::connect(site.listen).expect("it listens");
    client.write_all(&head_and_body(txn, "{}")).expect("written");
    until("it is read", || site.floor.asked().iter().any(|(_, of)| of == txn));
    std::thread::sleep(ms(200));
    client
}

#[test]
fn an_attempt_tells_its_worker_what_is_left_when_its_connection_is_up() {
    let site = Site::with(patient);
    let late = Stuck::start();
    let began = Instant::now();
    let _client = waiting_for(&site, &late, "told");
    let heard = late.heard_within(ms(2500));
    let told = heard.lines().find_map(|line| line.strip_prefix("X-Remaining-Ms: ")).expect("it is sent");
    let told: u64 = told.trim().parse().expect("a number");
    // The queue lets a second connection up a second after the first at the earliest.
    assert!(began.elapsed() > ms(700));
    assert!(told <= 5000 - 700, "{told} ms are told, and the connection took longer than 700 ms");
}

#[test]
fn a_drain_told_while_the_connection_comes_up_stops_the_send() {
    let site = Site::with(patient);
    let late = Stuck::start();
    let _client = waiting_for(&site, &late, "drained");
    let mut list = with_late_writer(&site, &late);
    list.iter_mut().for_each(|entry| {
        // No other has room, or the attempt would be called off for that one.
        let writer = entry["machineType"] == json!("decode");
        entry["lifecycle"] = json!(if writer { "draining" } else { "ready" });
    });
    site.tell(list);
    let heard = late.heard_within(ms(2500));
    assert!(!heard.contains("POST"), "sent to a drained writer: {heard}");
}

/// The connection may take 3.5 s, what was read has to be let go of within one.
#[test]
fn what_was_read_is_let_go_of_in_time_though_a_connection_is_still_coming_up() {
    let site = Site::with(|config| {
        patient(config);
        config["settings"]["familyInfo"]["releaseWithinNs"] = json!(1_000_000_000u64);
    });
    let late = Stuck::start();
    let mut client = waiting_for(&site, &late, "pinned");
    until("what was read is let go of", || site.released("pinned"));
    let log = site.floor.log();
    let first = |of: fn(&Seen) -> bool| log.iter().find(|(_, seen)| of(seen)).expect("it is there").0;
    let read_at = first(|seen| matches!(seen, Seen::Asked { .. }));
    let held = first(|seen| matches!(seen, Seen::Released { .. })) - read_at;
    assert!(held < ms(1000) + SLACK, "{held:?}");
    assert!(matches!(read(&mut client, LONG).status, 429 | 503));
    assert!(!late.heard_within(ms(2500)).contains("POST"));
}

/// First attempts and further ones, reads and writes, however long the request was held before them.
#[test]
fn every_attempt_tells_its_worker_at_most_what_its_client_has_left() {
    let site = Site::with(|_| {});
    let list = Platform::list(&site.readers, &site.writers);
    let mut facts = Facts::default();
    // The second read and the second write are further attempts.
    site.readers[0].then(vec![Step::Wait(ms(300)), Step::Close]);
    site.next_write(&[Step::Wait(ms(300)), Step::Close]);
    for (number, held) in [0, 700].into_iter().enumerate() {
        let txn = format!("told-{number}");
        if held > 0 {
            site.tell(Platform::without_writers(&list));
        }
        let mut client = TcpStream::connect(site.listen).expect("it listens");
        client.write_all(&head_and_body(&txn, "{}")).expect("written");
        facts.due.insert(txn, Instant::now() + ms(5000));
        if held > 0 {
            std::thread::sleep(ms(held));
            site.tell(list.clone());
        }
        assert_eq!(read(&mut client, LONG).status, 200);
    }
    let log = site.floor.log();
    let attempts = log.iter().filter(|(_, seen)| matches!(seen, Seen::Asked { .. })).count();
    assert_eq!(attempts, 6, "{log:?}");
    assert_eq!(judge(&log, &facts), Vec::<String>::new());
}

/// A release lets go of all that is held for a request, also of what is just being read again.
#[test]
fn a_second_read_does_not_overtake_the_release_of_the_first() {
    let site = Site::with(|_| {});
    site.floor.slow_releases(ms(50));
    site.readers[0].then(vec![Step::Close]);
    assert_eq!(ask(site.listen, "again").status, 200);
    let order: Vec<&str> = site
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
    let site = Site::with(|_| {});
    let mut client = TcpStream::connect(site.listen).expect("it listens");
    let request = head_and_body("pieces", "{}");
    std::thread::sleep(ms(1700));
    client.write_all(&request[..40]).expect("written");
    std::thread::sleep(ms(500));
    client.write_all(&request[40..]).expect("written");
    assert_eq!(read(&mut client, LONG).status, 200);
}

/// Two hundred clients wait for a writer. They leave as writers are listed again, in both orders: the owner has all of
/// their requests, their leaving and the list to take at once.
#[test]
fn clients_that_leave_as_writers_come_back_are_not_sent_on() {
    for leave_first in [true, false] {
        let site = Site::with(|config| config["limits"]["sockets"] = json!(1024));
        let list = Platform::list(&site.readers, &site.writers);
        site.tell(Platform::without_writers(&list));
        let waiting: Vec<(String, TcpStream)> = (0..200)
            .map(|number| {
                let txn = format!("left-{number}");
                let mut client = TcpStream::connect(site.listen).expect("it listens");
                client.write_all(&head_and_body(&txn, "{}")).expect("written");
                (txn, client)
            })
            .collect();
        assert_eq!(site.health(), 200);
        if !leave_first {
            site.catalogue.set(list.clone());
            until("the first is sent on", || !site.floor.asked().is_empty());
        }
        let mut facts = Facts::default();
        for (txn, client) in waiting {
            drop(client);
            facts.left.insert(txn, Instant::now());
        }
        if leave_first {
            site.catalogue.set(list);
        }
        until("others are served", || ask(site.listen, "next").status == 200);
        let log = site.floor.log();
        assert_eq!(judge(&log, &facts), Vec::<String>::new(), "they leave first: {leave_first}");
        let lag = |(at, seen): &(Instant, Seen)| match seen {
            Seen::Asked { txn, .. } => Some(at.saturating_duration_since(*facts.left.get(txn)?)),
            _ => None,
        };
        let worst = log.iter().filter_map(lag).max();
        println!("from a close to the last send, they leave first: {leave_first}: {worst:?}");
    }
}

/// Generations are one agent's. The address changes while nothing is asked: between two tries.
#[test]
fn a_catalogue_that_moves_between_two_tries_is_asked_for_its_whole_list() {
    let site = Site::with(|_| {});
    let mut list = Platform::list(&site.readers, &site.writers);
    (list[0]["lifecycle"], list[2]["lifecycle"]) = (json!("draining"), json!("draining"));
    // Of the same generation as the old one, and another list.
    let new = Catalogue::start(list);
    site.catalogue.silent(true);
    let given_up = site.catalogue.given_up();
    // Its first connection is the silent watch; the pause after the second is as good as any.
    until("a connection is given up", || site.catalogue.given_up() > given_up);
    let mut config = site.config.clone();
    config["discovery"] = json!(new.address.to_string());
    std::fs::write(&site.file, config.to_string()).expect("written");
    site.order(Order::Reload);
    until("the new one is asked", || new.calls() > 1);
    for number in 0..6 {
        assert_eq!(ask(site.listen, &format!("txn-{number}")).status, 200);
    }
    let drained = ["r-1", "w-1"];
    let asked = site.floor.asked();
    assert!(asked.iter().all(|(worker, _)| !drained.contains(&worker.as_str())), "{asked:?}");
}

/// What counts as told 6 s after the watch fell silent is heard, though two connections after it stay silent, too.
#[test]
fn a_change_is_heard_in_time_past_two_connections_that_stay_silent() {
    let site = Site::with(|_| {});
    let mut list = Platform::list(&site.readers, &site.writers);
    (list[0]["lifecycle"], list[2]["lifecycle"]) = (json!("draining"), json!("draining"));
    site.catalogue.silent(true);
    let (from, calls) = (Instant::now(), site.catalogue.calls());
    site.catalogue.set(list);
    site.catalogue.silent_on_next(2);
    site.catalogue.silent(false);
    until("the list is told", || site.catalogue.calls() > calls);
    assert!(from.elapsed() < ms(6000), "{:?}", from.elapsed());
}

/// A stream for another client, as a spoilt second answer would be.
fn foreign() -> String {
    let event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"foreign\"}}]}\n\n".to_owned();
    String::from_utf8(stream(&[event, "data: [DONE]\n\n".to_owned()])).expect("text")
}

#[test]
fn a_second_answer_some_milliseconds_late_is_nobodys_answer() {
    let site = Site::with(|_| {});
    let mut entries = Platform::list(&site.readers, &site.writers);
    (entries[1]["lifecycle"], entries[3]["lifecycle"]) = (json!("draining"), json!("draining"));
    site.tell(entries);
    let own = String::from_utf8(stream(&gaparch_testbed::platform::events())).expect("text");
    let late = vec![put(&own), Step::Wait(ms(6)), put(&foreign())];
    let mut client = TcpStream::connect(site.listen).expect("it listens");
    for number in 0..30 {
        site.next_write(&late);
        client.write_all(&head_and_body(&format!("txn-{number}"), "{}")).expect("written");
        let got: Got = read(&mut client, LONG);
        assert!(got.whole && got.status == 200, "{got:?}");
        assert!(!String::from_utf8_lossy(&got.body).contains("foreign"), "{number}: another's answer");
    }
}

/// The id of a request is taken for as long as an attempt of it is out, though its client has left.
#[test]
fn an_id_is_free_only_once_no_attempt_of_it_is_out() {
    // Attempts can't be called off here.
    let site = Site::with(|config| config["settings"]["caps"]["cancel"] = json!(false));
    site.readers[0].then(vec![Step::Hang]);
    let mut client = TcpStream::connect(site.listen).expect("it listens");
    client.write_all(&head_and_body("twice", "{}")).expect("written");
    let reads = || site.floor.asked().iter().filter(|(_, txn)| txn == "twice").count();
    until("it is being read", || reads() == 1);
    drop(client);
    std::thread::sleep(ms(100));
    assert_eq!(ask(site.listen, "twice").status, 409);
    until("its id is free", || ask(site.listen, "twice").status == 200);
    site.no_second_copies();
}

/// However many connections keep coming, a router that was told to end does so.
#[test]
fn a_flood_of_connections_does_not_hold_up_the_end() {
    static OVER: AtomicBool = AtomicBool::new(false);
    let site = Site::with(|config| config["limits"]["sockets"] = json!(64));
    let listen = site.listen;
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
    site.order(Order::Shutdown);
    site.ended();
    let took = from.elapsed();
    OVER.store(true, Ordering::Relaxed);
    flood.into_iter().for_each(|thread| thread.join().expect("no panic"));
    assert!(took < ms(4000) + SLACK, "{took:?}");
}

/// A client was in the middle of its request as the router was told to end. What would be taken so late could still be
/// under way when the process is killed: it is refused, and nothing is sent for it.
#[test]
fn a_request_whose_last_byte_comes_long_after_the_end_was_ordered_is_refused() {
    let site = Site::with(|_| {});
    // A stream that outlasts the late request keeps the router from its end.
    let event = &gaparch_testbed::platform::events()[0];
    let first =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n", event.len());
    site.next_write(&[put(&first), Step::Wait(ms(2500)), put("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")]);
    let mut streaming = TcpStream::connect(site.listen).expect("it listens");
    streaming.write_all(&head_and_body("streaming", "{}")).expect("written");
    until("it is being written", || site.writes("streaming") == 1);
    site.order(Order::Shutdown);
    std::thread::sleep(ms(300));
    let mut late = TcpStream::connect(site.listen).expect("connections still arrive");
    let whole = head_and_body("late", "{}");
    late.write_all(&whole[..60]).expect("it is open");
    std::thread::sleep(ms(600));
    late.write_all(&whole[60..]).expect("it is open");
    let got = read(&mut late, LONG);
    assert_eq!(got.status, 503, "taken 0.9 s after the end was ordered: {got:?}");
    assert!(site.floor.asked().iter().all(|(_, txn)| txn != "late"), "something was sent for it");
    let got = read(&mut streaming, LONG);
    assert!(got.status == 200 && got.whole, "the stream that was open is passed on to its end: {got:?}");
    site.ended();
}

/// The file is still being written as the router is told to read it, or can't be opened for a moment. The old catalogue
/// will close: without the new one the router would hear of nothing any more.
#[test]
fn a_configuration_that_is_half_written_as_it_is_read_is_read_again() {
    let site = Site::with(|_| {});
    let moved = Catalogue::start(Platform::list(&site.readers, &site.writers));
    std::fs::write(&site.file, "{\"name\":\"n0\",").expect("written");
    site.order(Order::Reload);
    std::thread::sleep(ms(200));
    let mut config = site.config.clone();
    config["discovery"] = json!(moved.address.to_string());
    std::fs::write(&site.file, config.to_string()).expect("written");
    until("the new catalogue is asked", || moved.calls() > 0);
    assert_eq!(ask(site.listen, "next").status, 200);
}
