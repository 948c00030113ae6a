//! A call without a body, as a probe, a reservation or a release.

use super::pool::{ConnectionPool, LastExchange, WorkerConnection};
use crate::transient_errors::write_all;
use bytes::Bytes;
use gaparch_platform_protocol::body::MAX_BODY_BYTES;

/// Makes a call and returns the status of its response once that is complete; `None` where there is no response. The
/// connection goes back to the pool if it can be used again.
pub(super) async fn call(
    mut connection: WorkerConnection,
    head: &Bytes,
    pool: &ConnectionPool,
) -> Option<u16> {
    write_all(&connection.socket.stream, &mut &head[..]).await.ok()?;
    let response = connection.socket.read_response_head().await.ok()?;
    pool.record_response(connection.process);
    if connection.socket.read_body(response.framing, MAX_BODY_BYTES).await.is_ok() {
        pool.put(connection, &response, LastExchange::Call);
    }
    Some(response.status)
}
