//! Tests races between two events, whose order scripted peers enforce: a drain and a connection being
//! established, a move of the discovery service and the delay between two attempts, a response and stray
//! bytes behind it.

mod common;

use common::{ms, put, RunningRouter};
use gaparch_platform_router::Command;
use gaparch_testbed::platform::{
    ask, find_breaches, head_and_body, instance, read, stream, until, DiscoveryService, FullBacklog,
    Platform, Response, Step, TestActions, WorkerEvent, LONG,
};
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Tolerance for a loaded machine.
const SLACK: Duration = Duration::from_millis(300);

/// Allows a long connect timeout, and an even longer drain grace period.
fn with_long_connect_timeout(config: &mut Value) {
    let settings = &mut config["settings"];
    settings["caps"]["connectTimeoutNs"] = json!(3_500_000_000u64);
    settings["rules"]["stopSendingWithinNs"] = json!(10_000_000_000u64);
    settings["familyInfo"]["releaseWithinNs"] = json!(8_000_000_000u64);
}

/// Returns the full list with one decode worker, which accepts connections late, in place of the usual ones.
fn list_with_late_decode_worker(router: &RunningRouter, late: &FullBacklog) -> Vec<Value> {
    let mut entry = instance(&router.decode_workers[0], "decode", "ready");
    entry["instanceId"] = json!("w-late");
    entry["hostPort"] = json!(late.address.to_string());
    [
        Platform::without_decode_workers(&Platform::list(&router.prefill_workers, &router.decode_workers)),
        vec![entry],
    ]
    .concat()
}

/// Connects a client whose request is prefilled and waits for a connection to the late decode worker.
fn client_waiting_for(router: &RunningRouter, late: &FullBacklog, txn: &str) -> TcpStream {
    router.publish_list(list_with_late_decode_worker(router, late));
    let mut client = TcpStream::connect(router.listen).expect("connected");
    client.write_all(&head_and_body(txn, "{}")).expect("written");
    until("it is prefilled", || router.worker_log.requests().iter().any(|(_, of)| of == txn));
    std::thread::sleep(ms(200));
    client
}

#[test]
fn an_attempt_states_the_time_that_is_left_when_its_connection_is_up() {
    let router = RunningRouter::with(with_long_connect_timeout);
    let late = FullBacklog::start();
    let started_at = Instant::now();
    let _client = client_waiting_for(&router, &late, "told");
    let heard = late.received_within(ms(2500));
    let stated = heard.lines().find_map(|line| line.strip_prefix("X-Remaining-Ms: ")).expect("it is sent");
    let stated: u64 = stated.trim().parse().expect("a number");
    // The full accept queue delays a connection by at least a second.
    assert!(started_at.elapsed() > ms(700));
    assert!(stated <= 5000 - 700, "{stated} ms are stated, but connecting took longer than 700 ms");
}

#[test]
fn a_drain_listed_while_the_connection_comes_up_stops_the_send() {
    let router = RunningRouter::with(with_long_connect_timeout);
    let late = FullBacklog::start();
    let _client = client_waiting_for(&router, &late, "drained");
    let mut list = list_with_late_decode_worker(&router, &late);
    list.iter_mut().for_each(|entry| {
        // No other decode worker has capacity, otherwise the attempt would be cancelled in favour of it.
        let is_decode = entry["machineType"] == json!("decode");
        entry["lifecycle"] = json!(if is_decode { "draining" } else { "ready" });
    });
    router.publish_list(list);
    let heard = late.received_within(ms(2500));
    assert!(!heard.contains("POST"), "sent to a draining decode worker: {heard}");
}

/// Connecting may take 3.5 s, but the KV cache has to be released within 1 s.
#[test]
fn the_kv_cache_is_released_in_time_while_a_connection_is_being_established() {
    let router = RunningRouter::with(|config| {
        with_long_connect_timeout(config);
        config["settings"]["familyInfo"]["releaseWithinNs"] = json!(1_000_000_000u64);
    });
    let late = FullBacklog::start();
    let mut client = client_waiting_for(&router, &late, "pinned");
    until("the KV cache is released", || router.is_released("pinned"));
    let log = router.worker_log.log();
    let first_time = |matches: fn(&WorkerEvent) -> bool| {
        log.iter().find(|(_, seen)| matches(seen)).expect("a matching event").0
    };
    let prefilled_at = first_time(|seen| matches!(seen, WorkerEvent::RequestReceived { .. }));
    let held = first_time(|seen| matches!(seen, WorkerEvent::Released { .. })) - prefilled_at;
    assert!(held < ms(1000) + SLACK, "{held:?}");
    assert!(matches!(read(&mut client, LONG).status, 429 | 503));
    assert!(!late.received_within(ms(2500)).contains("POST"));
}

