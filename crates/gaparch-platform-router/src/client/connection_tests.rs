//! Tests a client connection with the test in place of the owner.

use super::{Connection, IdleConnections, SharedState};
use crate::messages::OwnerMessage;
use crate::test_support::shared_state;
use gaparch_testbed::platform::head_and_body;
use gaparch_testbed::platform::LONG;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Connects a client that has written a request, and spawns the task that serves it.
async fn client(shared: &Arc<SharedState>, transaction: &str) -> (TcpStream, JoinHandle<()>) {
    client_with_bytes(shared, &head_and_body(transaction, "{}")).await
}

/// Connects a client that has written these bytes, and spawns the task that serves it.
async fn client_with_bytes(shared: &Arc<SharedState>, bytes: &[u8]) -> (TcpStream, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut client =
        TcpStream::connect(listener.local_addr().expect("local address")).await.expect("connected");
    let (socket, _) = listener.accept().await.expect("accepted");
    client.write_all(bytes).await.expect("written");
    let connection = Connection::new(socket, Arc::clone(shared), Arc::new(IdleConnections::default()));
    (client, tokio::spawn(connection.serve()))
}

/// Receives the next request for the owner, and returns its transaction id and queue permit.
async fn receive_request(messages: &mut UnboundedReceiver<OwnerMessage>) -> (String, OwnedSemaphorePermit) {
    match messages.recv().await.expect("a message") {
        OwnerMessage::RequestArrived(arrived) => {
            (arrived.forwarded.transaction.as_str().to_owned(), arrived.queue_permit)
        }
        other => panic!("expected a request, got {other:?}"),
    }
}

/// Guards against an owner queue that grows without bound: clients that connect and disconnect never put more
/// requests into it than it has slots.
#[tokio::test]
async fn the_owner_is_never_notified_of_a_client_that_disconnects_in_the_queue() {
    let (shared, mut messages) = shared_state(1);
    let (_first, _serving) = client(&shared, "first").await;
    let (transaction, permit) = receive_request(&mut messages).await;
    assert_eq!(transaction, "first");
    let (second, serving) = client(&shared, "second").await;
    drop(second);
    serving.await.expect("no panic");
    assert!(messages.try_recv().is_err());
    let (_third, _serving) = client(&shared, "third").await;
    drop(permit);
    assert_eq!(receive_request(&mut messages).await.0, "third");
}

/// The time that the clients with little time state.
const SHORT_REMAINING: Duration = Duration::from_millis(300);
/// The platform accepts an answer this long after the client's time.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// More memory than any pool of a test has.
const ALL_MEMORY: usize = 1 << 30;

/// How a body states its length.
#[derive(Clone, Copy, Debug)]
enum BodyFraming {
    Length,
    Chunks,
}

/// Returns a request with a body that needs a reservation and a header line of this many bytes.
fn large_request(framing: BodyFraming, remaining: Duration, padding_bytes: usize) -> Vec<u8> {
    let body = format!("{{{}}}", " ".repeat(4000));
    let (framing_header, framed_body) = match framing {
        BodyFraming::Length => (format!("Content-Length: {}", body.len()), body),
        BodyFraming::Chunks => {
            ("Transfer-Encoding: chunked".to_owned(), format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()))
        }
    };
    let padding = "x".repeat(padding_bytes);
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nX-Txn: large\r\nX-Lane: chat\r\nX-Remaining-Ms: {}\r\n\
         X-Padding: {padding}\r\n{framing_header}\r\n\r\n{framed_body}",
        remaining.as_millis()
    )
    .into_bytes()
}

/// Reads to the end of the connection. Returns the status of the response and when its first byte arrived.
async fn read_status(mut client: TcpStream) -> (String, Instant) {
    let mut head = [0; 12];
    timeout(LONG, client.read_exact(&mut head)).await.expect("an answer").expect("read");
    let arrived_at = Instant::now();
    (String::from_utf8_lossy(&head[9..]).into_owned(), arrived_at)
}

