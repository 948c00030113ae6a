//! Tests every combination of request stage and fault. After each, the workers' log is checked against the
//! platform's rules.

mod common;

use common::{put, RunningRouter};
use gaparch_platform_router::Command;
use gaparch_testbed::platform::{
    ask, events, find_breaches, head_and_body, read, stream, until, Platform, Step, TestActions, LONG,
};
use rustix::net::sockopt::set_socket_linger;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Connecting,
    Head,
    Body,
    /// Queued before the prefill, since there is no decode worker.
    Queued,
    Prefilling,
    /// Prefilled, with no decode worker to send it to.
    Prefilled,
    Decoding,
    Streaming,
    /// The response is complete and the connection idle.
    Idle,
}

use Stage::*;

const STAGES: [Stage; 9] = [Connecting, Head, Body, Queued, Prefilling, Prefilled, Decoding, Streaming, Idle];
const TXN: &str = "txn";
const GRACE: Duration = Duration::from_millis(500);
/// Additional wait after the last time at which anything may be sent for a disconnected client.
const WAIT_AFTER_DISCONNECT: Duration = Duration::from_millis(300);

/// The head and the first event of a stream.
fn first_event() -> Step {
    let event = &events()[0];
    put(&format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n", event.len()))
}

/// The part of its request that a client has written at that stage.
fn bytes_written_at(stage: Stage) -> Vec<u8> {
    let whole = head_and_body(TXN, "{\"stream\":true}");
    match stage {
        Connecting => Vec::new(),
        Head => whole[..60].to_vec(),
        Body => whole[..whole.len() - 5].to_vec(),
        _ => whole,
    }
}

/// Starts a request and advances it to that stage.
fn client_at_stage(router: &RunningRouter, stage: Stage) -> TcpStream {
    let list = Platform::list(&router.prefill_workers, &router.decode_workers);
    let whole = stream(&events());
    match stage {
        Queued => router.publish_list(Platform::without_decode_workers(&list)),
        Prefilling => router.prefill_workers[0].reply_once(vec![Step::Hang]),
        Prefilled => router.prefill_workers[0].reply_once(vec![
            Step::Wait(Duration::from_millis(300)),
            put("HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"),
        ]),
        Decoding => router.reply_to_next_decode(&[Step::Hang]),
        Streaming => {
            let Step::Put(first) = first_event() else { unreachable!("first_event returns a Put") };
            let head = whole.windows(6).position(|w| w == b"data: ").expect("an event");
            let second =
                head + whole[head..].windows(2).position(|w| w == b"\n\n").expect("the end of the event") + 4;
            let rest = Step::Put(whole[second..].to_vec());
            router.reply_to_next_decode(&[Step::Put(first), Step::Wait(Duration::from_millis(700)), rest]);
        }
        Connecting | Head | Body | Idle => {}
    }
    let mut client = TcpStream::connect(router.listen).expect("connected");
    client.write_all(&bytes_written_at(stage)).expect("written");
    let was_sent_to = |kind: &str| {
        router.worker_log.requests().iter().any(|(worker, txn)| worker.starts_with(kind) && txn == TXN)
    };
    match stage {
        Connecting | Head | Body => {}
        Queued => std::thread::sleep(Duration::from_millis(50)),
        Prefilling => until("the request is being prefilled", || was_sent_to("r-")),
        Prefilled => {
            until("the request is being prefilled", || was_sent_to("r-"));
            router.publish_list(Platform::without_decode_workers(&list));
            std::thread::sleep(Duration::from_millis(50));
        }
        Decoding => until("the request is being decoded", || was_sent_to("w-")),
        Streaming => {
            client.set_read_timeout(Some(LONG)).expect("set");
            client.read_exact(&mut [0; 1]).expect("the response begins");
        }
        Idle => assert!(read(&mut client, LONG).is_complete),
    }
    client
}

/// The client disconnects in the given way. Nothing more may be sent for it, what workers hold for it must be
/// released, and other clients must be served.
fn test_disconnect(disconnect: fn(TcpStream)) {
    std::thread::scope(|all| {
        for stage in STAGES {
            all.spawn(move || {
                let router = RunningRouter::with(|_| {});
                let client = client_at_stage(&router, stage);
                let mut actions = TestActions::default();
                disconnect(client);
                // A client whose response is complete has no open request to give up.
                actions.disconnected.extend((stage != Idle).then(|| (TXN.to_owned(), Instant::now())));
                std::thread::sleep(
                    gaparch_testbed::platform::MAX_SEND_DELAY_AFTER_DISCONNECT + WAIT_AFTER_DISCONNECT,
                );
                router.publish_list(Platform::list(&router.prefill_workers, &router.decode_workers));
                assert_eq!(ask(router.listen, "next").status, 200, "{stage:?}");
                if matches!(stage, Prefilling | Prefilled | Decoding) {
                    until("workers have released its resources", || router.is_released(TXN));
                }
                assert_eq!(
                    find_breaches(&router.worker_log.log(), &actions),
                    Vec::<String>::new(),
                    "{stage:?}"
                );
                // The transaction id can be used again.
                until("the transaction id is free", || ask(router.listen, TXN).status == 200);
            });
        }
    });
}

#[test]
fn a_client_that_closes_at_any_stage() {
    test_disconnect(drop);
}

#[test]
fn a_client_that_resets_at_any_stage() {
    test_disconnect(|client| {
        set_socket_linger(&client, Some(Duration::ZERO)).expect("set");
        drop(client);
    });
}

#[test]
fn a_client_that_half_closes_at_any_stage() {
    test_disconnect(|mut client| {
        client.shutdown(Shutdown::Write).expect("connection is open");
        client.set_read_timeout(Some(LONG)).expect("set");
        let _ = client.read_to_end(&mut Vec::new());
    });
}

#[test]
fn a_client_that_floods_and_closes_at_any_stage() {
    test_disconnect(|mut client| {
        client.set_write_timeout(Some(Duration::from_millis(500))).expect("set");
        let _ = client.write_all(&vec![b'x'; 600 * 1024]);
        drop(client);
    });
}

/// The client stays connected. It must receive exactly one complete response whatever fault is applied to its
/// router. `shuts_down` says whether the fault ends the router.
fn test_response(shuts_down: bool, fault: fn(&RunningRouter, &mut TestActions)) {
    std::thread::scope(|all| {
        for stage in STAGES {
            all.spawn(move || {
                let router = RunningRouter::with(|_| {});
                let mut client = client_at_stage(&router, stage);
                let mut actions = TestActions::default();
                fault(&router, &mut actions);
                let whole = head_and_body(TXN, "{\"stream\":true}");
                let rest = &whole[bytes_written_at(stage).len()..];
                client.write_all(rest).expect("connection is open");
                if stage != Idle {
                    let status = match stage {
                        // The fault may list the decode workers as ready again.
                        Queued | Prefilled => [200, 503],
                        // The worker that hangs may be the only one left.
                        Prefilling | Decoding if !actions.drained.is_empty() => [200, 503],
                        _ => [200, 200],
                    };
                    // The first byte was already read if the stream has begun.
                    let got = match stage {
                        Streaming => read_rest_of_stream(&mut client),
                        _ => read(&mut client, LONG),
                    };
                    assert!(got.is_complete && status.contains(&got.status), "{stage:?}: {got:?}");
                }
                client.set_read_timeout(Some(Duration::from_millis(200))).expect("set");
                let after = client.read(&mut [0; 64]).map_err(|error| error.kind());
                let none = matches!(after, Ok(0) | Err(ErrorKind::WouldBlock | ErrorKind::TimedOut));
                assert!(none, "{stage:?}: unexpected bytes after the response: {after:?}");
                assert_eq!(
                    find_breaches(&router.worker_log.log(), &actions),
                    Vec::<String>::new(),
                    "{stage:?}"
                );
                match shuts_down {
                    true => router.wait_for_shutdown(),
                    false => assert_eq!(ask(router.listen, "next").status, 200, "{stage:?}"),
                }
            });
        }
    });
}

/// Reads the rest of a streamed response whose first byte was already read.
fn read_rest_of_stream(client: &mut TcpStream) -> gaparch_testbed::platform::Response {
    let mut bytes = b"H".to_vec();
    let mut piece = [0; 4096];
    while !bytes.ends_with(b"0\r\n\r\n") {
        let n = client.read(&mut piece).expect("more of the stream");
        assert!(n > 0, "the stream was cut off: {}", String::from_utf8_lossy(&bytes));
        bytes.extend_from_slice(&piece[..n]);
    }
    gaparch_testbed::platform::Response { status: 200, is_complete: true, ..Default::default() }
}

#[test]
fn a_shutdown_at_any_stage() {
    test_response(true, |router, _| {
        router.send(Command::Shutdown);
        until("the router is shutting down", || router.health() != 200);
        router.discovery.set_list(Platform::list(&router.prefill_workers, &router.decode_workers));
    });
}

#[test]
fn a_reload_at_any_stage() {
    test_response(false, |router, _| {
        std::fs::write(&router.file, "{").expect("written");
        router.send(Command::Reload);
        std::thread::sleep(Duration::from_millis(50));
        std::fs::write(&router.file, router.config.to_string()).expect("written");
        router.send(Command::Reload);
        router.discovery.set_list(Platform::list(&router.prefill_workers, &router.decode_workers));
    });
}

#[test]
fn a_drain_at_any_stage() {
    test_response(false, |router, actions| {
        let mut list = Platform::list(&router.prefill_workers, &router.decode_workers);
        (list[0]["lifecycle"], list[2]["lifecycle"]) = (json!("draining"), json!("draining"));
        router.publish_list(list);
        let end = Instant::now() + GRACE;
        actions.drained.extend([("r-1".to_owned(), end), ("w-1".to_owned(), end)]);
    });
}

#[test]
fn a_silent_discovery_service_at_any_stage() {
    test_response(false, |router, _| {
        router.discovery.set_list(Platform::list(&router.prefill_workers, &router.decode_workers));
        std::thread::sleep(Duration::from_millis(50));
        router.discovery.set_silent(true);
        std::thread::sleep(Duration::from_millis(200));
        router.discovery.set_silent(false);
    });
}