/// Covers first attempts and retries of prefill and decode, with and without queueing before.
#[test]
fn every_attempt_states_at_most_the_time_that_its_client_has_left() {
    let router = RunningRouter::with(|_| {});
    let list = Platform::list(&router.prefill_workers, &router.decode_workers);
    let mut actions = TestActions::default();
    // The second prefill and the second decode attempt are retries.
    router.prefill_workers[0].reply_once(vec![Step::Wait(ms(300)), Step::Close]);
    router.reply_to_next_decode(&[Step::Wait(ms(300)), Step::Close]);
    for (number, queued_ms) in [0, 700].into_iter().enumerate() {
        let txn = format!("told-{number}");
        if queued_ms > 0 {
            router.publish_list(Platform::without_decode_workers(&list));
        }
        let mut client = TcpStream::connect(router.listen).expect("connected");
        client.write_all(&head_and_body(&txn, "{}")).expect("written");
        actions.deadlines.insert(txn, Instant::now() + ms(5000));
        if queued_ms > 0 {
            std::thread::sleep(ms(queued_ms));
            router.publish_list(list.clone());
        }
        assert_eq!(read(&mut client, LONG).status, 200);
    }
    let log = router.worker_log.log();
    let attempts = log.iter().filter(|(_, seen)| matches!(seen, WorkerEvent::RequestReceived { .. })).count();
    assert_eq!(attempts, 6, "{log:?}");
    assert_eq!(find_breaches(&log, &actions), Vec::<String>::new());
}

/// A release frees everything held for a request, including the result of a second prefill. So the second
/// prefill must not be sent before the release of the first is finished.
#[test]
fn a_second_prefill_does_not_overtake_the_release_of_the_first() {
    let router = RunningRouter::with(|_| {});
    router.worker_log.slow_releases(ms(50));
    router.prefill_workers[0].reply_once(vec![Step::Close]);
    assert_eq!(ask(router.listen, "again").status, 200);
    let order: Vec<&str> = router
        .worker_log
        .events()
        .iter()
        .filter_map(|seen| match seen {
            WorkerEvent::RequestReceived { worker, .. } if worker.starts_with("r-") => Some("read"),
            WorkerEvent::RequestReceived { .. } => Some("write"),
            WorkerEvent::Released { .. } => Some("release"),
            _ => None,
        })
        .collect();
    assert_eq!(order[..4], ["read", "release", "read", "write"], "{order:?}");
}

/// The first byte of the request arrives late on its connection, and the rest a little later.
#[test]
fn a_first_request_that_begins_late_and_comes_in_pieces_is_served() {
    let router = RunningRouter::with(|_| {});
    let mut client = TcpStream::connect(router.listen).expect("connected");
    let request = head_and_body("pieces", "{}");
    std::thread::sleep(ms(1700));
    client.write_all(&request[..40]).expect("written");
    std::thread::sleep(ms(500));
    client.write_all(&request[40..]).expect("written");
    assert_eq!(read(&mut client, LONG).status, 200);
}

/// Two hundred clients wait for a decode worker, and disconnect just before or just after decode workers are
/// listed again. The owner has to handle all of their requests, their disconnects and the list at the same
/// time.
#[test]
fn requests_of_clients_that_disconnect_as_decode_workers_come_back_are_not_forwarded() {
    for disconnect_first in [true, false] {
        let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(1024));
        let list = Platform::list(&router.prefill_workers, &router.decode_workers);
        router.publish_list(Platform::without_decode_workers(&list));
        let waiting: Vec<(String, TcpStream)> = (0..200)
            .map(|number| {
                let txn = format!("left-{number}");
                let mut client = TcpStream::connect(router.listen).expect("connected");
                client.write_all(&head_and_body(&txn, "{}")).expect("written");
                (txn, client)
            })
            .collect();
        assert_eq!(router.health(), 200);
        if !disconnect_first {
            router.discovery.set_list(list.clone());
            until("the first request is forwarded", || !router.worker_log.requests().is_empty());
        }
        let mut actions = TestActions::default();
        for (txn, client) in waiting {
            drop(client);
            actions.disconnected.insert(txn, Instant::now());
        }
        if disconnect_first {
            router.discovery.set_list(list);
        }
        until("other clients are served", || ask(router.listen, "next").status == 200);
        let log = router.worker_log.log();
        assert_eq!(
            find_breaches(&log, &actions),
            Vec::<String>::new(),
            "disconnect first: {disconnect_first}"
        );
        let delay = |(at, seen): &(Instant, WorkerEvent)| match seen {
            WorkerEvent::RequestReceived { txn, .. } => {
                Some(at.saturating_duration_since(*actions.disconnected.get(txn)?))
            }
            _ => None,
        };
        let longest = log.iter().filter_map(delay).max();
        println!(
            "longest delay from a disconnect to a send, disconnect first: {disconnect_first}: {longest:?}"
        );
    }
}