/// Asserts that the client is rejected within its time, and not much before.
async fn assert_rejected_in_time(client: TcpStream, sent_at: Instant, remaining: Duration, what: &str) {
    let (status, arrived_at) = read_status(client).await;
    let waited = arrived_at.duration_since(sent_at);
    assert_eq!(status, "503", "{what}");
    assert!(waited < remaining + MAX_LATENESS, "{what}: rejected after {waited:?}");
    assert!(waited > remaining / 2, "{what}: rejected after {waited:?}, which is early");
}

/// Guards against requests that wait for memory for their body longer than their client waits for the answer.
#[tokio::test]
async fn a_body_waits_for_memory_no_longer_than_its_client_waits() {
    for framing in [BodyFraming::Length, BodyFraming::Chunks] {
        let (shared, _messages) = shared_state(4);
        let memory = shared.memory.bodies.try_reserve(ALL_MEMORY).expect("free");
        let sent_at = Instant::now();
        let (short, _serving) = client_with_bytes(&shared, &large_request(framing, SHORT_REMAINING, 0)).await;
        assert_rejected_in_time(short, sent_at, SHORT_REMAINING, &format!("{framing:?}")).await;
        drop(memory);
    }
}

/// A client with more time gets the memory that becomes free meanwhile.
#[tokio::test]
async fn a_body_waits_for_memory_while_its_client_has_time() {
    let (shared, mut messages) = shared_state(4);
    let memory = shared.memory.bodies.try_reserve(ALL_MEMORY).expect("free");
    let request = large_request(BodyFraming::Length, Duration::from_secs(5), 0);
    let (_client, _serving) = client_with_bytes(&shared, &request).await;
    sleep(SHORT_REMAINING + MAX_LATENESS).await;
    assert!(messages.try_recv().is_err(), "no memory yet");
    drop(memory);
    assert_eq!(timeout(LONG, receive_request(&mut messages)).await.expect("in time").0, "large");
}

/// Guards against requests that wait for memory for their head longer than their client waits, whether or not
/// the part of the head that has arrived states that time.
#[tokio::test]
async fn a_head_waits_for_memory_no_longer_than_its_client_waits() {
    const LONG_LINE_BYTES: usize = 4000;
    let request = large_request(BodyFraming::Length, SHORT_REMAINING, LONG_LINE_BYTES);
    let text = String::from_utf8(request.clone()).expect("text");
    let unstated =
        text.replace("X-Remaining-Ms: 300\r\n", "").replace("Content-L", "X-Remaining-Ms: 300\r\nContent-L");
    for (what, bytes) in [("stated early", request), ("stated behind a long line", unstated.into_bytes())] {
        let (shared, _messages) = shared_state(4);
        let memory = shared.memory.client_buffers.pool.try_reserve(ALL_MEMORY).expect("free");
        let sent_at = Instant::now();
        let (short, _serving) = client_with_bytes(&shared, &bytes).await;
        assert_rejected_in_time(short, sent_at, SHORT_REMAINING, what).await;
        drop(memory);
    }
}

/// A slow client is not rejected for want of memory that is free.
#[tokio::test]
async fn a_long_head_that_arrives_slowly_is_served_while_there_is_memory() {
    let (shared, mut messages) = shared_state(4);
    let request = large_request(BodyFraming::Length, SHORT_REMAINING, 4000);
    let (begin, rest) = request.split_at(1800);
    let (mut slow, _serving) = client_with_bytes(&shared, begin).await;
    sleep(SHORT_REMAINING + MAX_LATENESS).await;
    slow.write_all(rest).await.expect("written");
    assert_eq!(timeout(LONG, receive_request(&mut messages)).await.expect("in time").0, "large");
}

/// Guards against requests that wait for a slot in the owner's queue longer than their client waits.
#[tokio::test]
async fn a_request_waits_for_the_owner_queue_no_longer_than_its_client_waits() {
    let (shared, mut messages) = shared_state(1);
    let (_first, _serving) = client(&shared, "first").await;
    let (_, permit) = receive_request(&mut messages).await;
    let sent_at = Instant::now();
    let (second, _serving) =
        client_with_bytes(&shared, &large_request(BodyFraming::Length, SHORT_REMAINING, 0)).await;
    assert_rejected_in_time(second, sent_at, SHORT_REMAINING, "queue").await;
    assert!(messages.try_recv().is_err());
    drop(permit);
}
