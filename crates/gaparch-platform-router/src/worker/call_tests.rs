//! Tests that the head of an answer states the outcome of a health check and of a reservation.

use crate::buffered_socket::{BufferMemory, BufferedSocket};
use crate::messages::{AttemptEvent, OwnerMessage};
use crate::test_support::{buffer_memory, shared_state, worker_with_endless_bodies};
use crate::worker::{probe, reserve, ConnectionPool, ReservationRequest};
use gaparch_platform_protocol::body::{Framing, MAX_BODY_BYTES};
use gaparch_platform_protocol::client_request::TransactionId;
use gaparch_router::memory::MemoryPool;
use gaparch_scheduler::api::{AttemptNumber, AttemptStatus, RequestId};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Far longer than a health check takes on a busy machine.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

fn pool() -> Arc<ConnectionPool> {
    Arc::new(ConnectionPool::new(Arc::new(Semaphore::new(8)), buffer_memory(), CONNECT_TIMEOUT, None))
}

/// Guards against a healthy worker that counts as timed out because the body of its answer does not end.
#[tokio::test]
async fn a_health_check_is_answered_by_the_head_of_its_response() {
    let (process, _) = worker_with_endless_bodies("HTTP/1.1 200 OK");
    let (shared, mut messages) = shared_state(1);
    probe(process, 1, PROBE_TIMEOUT, pool(), shared).await;
    match messages.recv().await {
        Some(OwnerMessage::ProbeFinished { status, .. }) => assert_eq!(status, AttemptStatus::Ok),
        other => panic!("expected the result of the health check, got {other:?}"),
    }
}

/// Guards against a reservation that counts as made because the body of the answer that denies it does not
/// end.
#[tokio::test]
async fn a_reservation_is_answered_by_the_head_of_its_response() {
    let (process, _) = worker_with_endless_bodies("HTTP/1.1 409 Conflict");
    let (shared, mut messages) = shared_state(1);
    let (_written, prefill_written) = watch::channel(true);
    let reservation = ReservationRequest {
        request: RequestId(1),
        attempt: AttemptNumber(1),
        transaction: TransactionId::new("txn").expect("an id"),
        process,
        prefill_written,
    };
    reserve(reservation, pool(), shared).await;
    match messages.recv().await {
        Some(OwnerMessage::Attempt(update)) => {
            assert!(matches!(update.event, AttemptEvent::ReservationAnswered { reserved: false }));
        }
        other => panic!("expected the answer to the reservation, got {other:?}"),
    }
}

/// Guards against calls that keep bodies of any length, hundreds of them at once: nothing in them is used.
#[tokio::test]
async fn the_body_of_a_call_is_not_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("local address");
    let pool = MemoryPool::new(1 << 20);
    let memory = BufferMemory { unreserved: 4 * 1024, pool: Arc::clone(&pool) };
    let stream = TcpStream::connect(address).await.expect("connected");
    let (mut worker, _) = listener.accept().await.expect("accepted");
    let body = vec![b'x'; MAX_BODY_BYTES];
    let writing = tokio::spawn(async move { worker.write_all(&body).await });
    let mut socket = BufferedSocket::new(stream, memory);
    let length = Framing::Length(MAX_BODY_BYTES as u64);
    assert_eq!(socket.skip_body(length, MAX_BODY_BYTES).await, Ok(()));
    assert_eq!((socket.buffer.len(), pool.reserved_bytes()), (0, 0));
    assert!(socket.buffer.capacity() <= 4 * 1024, "{} bytes", socket.buffer.capacity());
    writing.await.expect("no panic").expect("written");
}