/// Generations are specific to a service. The address changes between two attempts, when no request is
/// pending.
#[test]
fn a_discovery_service_that_moves_between_two_attempts_is_asked_for_its_full_list() {
    let router = RunningRouter::with(|_| {});
    let mut list = Platform::list(&router.prefill_workers, &router.decode_workers);
    (list[0]["lifecycle"], list[2]["lifecycle"]) = (json!("draining"), json!("draining"));
    // A different list with the same generation as the old one.
    let new_service = DiscoveryService::start(list);
    router.discovery.set_silent(true);
    let given_up = router.discovery.abandoned_connections();
    // The first abandoned connection is that of the silent watch. The address changes in the delay after it;
    // any later delay would do as well.
    until("a connection is abandoned", || router.discovery.abandoned_connections() > given_up);
    let mut config = router.config.clone();
    config["discovery"] = json!(new_service.address.to_string());
    std::fs::write(&router.file, config.to_string()).expect("written");
    router.send(Command::Reload);
    until("the new service is asked", || new_service.responses() > 1);
    for number in 0..6 {
        assert_eq!(ask(router.listen, &format!("txn-{number}")).status, 200);
    }
    let drained = ["r-1", "w-1"];
    let asked = router.worker_log.requests();
    assert!(asked.iter().all(|(worker, _)| !drained.contains(&worker.as_str())), "{asked:?}");
}

/// A change is received within the required 6 s after the watch went silent, although the next two
/// connections get no response either.
#[test]
fn a_change_is_received_in_time_although_two_more_connections_stay_silent() {
    let router = RunningRouter::with(|_| {});
    let mut list = Platform::list(&router.prefill_workers, &router.decode_workers);
    (list[0]["lifecycle"], list[2]["lifecycle"]) = (json!("draining"), json!("draining"));
    router.discovery.set_silent(true);
    let (silent_since, calls) = (Instant::now(), router.discovery.responses());
    router.discovery.set_list(list);
    router.discovery.set_silent_connections(2);
    router.discovery.set_silent(false);
    until("the list is requested", || router.discovery.responses() > calls);
    assert!(silent_since.elapsed() < ms(6000), "{:?}", silent_since.elapsed());
}

/// Returns a stream that stands for a misdirected response to another client.
fn foreign_stream() -> String {
    let event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"foreign\"}}]}\n\n".to_owned();
    String::from_utf8(stream(&[event, "data: [DONE]\n\n".to_owned()])).expect("text")
}

#[test]
fn a_second_answer_some_milliseconds_late_is_nobodys_answer() {
    let router = RunningRouter::with(|_| {});
    let mut entries = Platform::list(&router.prefill_workers, &router.decode_workers);
    (entries[1]["lifecycle"], entries[3]["lifecycle"]) = (json!("draining"), json!("draining"));
    router.publish_list(entries);
    let own = String::from_utf8(stream(&gaparch_testbed::platform::events())).expect("text");
    let late = vec![put(&own), Step::Wait(ms(6)), put(&foreign_stream())];
    let mut client = TcpStream::connect(router.listen).expect("connected");
    for number in 0..30 {
        router.reply_to_next_decode(&late);
        client.write_all(&head_and_body(&format!("txn-{number}"), "{}")).expect("written");
        let got: Response = read(&mut client, LONG);
        assert!(got.is_complete && got.status == 200, "{got:?}");
        assert!(
            !String::from_utf8_lossy(&got.body).contains("foreign"),
            "{number}: received the response to another client"
        );
    }
}

