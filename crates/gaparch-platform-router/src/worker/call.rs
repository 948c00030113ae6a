//! Calls without a request body: probes, reservations and releases.

use super::pool::{ConnectionPool, LastExchange, WorkerConnection};
use crate::transient_errors::write_all;
use bytes::Bytes;
use gaparch_platform_protocol::body::MAX_BODY_BYTES;

/// Makes a call and returns the status of the complete response, or `None` if there is no response. The
/// connection is returned to the pool if it can be reused.
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
