//! Reservations of capacity at a decode worker, made alongside a prefill.

use super::call::call;
use super::pool::{ConnectionPool, WorkerProcess};
use crate::messages::{AttemptEvent, AttemptUpdate, OwnerMessage};
use crate::shared_state::SharedState;
use gaparch_platform_protocol::client_request::TransactionId;
use gaparch_platform_protocol::worker::{encode_reserve, interpret_reservation, Reservation};
use gaparch_scheduler::api::{AttemptNumber, RequestId};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// Timeout of a reservation. A worker answers within 0.3 s, but writing the prefill request before it may
/// take longer.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(1);

/// A reservation made alongside an attempt.
pub(crate) struct ReservationRequest {
    pub request: RequestId,
    pub attempt: AttemptNumber,
    pub transaction: TransactionId,
    /// The decode worker at which capacity is reserved.
    pub process: WorkerProcess,
    /// Becomes `true` when the last byte of the prefill request is written.
    pub prefill_written: watch::Receiver<bool>,
}

/// Reserves capacity as soon as the prefill request is written, and notifies the owner of the result.
pub(crate) async fn reserve(
    mut reservation: ReservationRequest,
    pool: Arc<ConnectionPool>,
    shared: Arc<SharedState>,
) {
    let result = timeout(RESERVATION_TIMEOUT, send(&mut reservation, &pool)).await;
    let reserved = match result {
        Ok(SendResult::NotSent) => false,
        Ok(SendResult::Sent(outcome)) => outcome.may_be_reserved(),
        Err(_) => true,
    };
    shared.notify_owner(OwnerMessage::Attempt(AttemptUpdate {
        server: reservation.process.server,
        request: reservation.request,
        attempt: reservation.attempt,
        at: shared.clock.now(),
        event: AttemptEvent::ReservationAnswered { reserved },
    }));
}

enum SendResult {
    NotSent,
    Sent(Reservation),
}

async fn send(reservation: &mut ReservationRequest, pool: &ConnectionPool) -> SendResult {
    let process = reservation.process;
    let head = encode_reserve(&reservation.transaction, &process.address.to_string());
    if reservation.prefill_written.wait_for(|written| *written).await.is_err() {
        return SendResult::NotSent;
    }
    let Ok(connection) = pool.get(process).await else { return SendResult::NotSent };
    let status = call(connection, &head, pool).await;
    SendResult::Sent(status.map_or(Reservation::Unknown, interpret_reservation))
}
