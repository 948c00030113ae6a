//! Tests streams of decode workers whose bytes keep arriving without an event that the client could see, and
//! sound streams that look similar.

mod common;

use common::{ms, put, RunningRouter};
use gaparch_testbed::platform::{ask, events, head_and_body, stream, Step, LONG};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// By the platform's rules a client's connection ends this long after the last event at the latest.
const MAX_CLIENT_WAIT: Duration = Duration::from_secs(5);
/// The time that clients state in their requests.
const CLIENT_DEADLINE: Duration = Duration::from_secs(5);
/// How long after its deadline a client may receive its answer on a busy machine.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);
/// How long a worker goes on sending bytes that complete no event.
const DRIP_TIME: Duration = Duration::from_secs(8);
const DRIP_INTERVAL: Duration = Duration::from_millis(100);
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// What a client received until its connection ended.
struct Received {
    bytes: Vec<u8>,
    /// How long it waited after the last bytes of an event.
    waited: Duration,
}

impl Received {
    fn has_last_chunk(&self) -> bool {
        self.bytes.ends_with(LAST_CHUNK)
    }

    fn count_events(&self) -> usize {
        count_events(&self.bytes)
    }
}

fn count_events(bytes: &[u8]) -> usize {
    bytes.windows(6).filter(|window| window == b"data: ").count()
}

/// Connects a client that asks for its connection to be closed after the response.
fn send_request(router: &RunningRouter, txn: &str) -> TcpStream {
    let request = String::from_utf8(head_and_body(txn, "{}")).expect("UTF-8");
    let request = request.replacen("\r\n", "\r\nConnection: close\r\n", 1);
    let mut client = TcpStream::connect(router.listen).expect("connected");
    client.write_all(request.as_bytes()).expect("written");
    client
}

/// Reads until the connection ends.
fn receive(client: &mut TcpStream) -> Received {
    client.set_read_timeout(Some(LONG)).expect("set");
    let mut bytes = Vec::new();
    let mut piece = [0; 64 * 1024];
    let mut last_event_at = Instant::now();
    loop {
        match client.read(&mut piece).expect("the connection ends") {
            0 => return Received { bytes, waited: last_event_at.elapsed() },
            length => {
                bytes.extend_from_slice(&piece[..length]);
                if count_events(&piece[..length]) > 0 {
                    last_event_at = Instant::now();
                }
            }
        }
    }
}

/// Writes one byte after the other.
fn drip(bytes: impl IntoIterator<Item = u8>, interval: Duration) -> Vec<Step> {
    bytes.into_iter().flat_map(|byte| [Step::Put(vec![byte]), Step::Wait(interval)]).collect()
}

/// A stream with a first event, followed by bytes that keep arriving.
fn stalled_after_first_event(start: &str, repeated: &str) -> Vec<Step> {
    let first = stream(&events()[..1]);
    let first = first[..first.len() - LAST_CHUNK.len()].to_vec();
    stalled(first, start, repeated)
}

/// The given bytes, followed by bytes that keep arriving.
fn stalled(sound: Vec<u8>, start: &str, repeated: &str) -> Vec<Step> {
    let drips = (DRIP_TIME.as_millis() / DRIP_INTERVAL.as_millis()) as usize;
    let mut steps = vec![Step::Put(sound), put(start)];
    steps.extend(drip(repeated.bytes().cycle().take(drips), DRIP_INTERVAL));
    steps.push(Step::Hang);
    steps
}

/// Plays a stalled stream to a client: its connection has to end in time and without the last chunk, and the
/// router has to serve others.
fn assert_ends_in_time(case: &str, steps: &[Step]) {
    let router = RunningRouter::with(|_| {});
    router.reply_to_next_decode(steps);
    let received = receive(&mut send_request(&router, "stalled"));
    assert!(received.count_events() > 0, "{case}: no event was passed on");
    assert!(!received.has_last_chunk(), "{case}: the stream was ended as complete");
    assert!(received.waited <= MAX_CLIENT_WAIT, "{case}: the client waited {:?}", received.waited);
    assert_eq!(ask(router.listen, "next").status, 200, "{case}");
}

/// Guards against a client that is left waiting because bytes without an event restart its stream's timeout.
#[test]
fn a_stream_ends_in_time_if_bytes_arrive_but_no_events() {
    let all_but_last_line = |whole: Vec<u8>| whole[..whole.len() - b"\r\n".len()].to_vec();
    let cases = [
        ("a malformed chunk size", stalled_after_first_event("", "z")),
        ("a chunk extension", stalled_after_first_event("5;", "x")),
        ("an incomplete event", stalled_after_first_event("4000\r\ndata: ", "x")),
        ("an incomplete event in small chunks", stalled_after_first_event("6\r\ndata: \r\n", "1\r\nx\r\n")),
        ("a trailer", stalled(all_but_last_line(stream(&events())), "x: ", "x")),
    ];
    std::thread::scope(|all| {
        for (case, steps) in &cases {
            all.spawn(move || assert_ends_in_time(case, steps));
        }
    });
}

