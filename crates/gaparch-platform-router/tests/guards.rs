//! Each guard of the shell, in the case that it is for.

mod common;

use common::{ms, put, RunningRouter};
use gaparch_platform_router::Command;
use gaparch_testbed::platform::{
    ask, head_and_body, instance, raw, read, until, Got, Platform, Step, Stuck, Worker, LONG,
};
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// What ends a connection that nothing is written to any more: its clean end, not a reset.
fn end(socket: &mut TcpStream) -> Result<Vec<u8>, ErrorKind> {
    socket.set_read_timeout(Some(LONG)).expect("set");
    let mut rest = Vec::new();
    socket.read_to_end(&mut rest).map(|_| rest).map_err(|error| error.kind())
}

#[test]
fn a_client_that_floods_and_disconnects_is_noticed() {
    let router = RunningRouter::with(|_| {});
    let list = Platform::list(&router.readers, &router.writers);
    router.tell(Platform::without_writers(&list));
    let mut client = TcpStream::connect(router.listen).expect("it listens");
    client.write_all(&head_and_body("flood", "{}")).expect("written");
    // It waits for a decode worker. A megabyte behind the request must not hide the end.
    let _ = client.write_all(&vec![b'x'; 1 << 20]);
    drop(client);
    std::thread::sleep(ms(300));
    router.tell(list);
    assert_eq!(ask(router.listen, "next").status, 200);
    assert!(router.floor.asked().iter().all(|(_, txn)| txn == "next"), "{:?}", router.floor.asked());
}

#[test]
fn one_more_request_of_any_size_may_come_ahead_of_an_answer() {
    let router = RunningRouter::with(|_| {});
    let mut client = TcpStream::connect(router.listen).expect("it listens");
    let long = format!("{{{}}}", " ".repeat(200 * 1024));
    let both = [head_and_body("one", "{}"), head_and_body("two", &long)].concat();
    client.write_all(&both).expect("written");
    // Each stream has a last chunk of its own; the second one is read from where the first ends.
    let mut text = String::new();
    client.set_read_timeout(Some(LONG)).expect("set");
    while text.matches("[DONE]").count() < 2 {
        let mut piece = [0; 4096];
        let n = client.read(&mut piece).expect("an answer");
        assert!(n > 0, "it closed: {text}");
        text.push_str(&String::from_utf8_lossy(&piece[..n]));
    }
    assert_eq!(router.writes("two"), 1);
}

/// A list with one decode worker to which connections come up late.
fn late_writer(router: &RunningRouter, late: &Stuck) -> Vec<Value> {
    let mut entry = instance(&router.writers[0], "decode", "ready");
    entry["instanceId"] = json!("w-late");
    entry["hostPort"] = json!(late.address.to_string());
    [Platform::without_writers(&Platform::list(&router.readers, &router.writers)), vec![entry]].concat()
}

#[test]
fn what_waits_for_a_connection_is_not_sent_once_its_client_has_left() {
    // Attempts can't be cancelled here, and the connection may take long.
    let router = RunningRouter::with(|config| {
        let settings = &mut config["settings"];
        settings["caps"]["cancel"] = json!(false);
        settings["caps"]["connectTimeoutNs"] = json!(3_500_000_000u64);
        settings["rules"]["stopSendingWithinNs"] = json!(0);
    });
    let late = Stuck::start();
    router.tell(late_writer(&router, &late));
    let mut client = TcpStream::connect(router.listen).expect("it listens");
    client.write_all(&head_and_body("left", "{}")).expect("written");
    until("it is read", || router.floor.asked().iter().any(|(_, txn)| txn == "left"));
    std::thread::sleep(ms(100));
    drop(client);
    std::thread::sleep(ms(100));
    // Releases may go to any worker.
    let heard = late.heard_within(ms(2000));
    assert!(!heard.contains("POST"), "sent for a client that had disconnected: {heard}");
}

