//! Tests that clients which send at full speed do not delay the answers of a router process to others.

mod common;

use common::{PartOfACore, Site};
use gaparch_testbed::platform::{head_and_body, read, stream, Flood, FloodKind, Step, LONG};
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The time that a usual client waits for the first event.
const REMAINING: Duration = Duration::from_millis(1000);
/// A final answer up to this much after its time only earns nothing; later it is lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Passing on the end of a stream this much late loses it.
const STREAM_END_SLACK: Duration = Duration::from_secs(1);
/// A stream with an event that is held back for longer costs; at most one in ten may.
const EVENT_SLACK: Duration = Duration::from_millis(300);
/// The time between the first event of a worker's stream and the rest.
const STREAM_PAUSE: Duration = Duration::from_millis(300);
const FLOOD_CLIENTS: usize = 6;
const FLOOD_TIME: Duration = Duration::from_secs(5);
const USUAL_CLIENTS: usize = 4;

/// How one usual request went.
#[derive(Clone, Copy, Debug)]
struct Answer {
    is_served: bool,
    /// From the request's last byte to the first byte of the answer.
    first_byte_after: Duration,
    /// From the first byte of the answer to its end.
    rest_after: Duration,
}

/// Sends one request on an open connection and reads its answer.
fn ask(socket: &mut TcpStream, txn: &str) -> Answer {
    let request = String::from_utf8(head_and_body(txn, "{\"stream\":true}")).expect("text");
    let request =
        request.replace("X-Remaining-Ms: 5000", &format!("X-Remaining-Ms: {}", REMAINING.as_millis()));
    let sent_at = Instant::now();
    socket.write_all(request.as_bytes()).expect("written");
    socket.set_read_timeout(Some(LONG)).expect("set");
    let has_answer = socket.peek(&mut [0; 1]).is_ok_and(|length| length > 0);
    let first_byte_at = Instant::now();
    let response = if has_answer { read(socket, LONG) } else { Default::default() };
    Answer {
        is_served: response.status == 200 && response.is_complete,
        first_byte_after: first_byte_at - sent_at,
        rest_after: first_byte_at.elapsed(),
    }
}

/// Clients that ask one request after the other, each on its own connection, for [`FLOOD_TIME`].
fn ask_for_a_while(to: SocketAddr) -> Vec<Answer> {
    let client = move |client: usize| {
        let until = Instant::now() + FLOOD_TIME;
        let mut socket = TcpStream::connect(to).expect("connected");
        let numbers = (0..).take_while(|_| Instant::now() < until);
        numbers.map(|number| ask(&mut socket, &format!("usual-{client}-{number}"))).collect::<Vec<Answer>>()
    };
    let clients: Vec<JoinHandle<Vec<Answer>>> =
        (0..USUAL_CLIENTS).map(|number| std::thread::spawn(move || client(number))).collect();
    clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect()
}

/// The processor time that the router gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Processor {
    Whole,
    Part,
}

/// Asserts that usual clients get their answers in time beside a flood.
fn assert_answers_in_time_beside(kind: FloodKind, processor: Processor) {
    let mut site = Site::new();
    let whole = stream(&gaparch_testbed::platform::events());
    let at = whole.windows(4).rposition(|window| window == b"\n\n\r\n").expect("events") - 20;
    let steps =
        vec![Step::Put(whole[..at].to_vec()), Step::Wait(STREAM_PAUSE), Step::Put(whole[at..].to_vec())];
    site.decode_workers.iter().for_each(|worker| worker.reply_always(steps.clone()));
    let part_of_a_core = (processor == Processor::Part).then(|| PartOfACore::of(site.pid()));
    let flood = Flood::start(site.listen, kind, FLOOD_CLIENTS);
    std::thread::sleep(Duration::from_millis(200));
    let answers = ask_for_a_while(site.listen);
    let received = flood.received_bytes();
    drop((flood, part_of_a_core));
    let served = answers.iter().filter(|answer| answer.is_served).count();
    let late = |answer: &&Answer| answer.first_byte_after > REMAINING + ANSWER_SLACK;
    let late = answers.iter().filter(late).count();
    let held_back =
        |slack: Duration| answers.iter().filter(|answer| answer.rest_after > STREAM_PAUSE + slack).count();
    let (ends_late, events_late) = (held_back(STREAM_END_SLACK), held_back(EVENT_SLACK));
    let longest = answers.iter().map(|answer| answer.first_byte_after).max().unwrap_or_default();
    let seen = format!(
        "{kind:?}: {} requests, {served} served, {late} late, first byte after {longest:?} at most, {ends_late} ends \
         late, {events_late} with an event held back; the flood received {received} bytes",
        answers.len()
    );
    let log = site.kill_and_read_log();
    let delays = log.lines().filter(|line| line.contains("delayed") || line.contains("late "));
    println!("{seen}\n{}", delays.collect::<Vec<&str>>().join("\n"));
    assert!(late == 0 && ends_late == 0, "{seen}");
    assert!(answers.len() >= 20 && served * 10 >= answers.len() * 9, "{seen}");
    assert!(events_late * 10 <= answers.len(), "{seen}");
}

