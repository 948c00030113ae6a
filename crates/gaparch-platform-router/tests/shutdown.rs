//! Tests the shutdown of a router whose clients keep sending. Late requests are rejected immediately,
//! whatever else arrives, since the process may be killed soon after.

mod common;

use common::{ms, started_stream, RunningRouter};
use gaparch_platform_router::Command;
use gaparch_testbed::platform::{events, head_and_body, read, stream, Step, LONG};
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Returns a stream whose first event is sent immediately and the rest after a delay.
fn slow_stream(delay: Duration) -> Vec<Step> {
    let whole = stream(&events());
    let first = whole.windows(4).position(|w| w == b"\n\n\r\n").expect("an event") + 4;
    let (first, rest) = whole.split_at(first);
    vec![Step::Put(first.to_vec()), Step::Wait(delay), Step::Put(rest.to_vec())]
}

/// Opens connections from a given time on, for a given duration. Each begins a request, so that none of them
/// can be closed for another.
fn spawn_connection_burst(
    router: &RunningRouter,
    start: Instant,
    duration: Duration,
) -> std::thread::JoinHandle<Vec<TcpStream>> {
    let listen = router.listen;
    std::thread::spawn(move || {
        std::thread::sleep(start.saturating_duration_since(Instant::now()));
        let mut all = Vec::new();
        while start.elapsed() < duration && all.len() < 60 {
            let Ok(mut client) = TcpStream::connect(listen) else { break };
            let _ = client.write_all(b"POST /v1/chat/completions HTTP/1.1\r\n");
            all.push(client);
        }
        all
    })
}

/// The platform requires that requests are rejected from 0.7 s after the shutdown command. Guards against a
/// router that is busy with a burst of new connections at that time and still accepts a request on an open
/// connection.
#[test]
fn a_late_request_on_an_open_connection_is_rejected_during_a_burst_of_connections() {
    let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(64));
    router.reply_to_next_decode(&slow_stream(ms(850)));
    let mut client = started_stream(&router, "early");
    let shutdown_at = Instant::now();
    router.send(Command::Shutdown);
    let burst = spawn_connection_burst(&router, shutdown_at + ms(350), ms(500));
    // The response did not announce that the connection closes, so the client continues to use it.
    assert!(read(&mut client, LONG).is_complete, "the response is cut off");
    let _ = client.write_all(&head_and_body("late", "{}"));
    assert!(shutdown_at.elapsed() > ms(700), "the stream ended too early for the request to be late");
    let answer = read(&mut client, LONG);
    assert_ne!(answer.status, 200, "accepted {:?} after the shutdown command", shutdown_at.elapsed());
    assert!(router.worker_log.requests().iter().all(|(_, txn)| txn != "late"));
    drop(burst.join().expect("no panic"));
    drop(client);
    router.wait_for_shutdown();
}

/// A late request is rejected promptly for as long as the router has open connections.
#[test]
fn late_requests_on_open_connections_are_rejected_promptly_until_the_last_stream_ends() {
    let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(256));
    let clients: Vec<TcpStream> = (0..6)
        .map(|number| {
            router.reply_to_next_decode(&slow_stream(ms(500 + 400 * number)));
            started_stream(&router, &format!("early-{number}"))
        })
        .collect();
    let shutdown_at = Instant::now();
    router.send(Command::Shutdown);
    let mut late_requests = 0;
    for (number, mut client) in clients.into_iter().enumerate() {
        assert!(read(&mut client, LONG).is_complete, "early-{number} is cut off");
        let is_late = shutdown_at.elapsed() > ms(700);
        late_requests += usize::from(is_late);
        let sent_at = Instant::now();
        let _ = client.write_all(&head_and_body(&format!("late-{number}"), "{}"));
        let answer = read(&mut client, LONG);
        assert!(!is_late || [0, 503].contains(&answer.status), "{}", answer.status);
        assert!(!is_late || sent_at.elapsed() < ms(500), "rejected after {:?}", sent_at.elapsed());
        let was_forwarded =
            router.worker_log.requests().iter().any(|(_, txn)| *txn == format!("late-{number}"));
        assert!(!is_late || !was_forwarded, "late-{number} was forwarded");
    }
    assert!(late_requests >= 4, "only {late_requests} requests were late");
    router.wait_for_shutdown();
}

/// Starts a stream of which the worker writes nothing after the first event.
fn stalled_stream(router: &RunningRouter, txn: &str) -> TcpStream {
    let mut steps = slow_stream(ms(0));
    steps.truncate(1);
    steps.push(Step::Hang);
    router.reply_to_next_decode(&steps);
    started_stream(router, txn)
}

/// A router that shuts down ends with its last sound stream: neither streams that make no progress nor clients that
/// do not read keep it.
#[test]
fn the_router_ends_with_its_last_sound_stream_beside_stalled_ones() {
    const SOUND_FOR: Duration = Duration::from_millis(6000);
    let router = RunningRouter::with(|config| config["limits"]["sockets"] = json!(256));
    let mut stalled: Vec<TcpStream> =
        (0..4).map(|number| stalled_stream(&router, &format!("stalled-{number}"))).collect();
    router.reply_to_next_decode(&slow_stream(ms(2000)));
    let finished_unread = started_stream(&router, "finished-unread");
    // One event after the other, each in time.
    let steps: Vec<Step> = slow_stream(SOUND_FOR / 2).into_iter().collect();
    let [Step::Put(first), wait, Step::Put(rest)] = &steps[..] else { panic!("{steps:?}") };
    let middle = rest.windows(4).position(|w| w == b"\n\n\r\n").expect("an event") + 4;
    let (second, last) = rest.split_at(middle);
    let parts = [first, second, last].map(|part| Step::Put(part.to_vec()));
    let [first, second, last] = parts;
    router.reply_to_next_decode(&[first, wait.clone(), second, wait.clone(), last]);
    let mut sound = started_stream(&router, "sound");
    let shutdown_at = Instant::now();
    router.send(Command::Shutdown);
    assert!(read(&mut sound, LONG).is_complete, "the sound stream is cut off");
    assert!(shutdown_at.elapsed() > SOUND_FOR - ms(500));
    for client in &mut stalled {
        assert!(!read(client, LONG).is_complete);
    }
    let sound_ended_at = Instant::now();
    router.wait_for_shutdown();
    assert!(sound_ended_at.elapsed() < Duration::from_secs(5), "{:?}", sound_ended_at.elapsed());
    drop(finished_unread);
}
