//! Each moment of a request against each fault, on one harness; the workers' log is judged after each.

mod common;

use common::{put, Site};
use gaparch_platform_router::Order;
use gaparch_testbed::platform::{
    ask, events, head_and_body, judge, read, stream, until, Facts, Platform, Step, LONG,
};
use rustix::net::sockopt::set_socket_linger;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    Connecting,
    Head,
    Body,
    /// No writer: held before its read.
    Waiting,
    Reading,
    /// Read, and no writer to send it to.
    BetweenStages,
    Writing,
    Streaming,
    /// Its answer is over.
    Resting,
}

use Moment::*;

const MOMENTS: [Moment; 9] =
    [Connecting, Head, Body, Waiting, Reading, BetweenStages, Writing, Streaming, Resting];
const TXN: &str = "txn";
const GRACE: Duration = Duration::from_millis(500);
/// Past the last moment at which something may still be sent for a client that has left.
const AFTERWARDS: Duration = Duration::from_millis(300);

/// The head of a stream and its first event.
fn first_event() -> Step {
    let event = &events()[0];
    put(&format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n", event.len()))
}

/// What a client has written of its request by then.
fn written(moment: Moment) -> Vec<u8> {
    let whole = head_and_body(TXN, "{\"stream\":true}");
    match moment {
        Connecting => Vec::new(),
        Head => whole[..60].to_vec(),
        Body => whole[..whole.len() - 5].to_vec(),
        _ => whole,
    }
}

/// Brings a client to that moment.
fn bring(site: &Site, moment: Moment) -> TcpStream {
    let list = Platform::list(&site.readers, &site.writers);
    let whole = stream(&events());
    match moment {
        Waiting => site.tell(Platform::without_writers(&list)),
        Reading => site.readers[0].then(vec![Step::Hang]),
        BetweenStages => site.readers[0].then(vec![
            Step::Wait(Duration::from_millis(300)),
            put("HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"),
        ]),
        Writing => site.next_write(&[Step::Hang]),
        Streaming => {
            let Step::Put(first) = first_event() else { unreachable!("it is put") };
            let head = whole.windows(6).position(|w| w == b"data: ").expect("an event");
            let second = head + whole[head..].windows(2).position(|w| w == b"\n\n").expect("its end") + 4;
            let rest = Step::Put(whole[second..].to_vec());
            site.next_write(&[Step::Put(first), Step::Wait(Duration::from_millis(700)), rest]);
        }
        Connecting | Head | Body | Resting => {}
    }
    let mut client = TcpStream::connect(site.listen).expect("it listens");
    client.write_all(&written(moment)).expect("written");
    let asked =
        |of: &str| site.floor.asked().iter().any(|(worker, txn)| worker.starts_with(of) && txn == TXN);
    match moment {
        Connecting | Head | Body => {}
        Waiting => std::thread::sleep(Duration::from_millis(50)),
        Reading => until("it is being read", || asked("r-")),
        BetweenStages => {
            until("it is being read", || asked("r-"));
            site.tell(Platform::without_writers(&list));
            std::thread::sleep(Duration::from_millis(50));
        }
        Writing => until("it is being written", || asked("w-")),
        Streaming => {
            client.set_read_timeout(Some(LONG)).expect("set");
            client.read_exact(&mut [0; 1]).expect("its answer begins");
        }
        Resting => assert!(read(&mut client, LONG).whole),
    }
    client
}

/// The client goes by `go`: nothing more is sent for it, what it left is let go of, and others are served.
fn leaves(go: fn(TcpStream)) {
    std::thread::scope(|all| {
        for moment in MOMENTS {
            all.spawn(move || {
                let site = Site::with(|_| {});
                let client = bring(&site, moment);
                let mut facts = Facts::default();
                go(client);
                // Who has had its answer may ask again.
                facts.left.extend((moment != Resting).then(|| (TXN.to_owned(), Instant::now())));
                std::thread::sleep(gaparch_testbed::platform::LEFT + AFTERWARDS);
                site.tell(Platform::list(&site.readers, &site.writers));
                assert_eq!(ask(site.listen, "next").status, 200, "{moment:?}");
                if matches!(moment, Reading | BetweenStages | Writing) {
                    until("what it left is let go of", || site.released(TXN));
                }
                assert_eq!(judge(&site.floor.log(), &facts), Vec::<String>::new(), "{moment:?}");
                // Its id is free again.
                until("its id is free", || ask(site.listen, TXN).status == 200);
            });
        }
    });
}

#[test]
fn a_close_at_any_moment() {
    leaves(drop);
}

#[test]
fn a_reset_at_any_moment() {
    leaves(|client| {
        set_socket_linger(&client, Some(Duration::ZERO)).expect("set");
        drop(client);
    });
}

#[test]
fn a_half_close_at_any_moment() {
    leaves(|mut client| {
        client.shutdown(Shutdown::Write).expect("it is open");
        client.set_read_timeout(Some(LONG)).expect("set");
        let _ = client.read_to_end(&mut Vec::new());
    });
}

#[test]
fn a_flood_and_a_close_at_any_moment() {
    leaves(|mut client| {
        client.set_write_timeout(Some(Duration::from_millis(500))).expect("set");
        let _ = client.write_all(&vec![b'x'; 600 * 1024]);
        drop(client);
    });
}

/// The client stays: it gets one whole answer and nothing after it, whatever is done to its router.
fn stays(ends: bool, fault: fn(&Site, &mut Facts)) {
    std::thread::scope(|all| {
        for moment in MOMENTS {
            all.spawn(move || {
                let site = Site::with(|_| {});
                let mut client = bring(&site, moment);
                let mut facts = Facts::default();
                fault(&site, &mut facts);
                let whole = head_and_body(TXN, "{\"stream\":true}");
                let rest = &whole[written(moment).len()..];
                client.write_all(rest).expect("it is open");
                if moment != Resting {
                    let status = match moment {
                        // The list may say again that there are writers.
                        Waiting | BetweenStages => [200, 503],
                        // The one that hangs may be the only one left.
                        Reading | Writing if !facts.drained.is_empty() => [200, 503],
                        _ => [200, 200],
                    };
                    // Its first byte was taken where the stream had begun.
                    let got = match moment {
                        Streaming => streamed(&mut client),
                        _ => read(&mut client, LONG),
                    };
                    assert!(got.whole && status.contains(&got.status), "{moment:?}: {got:?}");
                }
                client.set_read_timeout(Some(Duration::from_millis(200))).expect("set");
                let after = client.read(&mut [0; 64]).map_err(|error| error.kind());
                let none = matches!(after, Ok(0) | Err(ErrorKind::WouldBlock | ErrorKind::TimedOut));
                assert!(none, "{moment:?}: something after the answer: {after:?}");
                assert_eq!(judge(&site.floor.log(), &facts), Vec::<String>::new(), "{moment:?}");
                match ends {
                    true => site.ended(),
                    false => assert_eq!(ask(site.listen, "next").status, 200, "{moment:?}"),
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
fn an_end_ordered_at_any_moment() {
    stays(true, |site, _| {
        site.order(Order::Shutdown);
        until("it is on its way out", || site.health() != 200);
        site.catalogue.set(Platform::list(&site.readers, &site.writers));
    });
}

#[test]
fn a_configuration_read_again_at_any_moment() {
    stays(false, |site, _| {
        std::fs::write(&site.file, "{").expect("written");
        site.order(Order::Reload);
        std::thread::sleep(Duration::from_millis(50));
        std::fs::write(&site.file, site.config.to_string()).expect("written");
        site.order(Order::Reload);
        site.catalogue.set(Platform::list(&site.readers, &site.writers));
    });
}

#[test]
fn a_drain_told_at_any_moment() {
    stays(false, |site, facts| {
        let mut list = Platform::list(&site.readers, &site.writers);
        (list[0]["lifecycle"], list[2]["lifecycle"]) = (json!("draining"), json!("draining"));
        site.tell(list);
        let end = Instant::now() + GRACE;
        facts.drained.extend([("r-1".to_owned(), end), ("w-1".to_owned(), end)]);
    });
}

#[test]
fn a_silent_catalogue_at_any_moment() {
    stays(false, |site, _| {
        site.catalogue.set(Platform::list(&site.readers, &site.writers));
        std::thread::sleep(Duration::from_millis(50));
        site.catalogue.silent(true);
        std::thread::sleep(Duration::from_millis(200));
        site.catalogue.silent(false);
    });
}
