//! Each stage of a request against each fault; the workers' log is checked after each.

mod common;

use common::{put, RunningRouter};
use gaparch_platform_router::Command;
use gaparch_testbed::platform::{
    ask, events, head_and_body, judge, read, stream, until, Facts, Platform, Step, LONG,
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
    /// No decode worker: queued before its prefill.
    Queued,
    Prefilling,
    /// Prefilled, and no decode worker to send it to.
    Prefilled,
    Decoding,
    Streaming,
    /// Its response is complete, and the connection idle.
    Idle,
}

use Stage::*;

const STAGES: [Stage; 9] = [Connecting, Head, Body, Queued, Prefilling, Prefilled, Decoding, Streaming, Idle];
const TXN: &str = "txn";
const GRACE: Duration = Duration::from_millis(500);
/// Past the last moment at which something may still be sent for a client that has disconnected.
const AFTERWARDS: Duration = Duration::from_millis(300);

/// The head of a stream and its first event.
fn first_event() -> Step {
    let event = &events()[0];
    put(&format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n", event.len()))
}

/// What a client has written of its request by then.
fn written(stage: Stage) -> Vec<u8> {
    let whole = head_and_body(TXN, "{\"stream\":true}");
    match stage {
        Connecting => Vec::new(),
        Head => whole[..60].to_vec(),
        Body => whole[..whole.len() - 5].to_vec(),
        _ => whole,
    }
}

/// Brings a request to that stage.
fn bring(router: &RunningRouter, stage: Stage) -> TcpStream {
    let list = Platform::list(&router.readers, &router.writers);
    let whole = stream(&events());
    match stage {
        Queued => router.tell(Platform::without_writers(&list)),
        Prefilling => router.readers[0].then(vec![Step::Hang]),
        Prefilled => router.readers[0].then(vec![
            Step::Wait(Duration::from_millis(300)),
            put("HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"),
        ]),
        Decoding => router.next_write(&[Step::Hang]),
        Streaming => {
            let Step::Put(first) = first_event() else { unreachable!("it is put") };
            let head = whole.windows(6).position(|w| w == b"data: ").expect("an event");
            let second = head + whole[head..].windows(2).position(|w| w == b"\n\n").expect("its end") + 4;
            let rest = Step::Put(whole[second..].to_vec());
            router.next_write(&[Step::Put(first), Step::Wait(Duration::from_millis(700)), rest]);
        }
        Connecting | Head | Body | Idle => {}
    }
    let mut client = TcpStream::connect(router.listen).expect("it listens");
    client.write_all(&written(stage)).expect("written");
    let asked =
        |of: &str| router.floor.asked().iter().any(|(worker, txn)| worker.starts_with(of) && txn == TXN);
    match stage {
        Connecting | Head | Body => {}
        Queued => std::thread::sleep(Duration::from_millis(50)),
        Prefilling => until("it is being prefilled", || asked("r-")),
        Prefilled => {
            until("it is being prefilled", || asked("r-"));
            router.tell(Platform::without_writers(&list));
            std::thread::sleep(Duration::from_millis(50));
        }
        Decoding => until("it is being decoded", || asked("w-")),
        Streaming => {
            client.set_read_timeout(Some(LONG)).expect("set");
            client.read_exact(&mut [0; 1]).expect("its answer begins");
        }
        Idle => assert!(read(&mut client, LONG).whole),
    }
    client
}

/// The client disconnects by `go`: nothing more is sent for it, what workers hold for it is released, and
/// others are served.
fn leaves(go: fn(TcpStream)) {
    std::thread::scope(|all| {
        for stage in STAGES {
            all.spawn(move || {
                let router = RunningRouter::with(|_| {});
                let client = bring(&router, stage);
                let mut facts = Facts::default();
                go(client);
                // A client that has had its response may send another request.
                facts.left.extend((stage != Idle).then(|| (TXN.to_owned(), Instant::now())));
                std::thread::sleep(gaparch_testbed::platform::LEFT + AFTERWARDS);
                router.tell(Platform::list(&router.readers, &router.writers));
                assert_eq!(ask(router.listen, "next").status, 200, "{stage:?}");
                if matches!(stage, Prefilling | Prefilled | Decoding) {
                    until("what workers hold for it is released", || router.released(TXN));
                }
                assert_eq!(judge(&router.floor.log(), &facts), Vec::<String>::new(), "{stage:?}");
                // Its id is free again.
                until("its id is free", || ask(router.listen, TXN).status == 200);
            });
        }
    });
}

#[test]
fn a_close_at_any_stage() {
    leaves(drop);
}

#[test]
fn a_reset_at_any_stage() {
    leaves(|client| {
        set_socket_linger(&client, Some(Duration::ZERO)).expect("set");
        drop(client);
    });
}

#[test]
fn a_half_close_at_any_stage() {
    leaves(|mut client| {
        client.shutdown(Shutdown::Write).expect("it is open");
        client.set_read_timeout(Some(LONG)).expect("set");
        let _ = client.read_to_end(&mut Vec::new());
    });
}

#[test]
fn a_flood_and_a_close_at_any_stage() {
    leaves(|mut client| {
        client.set_write_timeout(Some(Duration::from_millis(500))).expect("set");
        let _ = client.write_all(&vec![b'x'; 600 * 1024]);
        drop(client);
    });
}

/// The client stays connected: it gets one complete response and nothing after it, whatever is done to its
/// router.
fn stays(ends: bool, fault: fn(&RunningRouter, &mut Facts)) {
    std::thread::scope(|all| {
        for stage in STAGES {
            all.spawn(move || {
                let router = RunningRouter::with(|_| {});
                let mut client = bring(&router, stage);
                let mut facts = Facts::default();
                fault(&router, &mut facts);
                let whole = head_and_body(TXN, "{\"stream\":true}");
                let rest = &whole[written(stage).len()..];
                client.write_all(rest).expect("it is open");
                if stage != Idle {
                    let status = match stage {
                        // The list may say again that there are decode workers.
                        Queued | Prefilled => [200, 503],
                        // The one that hangs may be the only one left.
                        Prefilling | Decoding if !facts.drained.is_empty() => [200, 503],
                        _ => [200, 200],
                    };
                    // Its first byte was taken where the stream had begun.
                    let got = match stage {
                        Streaming => streamed(&mut client),
                        _ => read(&mut client, LONG),
                    };
                    assert!(got.whole && status.contains(&got.status), "{stage:?}: {got:?}");
                }
                client.set_read_timeout(Some(Duration::from_millis(200))).expect("set");
                let after = client.read(&mut [0; 64]).map_err(|error| error.kind());
                let none = matches!(after, Ok(0) | Err(ErrorKind::WouldBlock | ErrorKind::TimedOut));
                assert!(none, "{stage:?}: something after the answer: {after:?}");
                assert_eq!(judge(&router.floor.log(), &facts), Vec::<String>::new(), "{stage:?}");
                match ends {
                    true => router.wait_for_shutdown(),
                    false => assert_eq!(ask(router.listen, "next").status, 200, "{stage:?}"),
                }
            });
        }
    });
}

/// The rest of an answer whose first byte has been taken.
fn streamed(client: &mut TcpStream) -> gaparch_testbed::platform::Got {
    let mut bytes = b"H".to_vec();
    let mut piece = [0; 4096];
    while !bytes.ends_with(b"0\r\n\r\n") {
        let n = client.read(&mut piece).expect("it goes on");
        assert!(n > 0, "it was cut: {}", String::from_utf8_lossy(&bytes));
        bytes.extend_from_slice(&piece[..n]);
    }
    gaparch_testbed::platform::Got { status: 200, whole: true, ..Default::default() }
}

#[test]
fn a_shutdown_ordered_at_any_stage() {
    stays(true, |router, _| {
        router.send(Command::Shutdown);
        until("it is shutting down", || router.health() != 200);
        router.catalogue.set(Platform::list(&router.readers, &router.writers));
    });
}

#[test]
fn a_configuration_read_again_at_any_stage() {
    stays(false, |router, _| {
        std::fs::write(&router.file, "{").expect("written");
        router.send(Command::Reload);
        std::thread::sleep(Duration::from_millis(50));
        std::fs::write(&router.file, router.config.to_string()).expect("written");
        router.send(Command::Reload);
        router.catalogue.set(Platform::list(&router.readers, &router.writers));
    });
}

#[test]
fn a_drain_listed_at_any_stage() {
    stays(false, |router, facts| {
        let mut list = Platform::list(&router.readers, &router.writers);
        (list[0]["lifecycle"], list[2]["lifecycle"]) = (json!("draining"), json!("draining"));
        router.tell(list);
        let end = Instant::now() + GRACE;
        facts.drained.extend([("r-1".to_owned(), end), ("w-1".to_owned(), end)]);
    });
}

#[test]
fn a_silent_discovery_service_at_any_stage() {
    stays(false, |router, _| {
        router.catalogue.set(Platform::list(&router.readers, &router.writers));
        std::thread::sleep(Duration::from_millis(50));
        router.catalogue.silent(true);
        std::thread::sleep(Duration::from_millis(200));
        router.catalogue.silent(false);
    });
}
