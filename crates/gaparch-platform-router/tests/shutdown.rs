//! The shutdown of a router whose clients go on sending: what comes late is rejected at once, whatever else
//! arrives, since the process may be killed soon after.

mod common;

use common::{ms, started_stream, RunningRouter};
use gaparch_platform_router::Command;
use gaparch_testbed::platform::{events, head_and_body, read, stream, Step, LONG};
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A stream whose first event comes at once and the rest after that time.
fn slow_stream(after: Duration) -> Vec<Step> {
    let whole = stream(&events());
    let first = whole.windows(4).position(|w| w == b"\n\n\r\n").expect("an event") + 4;
    let (first, rest) = whole.split_at(first);
    vec![Step::Put(first.to_vec()), Step::Wait(after), Step::Put(rest.to_vec())]
}

/// Connections that come from then on for so long and begin a request each: none of them can be closed for
/// another.
fn burst(
    router: &RunningRouter,
    from: Instant,
    for_how_long: Duration,
) -> std::thread::JoinHandle<Vec<TcpStream>> {
    let listen = router.listen;
    std::thread::spawn(move || {
        std::thread::sleep(from.saturating_duration_since(Instant::now()));
        let mut all = Vec::new();
        while from.elapsed() < for_how_long && all.len() < 60 {
            let Ok(mut client) = TcpStream::connect(listen) else { break };
            let _ = client.write_all(b"POST /v1/chat/completions HTTP/1.1\r\n");
            all.push(client);
        }
        all
    })
}

/// The platform counts from 0.7 s after the order. A router that is busy with connections that come just then
/// must not accept what comes on an open one all the same.
#[test]
fn what_comes_late_on_an_open_connection_is_rejected_during_a_burst_of_connections() {
    let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(64));
    router.next_write(&slow_stream(ms(850)));
    let mut client = started_stream(&router, "early");
    let ordered_at = Instant::now();
    router.send(Command::Shutdown);
    let burst = burst(&router, ordered_at + ms(350), ms(500));
    // Its response did not say that the connection would close: the client goes on with it.
    assert!(read(&mut client, LONG).whole, "its answer is cut off");
    let _ = client.write_all(&head_and_body("late", "{}"));
    assert!(ordered_at.elapsed() > ms(700), "the machine is faster than the test");
    let answer = read(&mut client, LONG);
    assert_ne!(answer.status, 200, "taken {:?} after the order", ordered_at.elapsed());
    assert!(router.floor.asked().iter().all(|(_, txn)| txn != "late"));
    drop(burst.join().expect("no panic"));
    drop(client);
    router.wait_for_shutdown();
}

/// Nothing of this takes long: a late request is rejected within a moment, for as long as the router has open
/// connections.
#[test]
fn what_comes_on_open_connections_is_rejected_at_once_until_the_last_stream_ends() {
    let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(256));
    let clients: Vec<TcpStream> = (0..6)
        .map(|number| {
            router.next_write(&slow_stream(ms(500 + 400 * number)));
            started_stream(&router, &format!("early-{number}"))
        })
        .collect();
    let ordered_at = Instant::now();
    router.send(Command::Shutdown);
    let mut late_requests = 0;
    for (number, mut client) in clients.into_iter().enumerate() {
        assert!(read(&mut client, LONG).whole, "early-{number} is cut off");
        let late = ordered_at.elapsed() > ms(700);
        late_requests += usize::from(late);
        let asked = Instant::now();
        let _ = client.write_all(&head_and_body(&format!("late-{number}"), "{}"));
        let answer = read(&mut client, LONG);
        assert!(!late || [0, 503].contains(&answer.status), "{}", answer.status);
        assert!(!late || asked.elapsed() < ms(500), "rejected after {:?}", asked.elapsed());
        let was_forwarded = router.floor.asked().iter().any(|(_, txn)| *txn == format!("late-{number}"));
        assert!(!late || !was_forwarded, "late-{number} was forwarded");
    }
    assert!(late_requests >= 4, "{late_requests} came late");
    router.wait_for_shutdown();
}