/// A transaction id stays in use while an attempt of its request is in flight, even if the client has
/// disconnected.
#[test]
fn an_id_is_free_only_once_no_attempt_of_it_is_in_flight() {
    // Cancellation is disabled.
    let router = RunningRouter::with(|config| config["settings"]["caps"]["cancel"] = json!(false));
    router.prefill_workers[0].reply_once(vec![Step::Hang]);
    let mut client = TcpStream::connect(router.listen).expect("connected");
    client.write_all(&head_and_body("twice", "{}")).expect("written");
    let prefills = || router.worker_log.requests().iter().filter(|(_, txn)| txn == "twice").count();
    until("the request is being prefilled", || prefills() == 1);
    drop(client);
    std::thread::sleep(ms(100));
    assert_eq!(ask(router.listen, "twice").status, 409);
    until("the transaction id is free", || ask(router.listen, "twice").status == 200);
    router.assert_no_second_copies();
}

/// A router shuts down in time even if new connections keep arriving.
#[test]
fn a_flood_of_connections_does_not_delay_the_shutdown() {
    static STOP_FLOOD: AtomicBool = AtomicBool::new(false);
    let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(64));
    let listen = router.listen;
    let flood: Vec<_> = (0..4)
        .map(|_| {
            std::thread::spawn(move || {
                let mut open = Vec::new();
                while !STOP_FLOOD.load(Ordering::Relaxed) && open.len() < 1000 {
                    match TcpStream::connect_timeout(&listen, ms(100)) {
                        Ok(socket) => open.push(socket),
                        Err(_) => std::thread::sleep(ms(1)),
                    }
                }
                while !STOP_FLOOD.load(Ordering::Relaxed) {
                    std::thread::sleep(ms(10));
                }
            })
        })
        .collect();
    std::thread::sleep(ms(300));
    let shutdown_at = Instant::now();
    router.send(Command::Shutdown);
    router.wait_for_shutdown();
    let took = shutdown_at.elapsed();
    STOP_FLOOD.store(true, Ordering::Relaxed);
    flood.into_iter().for_each(|thread| thread.join().expect("no panic"));
    assert!(took < ms(4000) + SLACK, "{took:?}");
}

/// A client is still writing its request when the router is told to shut down. A request accepted that late
/// could still be running when the process is killed, so it is rejected without being forwarded.
#[test]
fn a_request_that_is_completed_long_after_the_shutdown_command_is_rejected() {
    let router = RunningRouter::with(|_| {});
    // A stream that outlasts the late request keeps the router running.
    let event = &gaparch_testbed::platform::events()[0];
    let first =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n", event.len());
    router.reply_to_next_decode(&[
        put(&first),
        Step::Wait(ms(2500)),
        put("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"),
    ]);
    let mut streaming = TcpStream::connect(router.listen).expect("connected");
    streaming.write_all(&head_and_body("streaming", "{}")).expect("written");
    until("its decode attempt is sent", || router.decode_requests("streaming") == 1);
    router.send(Command::Shutdown);
    std::thread::sleep(ms(300));
    let mut late = TcpStream::connect(router.listen).expect("still accepting connections");
    let whole = head_and_body("late", "{}");
    late.write_all(&whole[..60]).expect("connection is open");
    std::thread::sleep(ms(600));
    late.write_all(&whole[60..]).expect("connection is open");
    let got = read(&mut late, LONG);
    assert_eq!(got.status, 503, "accepted 0.9 s after the shutdown command: {got:?}");
    assert!(
        router.worker_log.requests().iter().all(|(_, txn)| txn != "late"),
        "the late request was forwarded"
    );
    let got = read(&mut streaming, LONG);
    assert!(got.status == 200 && got.is_complete, "the open stream was not forwarded completely: {got:?}");
    router.wait_for_shutdown();
}

/// The configuration file is still being written when the router is told to reload it. Guards against giving
/// up on the reload: the old discovery service will close, and without the new one the router would receive
/// no more changes.
#[test]
fn reloading_a_partially_written_configuration_is_retried() {
    let router = RunningRouter::with(|_| {});
    let new_service =
        DiscoveryService::start(Platform::list(&router.prefill_workers, &router.decode_workers));
    std::fs::write(&router.file, "{\"name\":\"n0\",").expect("written");
    router.send(Command::Reload);
    std::thread::sleep(ms(200));
    let mut config = router.config.clone();
    config["discovery"] = json!(new_service.address.to_string());
    std::fs::write(&router.file, config.to_string()).expect("written");
    until("the new service is asked", || new_service.responses() > 0);
    assert_eq!(ask(router.listen, "next").status, 200);
}