/// Guards against a connection whose requests are answered without a pause while all others wait.
#[test]
fn answers_are_in_time_beside_clients_that_send_health_checks_at_full_speed() {
    assert_answers_in_time_beside(FloodKind::HealthChecks, Processor::Whole);
}

#[test]
fn answers_are_in_time_beside_clients_that_send_blank_lines_at_full_speed() {
    assert_answers_in_time_beside(FloodKind::BlankLines, Processor::Whole);
}

#[test]
fn answers_are_in_time_beside_clients_that_ask_for_unknown_paths_at_full_speed() {
    assert_answers_in_time_beside(FloodKind::UnknownPaths, Processor::Whole);
}

#[test]
fn answers_are_in_time_beside_clients_that_send_requests_under_new_names_at_full_speed() {
    assert_answers_in_time_beside(FloodKind::NewNames, Processor::Whole);
}

#[test]
fn answers_are_in_time_beside_health_checks_at_full_speed_with_part_of_a_core() {
    assert_answers_in_time_beside(FloodKind::HealthChecks, Processor::Part);
}

#[test]
fn answers_are_in_time_beside_blank_lines_at_full_speed_with_part_of_a_core() {
    assert_answers_in_time_beside(FloodKind::BlankLines, Processor::Part);
}

/// Guards against a deadline that is never checked because there is always something to read.
#[test]
fn clients_that_send_line_ends_at_full_speed_get_their_end_in_time() {
    /// The platform allows 3 s; the rest is for a busy machine.
    const ENDS_WITHIN: Duration = Duration::from_secs(5);
    const RESPONSE: &str = "HTTP/1.1 408 ";
    let site = Site::new();
    let flood = Flood::start(site.listen, FloodKind::BlankLines, FLOOD_CLIENTS);
    std::thread::sleep(ENDS_WITHIN);
    let received = flood.received_bytes();
    assert!(received as usize >= FLOOD_CLIENTS * RESPONSE.len(), "received {received} bytes");
}

/// Sends a request on a new connection, and reads the first byte of its answer.
fn is_answered(to: SocketAddr, txn: &str, within: Duration) -> bool {
    let Ok(mut socket) = TcpStream::connect_timeout(&to, within) else { return false };
    socket.set_read_timeout(Some(within)).expect("set");
    socket.write_all(&head_and_body(txn, "{\"stream\":true}")).is_ok()
        && socket.peek(&mut [0; 1]).is_ok_and(|length| length > 0)
}

/// Guards against busy clients that keep all connections for themselves, so that no other client gets one.
#[test]
fn new_clients_are_answered_beside_more_clients_at_full_speed_than_fit() {
    /// Half of the descriptors but for some that are reserved are for clients.
    const DESCRIPTORS: u32 = 128;
    const CLIENTS: usize = 100;
    const REQUESTS: usize = 10;
    let limits = json!({"cores": 1.0, "memory_mb": 32, "sockets": DESCRIPTORS});
    let mut site = Site::with(|config| config["limits"] = limits);
    let flood = Flood::start(site.listen, FloodKind::NewNames, CLIENTS);
    std::thread::sleep(Duration::from_millis(500));
    let request =
        |number: usize| is_answered(site.listen, &format!("new-{number}"), REMAINING + ANSWER_SLACK);
    let answered = (0..REQUESTS).filter(|number| request(*number)).count();
    drop(flood);
    let log = site.kill_and_read_log();
    assert_eq!(answered, REQUESTS, "{log}");
}

/// Guards against periodic work of the owner that waits until there is no message, which with many clients may never
/// be.
#[test]
fn the_summary_is_logged_in_time_beside_many_clients_at_full_speed() {
    const CLIENTS: usize = 200;
    /// Ten seconds to the second summary, and some for a busy machine.
    const SUMMARY_WITHIN: Duration = Duration::from_secs(13);
    let limits = json!({"cores": 1.0, "memory_mb": 64, "sockets": 1024});
    let mut site = Site::with(|config| config["limits"] = limits);
    let flood = Flood::start(site.listen, FloodKind::NewNames, CLIENTS);
    std::thread::sleep(SUMMARY_WITHIN);
    let log = site.kill_and_read_log();
    drop(flood);
    let summaries: Vec<&str> = log.lines().filter(|line| line.contains("summary open=")).collect();
    assert!(summaries.len() >= 2, "{summaries:#?}");
}
