//! Calls without a request body: probes, reservations and releases.

use super::pool::{ConnectionPool, LastExchange, WorkerConnection};
use crate::transient_errors::write_all;
use bytes::Bytes;
use gaparch_platform_protocol::body::MAX_BODY_BYTES;
use std::time::Duration;
use tokio::time::timeout;

/// How long the rest of a response is read after its head, so that the connection can be reused. Longer than a
/// peer's delayed acknowledgement, which may separate a body from its head.
const BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Makes a call and returns the status in the head of the response, or `None` if there is none. The
/// connection is returned to the pool if it can be reused.
pub(super) async fn call(
    mut connection: WorkerConnection,
    head: &Bytes,
    pool: &ConnectionPool,
) -> Option<u16> {
    write_all(&connection.socket.stream, &mut &head[..]).await.ok()?;
    let response = connection.socket.read_response_head().await.ok()?;
    pool.record_response(connection.process);
    let reading = connection.socket.skip_body(response.framing, MAX_BODY_BYTES);
    if matches!(timeout(BODY_TIMEOUT, reading).await, Ok(Ok(()))) {
        pool.put(connection, &response, LastExchange::Call);
    }
    Some(response.status)
}

#[cfg(test)]
#[path = "call_tests.rs"]
mod tests;