#[test]
fn a_retry_whose_connection_outlasts_its_deduplication_window_is_not_sent() {
    let router = RunningRouter::with(|config| {
        let settings = &mut config["settings"];
        let class = &mut settings["services"][0];
        class["idempotency"] = json!("guarded");
        (class["dedupScope"], class["dedupWindowNs"]) = (json!("all"), json!(600_000_000));
        settings["caps"]["connectTimeoutNs"] = json!(3_500_000_000u64);
        settings["rules"]["stopSendingWithinNs"] = json!(0);
        settings["familyInfo"]["releaseWithinNs"] = json!(5_000_000_000u64);
    });
    let late = Stuck::start();
    // The first decode attempt breaks: it may have run. By then only the late decode worker is left.
    router.writers.iter().for_each(|w| w.always(vec![Step::Wait(ms(300)), Step::Close]));
    let listen = router.listen;
    let client = std::thread::spawn(move || ask(listen, "repeat"));
    until("it is written", || router.writes("repeat") == 1);
    router.catalogue.set(late_writer(&router, &late));
    std::thread::sleep(ms(700));
    let heard = late.heard_within(ms(2000));
    assert!(!heard.contains("POST"), "a retry past its window: {heard}");
    let got = client.join().expect("it ends");
    assert!(got.status >= 400, "{got:?}");
    assert_eq!(router.writes("repeat"), 1);
}

#[test]
fn what_a_head_states_does_not_wait_for_a_body_without_end() {
    let router = RunningRouter::with(|_| {});
    let endless = |head: &str| {
        vec![put(&format!("HTTP/1.1 {head}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n")), Step::Hang]
    };
    router.readers[0].then(endless("202 Accepted"));
    let from = Instant::now();
    assert_eq!(ask(router.listen, "read").status, 200);
    router.next_write(&endless("503 Full\r\nX-Turned-Away: 1"));
    assert_eq!(ask(router.listen, "full").status, 200);
    assert!(from.elapsed() < ms(3000), "{:?}", from.elapsed());
    assert_eq!((router.writes("read"), router.writes("full")), (1, 2));
    // Not cancelled and prefilled again: what the head states was taken.
    let reads =
        |of: &str| router.floor.asked().iter().filter(|(w, txn)| w.starts_with("r-") && txn == of).count();
    assert_eq!((reads("read"), reads("full")), (1, 1));
    router.no_second_copies();
}

/// What became of a request on an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Served,
    /// Rejected with a complete response: it must not have been forwarded.
    Rejected,
    Unread,
}

/// A request on an idle connection is answered, or the connection ends with nothing of it read.
fn answered_or_unread(got: Result<Vec<u8>, ErrorKind>, what: &str) -> Fate {
    let text = String::from_utf8_lossy(&got.unwrap_or_else(|e| panic!("{what}: {e}"))).into_owned();
    match text.as_str() {
        "" => Fate::Unread,
        served if served.contains("[DONE]") && served.ends_with("0\r\n\r\n") => Fate::Served,
        rejected if rejected.starts_with("HTTP/1.1 503 ") && rejected.ends_with("a retry is harmless") => {
            Fate::Rejected
        }
        other => panic!("{what}: {other}"),
    }
}

