//! Tests that the head of an answer states the outcome of a health check and of a reservation.

use crate::messages::{AttemptEvent, OwnerMessage};
use crate::test_support::{buffer_memory, shared_state, worker_with_endless_bodies};
use crate::worker::{probe, reserve, ConnectionPool, ReservationRequest};
use gaparch_platform_protocol::client_request::TransactionId;
use gaparch_scheduler::api::{AttemptNumber, AttemptStatus, RequestId};
use std::sync::Arc;
use std::time::Duration;
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