/// Chunks without an event's data that keep arriving: comments, as some servers send to keep connections open.
fn keep_alive_comments() -> Vec<Step> {
    let comment = put("c\r\n: computing\n\r\n");
    let blank_line = put("1\r\n\n\r\n");
    let count = (DRIP_TIME.as_millis() / DRIP_INTERVAL.as_millis()) as usize;
    let steps = [comment, blank_line, Step::Wait(DRIP_INTERVAL)];
    steps.into_iter().cycle().take(3 * count).collect()
}

/// Guards against a client that is left waiting because its stream brings comments instead of events.
#[test]
fn a_stream_ends_in_time_if_only_comments_arrive() {
    let mut steps = stalled_after_first_event("", "");
    steps.truncate(1);
    steps.extend(keep_alive_comments());
    assert_ends_in_time("comments", &steps);
}

/// Guards against a comment that counts as the first event, from which on the client's deadline no longer
/// applies and no other worker is tried.
#[test]
fn a_request_is_answered_in_time_if_its_stream_begins_with_comments() {
    let router = RunningRouter::with(|_| {});
    let mut steps = vec![put("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")];
    steps.extend(keep_alive_comments());
    router.reply_to_next_decode(&steps);
    let asked_at = Instant::now();
    let got = ask(router.listen, "comments");
    assert!(got.is_complete, "{got:?}");
    assert!(asked_at.elapsed() <= CLIENT_DEADLINE + MAX_ANSWER_DELAY, "{:?}", asked_at.elapsed());
}

/// Guards against comments that are lost, reordered or taken for a fault in a sound stream.
#[test]
fn a_sound_stream_with_comments_is_forwarded_unchanged() {
    let router = RunningRouter::with(|_| {});
    let with_comments: Vec<String> = events().iter().map(|event| format!(": computing\n\n{event}")).collect();
    router.reply_to_next_decode(&[Step::Put(stream(&with_comments))]);
    let got = ask(router.listen, "with-comments");
    assert!(got.is_complete);
    assert_eq!(String::from_utf8_lossy(&got.body), with_comments.concat());
}

/// Guards against a timeout that cuts off a sound stream whose events arrive in small pieces.
#[test]
fn a_sound_stream_in_small_pieces_stays_complete() {
    let router = RunningRouter::with(|_| {});
    router.reply_to_next_decode(&drip(stream(&events()), ms(15)));
    let received = receive(&mut send_request(&router, "pieces"));
    assert!(received.has_last_chunk());
    assert_eq!(received.count_events(), events().len());
}

/// Guards against a timeout that counts the time in which a sound stream waits for its slow client.
#[test]
fn a_sound_stream_behind_a_slow_client_stays_complete() {
    // More than the buffers between the worker and the client hold.
    const EVENTS: usize = 24 * 1024;
    let event = format!("data: {}\n\n", "x".repeat(1000));
    let mut all_events = vec![event; EVENTS];
    all_events.push("data: [DONE]\n\n".to_owned());
    let router = RunningRouter::with(|_| {});
    router.reply_to_next_decode(&[Step::Put(stream(&all_events))]);
    let mut client = send_request(&router, "slow");
    std::thread::sleep(ms(6000));
    let received = receive(&mut client);
    assert!(received.has_last_chunk());
    assert_eq!(received.count_events(), all_events.len());
}

/// Plays a sound stream, which has to arrive complete.
fn assert_complete(case: &str, steps: &[Step]) {
    let router = RunningRouter::with(|_| {});
    router.reply_to_next_decode(steps);
    let received = receive(&mut send_request(&router, "slow"));
    assert!(received.has_last_chunk(), "{case}: the stream was cut off");
}

/// Guards against a stream that is cut off while its worker is still writing.
#[test]
fn a_sound_stream_that_is_written_slowly_stays_complete() {
    /// Clients may be left waiting for 5 s.
    const EVENT_GAP: Duration = Duration::from_millis(4400);
    let chunk = |event: &str| put(&format!("{:x}\r\n{event}\r\n", event.len()));
    let [first, second, third, done] = &events()[..] else { panic!("the events of a response") };
    let opening = put("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let last_chunk = Step::Put(LAST_CHUNK.to_vec());
    let gap = Step::Wait(EVENT_GAP);
    let with_gaps = [
        opening.clone(),
        chunk(first),
        gap.clone(),
        chunk(second),
        gap,
        chunk(third),
        chunk(done),
        last_chunk.clone(),
    ];
    // An event of 16 KB, written over 6.4 s.
    let long = format!("data: {}\n\n", "x".repeat(16_000));
    let long_chunk = format!("{:x}\r\n{long}\r\n", long.len());
    let pieces = long_chunk.as_bytes().chunks(250);
    let written_slowly = pieces.flat_map(|piece| [Step::Put(piece.to_vec()), Step::Wait(DRIP_INTERVAL)]);
    let mut long_event = vec![opening, chunk(first)];
    long_event.extend(written_slowly);
    long_event.extend([chunk(done), last_chunk]);
    std::thread::scope(|all| {
        all.spawn(|| assert_complete("long gaps", &with_gaps));
        all.spawn(|| assert_complete("a long event", &long_event));
    });
}