#[test]
fn requests_in_the_moment_of_the_shutdown_are_answered_or_unread() {
    let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(512));
    let clients: Vec<TcpStream> =
        (0..120).map(|_| TcpStream::connect(router.listen).expect("it listens")).collect();
    // All have sent a request before, and are idle.
    let clients: Vec<TcpStream> = clients
        .into_iter()
        .enumerate()
        .map(|(number, mut client)| {
            client.write_all(&head_and_body(&format!("first-{number}"), "{}")).expect("written");
            assert!(read(&mut client, LONG).whole);
            client
        })
        .collect();
    router.send(Command::Shutdown);
    let from = Instant::now();
    let asking = clients.into_iter().enumerate().map(|(number, mut client)| {
        std::thread::spawn(move || {
            // Half of them around the moment, and half far enough to both sides of it on any machine.
            let wide = Duration::from_micros(number as u64 * 6000) + ms(200);
            let near = Duration::from_micros(number as u64 * 300) + ms(435);
            let at = from + if number % 2 == 0 { wide } else { near };
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let txn = format!("txn-{number}");
            let _ = client.write_all(&head_and_body(&txn, "{}"));
            (txn, end(&mut client))
        })
    });
    let asking: Vec<_> = asking.collect();
    let mut answered = Vec::new();
    for client in asking {
        let (txn, got) = client.join().expect("no panic");
        if answered_or_unread(got, &txn) == Fate::Served {
            answered.push(txn);
        }
    }
    // Some came before, some after; what was not served was never forwarded.
    assert!(!answered.is_empty() && answered.len() < 120, "{}", answered.len());
    let asked = router.floor.asked();
    assert!(asked.iter().all(|(_, txn)| txn.starts_with("first") || answered.contains(txn)));
    router.wait_for_shutdown();
}

#[test]
fn the_longest_idle_connection_is_closed_and_its_request_of_that_moment_answered_or_unread() {
    let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(64));
    let resting: Vec<TcpStream> = (0..20)
        .map(|number| {
            let mut client = TcpStream::connect(router.listen).expect("it listens");
            client.write_all(&head_and_body(&format!("first-{number}"), "{}")).expect("written");
            assert!(read(&mut client, LONG).whole);
            client
        })
        .collect();
    let (listen, from) = (router.listen, Instant::now());
    let crowd = std::thread::spawn(move || {
        let mut all = Vec::new();
        while from.elapsed() < ms(400) {
            let Ok(mut client) = TcpStream::connect(listen) else { continue };
            // A connection that carried nothing would be closed before those that have.
            let _ = client.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
            all.push(client);
        }
        all
    });
    let asking: Vec<_> = resting
        .into_iter()
        .enumerate()
        .map(|(number, mut client)| {
            std::thread::spawn(move || {
                std::thread::sleep(ms(10 * number as u64));
                let request = head_and_body(&format!("txn-{number}"), "{}");
                let _ = client.write_all(&request);
                client.set_read_timeout(Some(ms(1500))).expect("set");
                let mut piece = vec![0; 64 * 1024];
                // The first bytes of an answer, or the end.
                client.read(&mut piece).map(|n| n > 0).map_err(|e| e.kind())
            })
        })
        .collect();
    for client in asking {
        let got = client.join().expect("no panic");
        assert!(got.is_ok(), "{got:?}");
    }
    drop(crowd.join().expect("no panic"));
    assert_eq!(ask(router.listen, "after").status, 200);
}

#[test]
fn an_answer_before_the_end_of_its_connection_outlives_what_comes_behind_the_request() {
    let router = RunningRouter::with(|_| {});
    router.send(Command::Shutdown);
    until("it is shutting down", || router.health() != 200);
    let mut client = TcpStream::connect(router.listen).expect("new connections still arrive");
    client.write_all(&head_and_body("last", "{}")).expect("written");
    // It goes on sending until nothing reads it any more.
    let mut more = client.try_clone().expect("cloned");
    let sending = std::thread::spawn(move || {
        while more.write_all(&[b'x'; 500]).is_ok() {
            std::thread::sleep(ms(1));
        }
    });
    let text = String::from_utf8_lossy(&end(&mut client).expect("no reset")).into_owned();
    assert!(text.contains("Connection: close") && text.ends_with("0\r\n\r\n"), "{text}");
    drop(client);
    sending.join().expect("no panic");
    router.wait_for_shutdown();
}

