//! Tests each guard of the shell in the situation that it protects against.

mod common;

use common::{ms, put, RunningRouter};
use gaparch_platform_router::Command;
use gaparch_testbed::platform::{
    ask, head_and_body, instance, raw, read, until, FullBacklog, Platform, Response, Step, Worker, LONG,
};
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Reads to the end of a connection; an error if it ends with a reset instead of a clean close.
fn read_to_end(socket: &mut TcpStream) -> Result<Vec<u8>, ErrorKind> {
    socket.set_read_timeout(Some(LONG)).expect("set");
    let mut rest = Vec::new();
    socket.read_to_end(&mut rest).map(|_| rest).map_err(|error| error.kind())
}

#[test]
fn a_client_that_floods_and_disconnects_is_noticed() {
    let router = RunningRouter::with(|_| {});
    let list = Platform::list(&router.prefill_workers, &router.decode_workers);
    router.publish_list(Platform::without_decode_workers(&list));
    let mut client = TcpStream::connect(router.listen).expect("connected");
    client.write_all(&head_and_body("flood", "{}")).expect("written");
    // The request waits for a decode worker. A megabyte sent after it must not hide the disconnect.
    let _ = client.write_all(&vec![b'x'; 1 << 20]);
    drop(client);
    std::thread::sleep(ms(300));
    router.publish_list(list);
    assert_eq!(ask(router.listen, "next").status, 200);
    assert!(
        router.worker_log.requests().iter().all(|(_, txn)| txn == "next"),
        "{:?}",
        router.worker_log.requests()
    );
}

#[test]
fn a_second_request_of_any_size_may_be_sent_ahead_of_the_first_response() {
    let router = RunningRouter::with(|_| {});
    let mut client = TcpStream::connect(router.listen).expect("connected");
    let long = format!("{{{}}}", " ".repeat(200 * 1024));
    let requests = [head_and_body("one", "{}"), head_and_body("two", &long)].concat();
    client.write_all(&requests).expect("written");
    // Both streamed responses arrive on the same connection, one after the other.
    let mut text = String::new();
    client.set_read_timeout(Some(LONG)).expect("set");
    while text.matches("[DONE]").count() < 2 {
        let mut piece = [0; 4096];
        let n = client.read(&mut piece).expect("a response");
        assert!(n > 0, "the connection closed: {text}");
        text.push_str(&String::from_utf8_lossy(&piece[..n]));
    }
    assert_eq!(router.decode_requests("two"), 1);
}

/// Returns a list whose only decode worker accepts connections late.
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

#[test]
fn what_waits_for_a_connection_is_not_sent_once_its_client_has_left() {
    // Cancellation is disabled, and connecting may take long.
    let router = RunningRouter::with(|config| {
        let settings = &mut config["settings"];
        settings["caps"]["cancel"] = json!(false);
        settings["caps"]["connectTimeoutNs"] = json!(3_500_000_000u64);
        settings["rules"]["stopSendingWithinNs"] = json!(0);
    });
    let late = FullBacklog::start();
    router.publish_list(list_with_late_decode_worker(&router, &late));
    let mut client = TcpStream::connect(router.listen).expect("connected");
    client.write_all(&head_and_body("left", "{}")).expect("written");
    until("it is prefilled", || router.worker_log.requests().iter().any(|(_, txn)| txn == "left"));
    std::thread::sleep(ms(100));
    drop(client);
    std::thread::sleep(ms(100));
    // Releases may go to any worker.
    let heard = late.received_within(ms(2000));
    assert!(!heard.contains("POST"), "sent for a disconnected client: {heard}");
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
    let late = FullBacklog::start();
    // The first decode attempt breaks off and may have run. By then only the late decode worker is listed.
    router.decode_workers.iter().for_each(|w| w.reply_always(vec![Step::Wait(ms(300)), Step::Close]));
    let listen = router.listen;
    let client = std::thread::spawn(move || ask(listen, "repeat"));
    until("it is sent to a decode worker", || router.decode_requests("repeat") == 1);
    router.discovery.set_list(list_with_late_decode_worker(&router, &late));
    std::thread::sleep(ms(700));
    let heard = late.received_within(ms(2000));
    assert!(!heard.contains("POST"), "retried after the deduplication window: {heard}");
    let got = client.join().expect("no panic");
    assert!(got.status >= 400, "{got:?}");
    assert_eq!(router.decode_requests("repeat"), 1);
}

#[test]
fn what_a_head_states_does_not_wait_for_a_body_without_end() {
    let router = RunningRouter::with(|_| {});
    let endless = |head: &str| {
        vec![put(&format!("HTTP/1.1 {head}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n")), Step::Hang]
    };
    router.prefill_workers[0].reply_once(endless("202 Accepted"));
    let started_at = Instant::now();
    assert_eq!(ask(router.listen, "read").status, 200);
    router.reply_to_next_decode(&endless("503 Full\r\nX-Turned-Away: 1"));
    assert_eq!(ask(router.listen, "full").status, 200);
    assert!(started_at.elapsed() < ms(3000), "{:?}", started_at.elapsed());
    assert_eq!((router.decode_requests("read"), router.decode_requests("full")), (1, 2));
    // The outcome stated by the head was used: the prompt was not prefilled a second time.
    let reads = |of: &str| {
        router.worker_log.requests().iter().filter(|(w, txn)| w.starts_with("r-") && txn == of).count()
    };
    assert_eq!((reads("read"), reads("full")), (1, 1));
    router.assert_no_second_copies();
}

