//! Tests the timeout of a stream, with the test in place of the owner, the client and the worker.

use super::{Attempt, PROGRESS_TIMEOUT};
use crate::forwarded_request::ForwardedRequest;
use crate::messages::{AttemptEvent, OwnerMessage};
use crate::stream_queue::{stream_queue, ReceivedPart, StreamPart, StreamReceiver};
use crate::test_support::{buffer_memory, shared_state};
use crate::worker::{exchange, ConnectionPool, WorkerProcess};
use bytes::{Bytes, BytesMut};
use gaparch_platform_protocol::body::{encode_chunk, LAST_CHUNK};
use gaparch_platform_protocol::client_request::TransactionId;
use gaparch_platform_protocol::head::event_stream_head;
use gaparch_platform_protocol::worker::Stage;
use gaparch_scheduler::api::{AttemptNumber, Nanos, RequestId, ServerId};
use gaparch_scheduler::policy::connect::SendRisk;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{watch, Semaphore};
use tokio::time::sleep;

/// Longer than the client's and the worker's reaction on any machine that is not stuck.
const PAUSE: Duration = Duration::from_millis(300);

fn decode_attempt(process: WorkerProcess) -> Attempt {
    let transaction = TransactionId::new("txn").expect("valid");
    Attempt {
        request: RequestId(1),
        number: AttemptNumber(1),
        process,
        stage: Stage::Decode,
        send_risk: SendRisk::TimeOnly,
        deadline_at: Nanos::MAX,
        forwarded: Arc::new(ForwardedRequest::new("/".to_owned(), transaction, Bytes::from_static(b"{}"))),
        previous: None,
        release_done: None,
        write_timeout: Duration::from_secs(5),
        write_by: Nanos::MAX,
        release_timeout: Duration::from_secs(1),
        written: watch::channel(false).0,
    }
}

async fn write_events(worker: &mut TcpStream, events: &[&str]) {
    let mut chunks = BytesMut::new();
    events.iter().for_each(|event| encode_chunk(&mut chunks, format!("data: {event}\n\n").as_bytes()));
    worker.write_all(&chunks).await.expect("the stream continues");
}

/// Replies to the first event of a stream with a channel for one part.
async fn open_client(messages: &mut UnboundedReceiver<OwnerMessage>) -> StreamReceiver {
    match messages.recv().await {
        Some(OwnerMessage::Attempt(update)) => match update.event {
            AttemptEvent::FirstToken(reply) => {
                let (sender, client) = stream_queue(1, 1024);
                reply.send(sender).expect("the forwarder waits");
                client
            }
            other => panic!("expected the first event, got {other:?}"),
        },
        other => panic!("expected an event of the attempt, got {other:?}"),
    }
}

/// Guards against a timeout that runs while a sound stream waits for its slow client: the worker then pauses
/// briefly just after the client has caught up.
#[tokio::test]
async fn the_worker_has_its_whole_time_after_the_client_has_caught_up() {
    let (shared, mut messages) = shared_state(1);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("local address");
    let process = WorkerProcess { server: ServerId(1), address, started_at: 0 };
    let pool = Arc::new(ConnectionPool::new(
        Arc::new(Semaphore::new(8)),
        buffer_memory(),
        Duration::from_secs(5),
        None,
    ));
    let exchanging = tokio::spawn(exchange(decode_attempt(process), pool, shared));
    let (mut worker, _) = listener.accept().await.expect("accepted");
    let _ = worker.read(&mut [0; 4096]).await.expect("the request");

    worker.write_all(event_stream_head(false)).await.expect("written");
    write_events(&mut worker, &["one"]).await;
    let mut client = open_client(&mut messages).await;
    sleep(PAUSE).await;
    // The channel is full, so the forwarder waits for the client with the second event.
    write_events(&mut worker, &["two"]).await;
    sleep(PROGRESS_TIMEOUT + PAUSE).await;
    for _ in 0..2 {
        assert!(matches!(client.recv().await, Some(ReceivedPart { part: StreamPart::Events(_), .. })));
    }
    sleep(PAUSE).await;
    write_events(&mut worker, &["three", "[DONE]"]).await;
    assert!(matches!(client.recv().await, Some(ReceivedPart { part: StreamPart::Events(_), .. })));
    worker.write_all(LAST_CHUNK).await.expect("written");
    assert!(matches!(client.recv().await, Some(ReceivedPart { part: StreamPart::End, .. })));
    exchanging.await.expect("no panic");
}