/// Of some lengths the rest is neither with the worker's exchange any more nor yet in the sockets' buffers.
#[test]
fn a_stream_that_its_worker_has_finished_is_forwarded_to_its_end_before_the_router_ends() {
    std::thread::scope(|all| {
        for step in 1..=12 {
            all.spawn(move || {
                let router = RunningRouter::with(|_| {});
                let event = format!("data: {{\"choices\":[],\"x\":\"{}\"}}\n\n", "x".repeat(8000));
                let length = 250 + step * 25;
                let mut whole = vec![event; length];
                whole.push("data: [DONE]\n\n".to_owned());
                router.next_write(&[Step::Put(gaparch_testbed::platform::stream(&whole))]);
                let mut client = TcpStream::connect(router.listen).expect("it listens");
                rustix::net::sockopt::set_socket_recv_buffer_size(&client, 64 * 1024).expect("set");
                client.write_all(&head_and_body("long", "{}")).expect("written");
                until("it is written", || router.writes("long") == 1);
                router.send(Command::Shutdown);
                // It reads nothing for a while.
                std::thread::sleep(ms(900));
                let bytes = end(&mut client).unwrap_or_else(|e| panic!("{length}: {e}"));
                assert!(
                    bytes.ends_with(b"0\r\n\r\n") && bytes.len() > length * 8000,
                    "{length}: cut at {}",
                    bytes.len()
                );
                router.wait_for_shutdown();
            });
        }
    });
}

#[test]
fn the_endpoint_list_is_followed_in_time_while_idle_clients_hold_all_they_can_get() {
    let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(128));
    router.catalogue.silent(true);
    let _crowd: Vec<TcpStream> = (0..400).filter_map(|_| TcpStream::connect(router.listen).ok()).collect();
    let mut list = Platform::list(&router.readers, &router.writers);
    list[0]["lifecycle"] = json!("draining");
    list[2]["lifecycle"] = json!("draining");
    std::thread::sleep(ms(2500));
    router.catalogue.set(list);
    router.catalogue.silent(false);
    let from = Instant::now();
    let (calls, drained) = (router.catalogue.calls(), [&router.readers[0].name, &router.writers[0].name]);
    until("it is asked again", || router.catalogue.calls() > calls + 1);
    assert!(from.elapsed() < ms(6000), "{:?}", from.elapsed());
    for number in 0..4 {
        let got: Got = raw(router.listen, &head_and_body(&format!("txn-{number}"), "{}"), LONG);
        assert_eq!(got.status, 200);
    }
    let asked = router.floor.asked();
    assert!(asked.iter().all(|(worker, _)| !drained.contains(&worker)), "{asked:?}");
}

#[test]
fn malformed_entries_cost_nobody_else_and_are_not_sent_to() {
    let router = RunningRouter::with(|_| {});
    let worker: &Worker = &router.writers[0];
    let bad = |field: &str, value: Value| {
        let mut entry = instance(worker, "decode", "ready");
        entry["instanceId"] = json!(format!("w-bad-{field}"));
        entry[field] = value;
        entry
    };
    let strange = vec![
        bad("hostPort", json!("nowhere")),
        bad("hostPort", json!(7)),
        bad("lifecycle", json!("sleeping")),
        bad("instanceId", json!("")),
        bad("startedAtMs", json!(-5)),
        bad("weight", json!("heavy")),
        json!([]),
        json!(null),
    ];
    router.tell([Platform::list(&router.readers, &router.writers), strange].concat());
    for number in 0..6 {
        assert_eq!(ask(router.listen, &format!("txn-{number}")).status, 200);
    }
    assert_eq!(router.health(), 200);
}

/// Silent connections come by the hundred: a request behind them does not wait for each of them to end, or
/// its attempts would state more time than its client has left.
#[test]
fn a_burst_of_silent_connections_does_not_delay_a_request_behind_it() {
    let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(64));
    let crowd: Vec<TcpStream> =
        (0..120).map(|_| TcpStream::connect(router.listen).expect("it listens")).collect();
    let from = Instant::now();
    let mut client = TcpStream::connect(router.listen).expect("it listens");
    client.write_all(&head_and_body("behind", "{\"stream\":true}")).expect("written");
    assert_eq!(read(&mut client, LONG).status, 200);
    assert!(from.elapsed() < ms(2_000), "after {:?}", from.elapsed());
    drop(crowd);
}