/// The result of a request on an idle connection, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientResult {
    Served,
    /// Rejected with a complete response. It must not have been forwarded.
    Rejected,
    Unread,
}

/// Returns the result of a request on an idle connection: it must be answered, or the connection must end
/// without any of it being read.
fn client_result(got: Result<Vec<u8>, ErrorKind>, what: &str) -> ClientResult {
    let text = String::from_utf8_lossy(&got.unwrap_or_else(|e| panic!("{what}: {e}"))).into_owned();
    match text.as_str() {
        "" => ClientResult::Unread,
        served if served.contains("[DONE]") && served.ends_with("0\r\n\r\n") => ClientResult::Served,
        rejected if rejected.starts_with("HTTP/1.1 503 ") && rejected.ends_with("a retry is harmless") => {
            ClientResult::Rejected
        }
        other => panic!("{what}: {other}"),
    }
}

#[test]
fn requests_on_idle_connections_during_shutdown_are_answered_or_left_unread() {
    let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(512));
    let clients: Vec<TcpStream> =
        (0..120).map(|_| TcpStream::connect(router.listen).expect("connected")).collect();
    // Every connection has carried a request and is idle.
    let clients: Vec<TcpStream> = clients
        .into_iter()
        .enumerate()
        .map(|(number, mut client)| {
            client.write_all(&head_and_body(&format!("first-{number}"), "{}")).expect("written");
            assert!(read(&mut client, LONG).is_complete);
            client
        })
        .collect();
    router.send(Command::Shutdown);
    let shutdown_at = Instant::now();
    let requests = clients.into_iter().enumerate().map(|(number, mut client)| {
        std::thread::spawn(move || {
            // Half of the requests are sent close to the time at which idle connections close, the other half
            // spread widely around it, so that some fall on either side on any machine.
            let spread = Duration::from_micros(number as u64 * 6000) + ms(200);
            let close_to_end = Duration::from_micros(number as u64 * 300) + ms(435);
            let at = shutdown_at + if number % 2 == 0 { spread } else { close_to_end };
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let txn = format!("txn-{number}");
            let _ = client.write_all(&head_and_body(&txn, "{}"));
            (txn, read_to_end(&mut client))
        })
    });
    let requests: Vec<_> = requests.collect();
    let mut served = Vec::new();
    for client in requests {
        let (txn, got) = client.join().expect("no panic");
        if client_result(got, &txn) == ClientResult::Served {
            served.push(txn);
        }
    }
    // Some requests came before the close and some after. Those that were not served were never forwarded.
    assert!(!served.is_empty() && served.len() < 120, "{}", served.len());
    let asked = router.worker_log.requests();
    assert!(asked.iter().all(|(_, txn)| txn.starts_with("first") || served.contains(txn)));
    router.wait_for_shutdown();
}

#[test]
fn requests_on_idle_connections_that_are_closed_for_new_ones_are_answered_or_left_unread() {
    let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(64));
    let idle_clients: Vec<TcpStream> = (0..20)
        .map(|number| {
            let mut client = TcpStream::connect(router.listen).expect("connected");
            client.write_all(&head_and_body(&format!("first-{number}"), "{}")).expect("written");
            assert!(read(&mut client, LONG).is_complete);
            client
        })
        .collect();
    let (listen, started_at) = (router.listen, Instant::now());
    let new_clients = std::thread::spawn(move || {
        let mut all = Vec::new();
        while started_at.elapsed() < ms(400) {
            let Ok(mut client) = TcpStream::connect(listen) else { continue };
            // An unused connection would be closed before those that have carried requests.
            let _ = client.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
            all.push(client);
        }
        all
    });
    let requests: Vec<_> = idle_clients
        .into_iter()
        .enumerate()
        .map(|(number, mut client)| {
            std::thread::spawn(move || {
                std::thread::sleep(ms(10 * number as u64));
                let request = head_and_body(&format!("txn-{number}"), "{}");
                let _ = client.write_all(&request);
                client.set_read_timeout(Some(ms(1500))).expect("set");
                let mut piece = vec![0; 64 * 1024];
                // The first bytes of a response, or the end of the connection.
                client.read(&mut piece).map(|n| n > 0).map_err(|e| e.kind())
            })
        })
        .collect();
    for client in requests {
        let got = client.join().expect("no panic");
        assert!(got.is_ok(), "{got:?}");
    }
    drop(new_clients.join().expect("no panic"));
    assert_eq!(ask(router.listen, "after").status, 200);
}

#[test]
fn the_last_response_on_a_connection_is_not_lost_to_bytes_sent_after_the_request() {
    let router = RunningRouter::with(|_| {});
    router.send(Command::Shutdown);
    until("the router is shutting down", || router.health() != 200);
    let mut client = TcpStream::connect(router.listen).expect("still accepting connections");
    client.write_all(&head_and_body("last", "{}")).expect("written");
    // The client keeps sending until the connection no longer accepts data.
    let mut sender = client.try_clone().expect("cloned");
    let sending = std::thread::spawn(move || {
        while sender.write_all(&[b'x'; 500]).is_ok() {
            std::thread::sleep(ms(1));
        }
    });
    let text = String::from_utf8_lossy(&read_to_end(&mut client).expect("no reset")).into_owned();
    assert!(text.contains("Connection: close") && text.ends_with("0\r\n\r\n"), "{text}");
    drop(client);
    sending.join().expect("no panic");
    router.wait_for_shutdown();
}

/// Guards against losing the end of a stream at shutdown. With some lengths the rest of the stream has left
/// the worker exchange but is not yet in the socket buffers, so it is only queued between the tasks.
#[test]
fn a_finished_stream_is_forwarded_completely_before_the_router_shuts_down() {
    std::thread::scope(|all| {
        for step in 1..=12 {
            all.spawn(move || {
                let router = RunningRouter::with(|_| {});
                let event = format!("data: {{\"choices\":[],\"x\":\"{}\"}}\n\n", "x".repeat(8000));
                let length = 250 + step * 25;
                let mut events = vec![event; length];
                events.push("data: [DONE]\n\n".to_owned());
                router.reply_to_next_decode(&[Step::Put(gaparch_testbed::platform::stream(&events))]);
                let mut client = TcpStream::connect(router.listen).expect("connected");
                rustix::net::sockopt::set_socket_recv_buffer_size(&client, 64 * 1024).expect("set");
                client.write_all(&head_and_body("long", "{}")).expect("written");
                until("it is sent to a decode worker", || router.decode_requests("long") == 1);
                router.send(Command::Shutdown);
                // The client reads nothing for a while.
                std::thread::sleep(ms(900));
                let bytes = read_to_end(&mut client).unwrap_or_else(|e| panic!("{length}: {e}"));
                assert!(
                    bytes.ends_with(b"0\r\n\r\n") && bytes.len() > length * 8000,
                    "{length}: cut off after {} bytes",
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
    router.discovery.set_silent(true);
    let _idle_clients: Vec<TcpStream> =
        (0..400).filter_map(|_| TcpStream::connect(router.listen).ok()).collect();
    let mut list = Platform::list(&router.prefill_workers, &router.decode_workers);
    list[0]["lifecycle"] = json!("draining");
    list[2]["lifecycle"] = json!("draining");
    std::thread::sleep(ms(2500));
    router.discovery.set_list(list);
    router.discovery.set_silent(false);
    let changed_at = Instant::now();
    let (calls, drained) =
        (router.discovery.responses(), [&router.prefill_workers[0].name, &router.decode_workers[0].name]);
    until("the list is requested again", || router.discovery.responses() > calls + 1);
    assert!(changed_at.elapsed() < ms(6000), "{:?}", changed_at.elapsed());
    for number in 0..4 {
        let got: Response = raw(router.listen, &head_and_body(&format!("txn-{number}"), "{}"), LONG);
        assert_eq!(got.status, 200);
    }
    let asked = router.worker_log.requests();
    assert!(asked.iter().all(|(worker, _)| !drained.contains(&worker)), "{asked:?}");
}

#[test]
fn malformed_entries_cost_nobody_else_and_are_not_sent_to() {
    let router = RunningRouter::with(|_| {});
    let worker: &Worker = &router.decode_workers[0];
    let bad = |field: &str, value: Value| {
        let mut entry = instance(worker, "decode", "ready");
        entry["instanceId"] = json!(format!("w-bad-{field}"));
        entry[field] = value;
        entry
    };
    let malformed = vec![
        bad("hostPort", json!("nowhere")),
        bad("hostPort", json!(7)),
        bad("lifecycle", json!("sleeping")),
        bad("instanceId", json!("")),
        bad("startedAtMs", json!(-5)),
        bad("weight", json!("heavy")),
        json!([]),
        json!(null),
    ];
    router
        .publish_list([Platform::list(&router.prefill_workers, &router.decode_workers), malformed].concat());
    for number in 0..6 {
        assert_eq!(ask(router.listen, &format!("txn-{number}")).status, 200);
    }
    assert_eq!(router.health(), 200);
}

/// Guards against serving new connections only after earlier silent ones have timed out. A request behind a
/// hundred silent connections would be delayed, and its attempts would state more time than its client has
/// left.
#[test]
fn a_burst_of_silent_connections_does_not_delay_a_request_behind_it() {
    let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(64));
    let silent_clients: Vec<TcpStream> =
        (0..120).map(|_| TcpStream::connect(router.listen).expect("connected")).collect();
    let started_at = Instant::now();
    let mut client = TcpStream::connect(router.listen).expect("connected");
    client.write_all(&head_and_body("behind", "{\"stream\":true}")).expect("written");
    assert_eq!(read(&mut client, LONG).status, 200);
    assert!(started_at.elapsed() < ms(2_000), "after {:?}", started_at.elapsed());
    drop(silent_clients);
}
