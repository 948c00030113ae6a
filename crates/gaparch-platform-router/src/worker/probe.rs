//! Health checks of workers.

use super::call::call;
use super::pool::{ConnectionPool, WorkerProcess};
use crate::messages::OwnerMessage;
use crate::shared_state::SharedState;
use gaparch_platform_protocol::worker::{encode_probe, interpret_probe};
use gaparch_scheduler::api::AttemptStatus;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Share of a probe's timeout that it may spend on an idle connection.
const IDLE_CONNECTION_SHARE: f64 = 0.5;

/// Probes a worker and notifies the owner of the result.
pub(crate) async fn probe(
    process: WorkerProcess,
    nonce: u64,
    probe_timeout: Duration,
    pool: Arc<ConnectionPool>,
    shared: Arc<SharedState>,
) {
    let result = timeout(probe_timeout, probe_status(process, probe_timeout, &pool)).await;
    let status = result.unwrap_or(AttemptStatus::Timeout);
    tracing::debug!(
        target: "gaparch_platform_router::wire",
        worker = process.server.0,
        ?status,
        "probe finished"
    );
    let at = shared.clock.now();
    shared.notify_owner(OwnerMessage::ProbeFinished { server: process.server, nonce, at, status });
}

async fn probe_status(
    process: WorkerProcess,
    probe_timeout: Duration,
    pool: &ConnectionPool,
) -> AttemptStatus {
    let head = encode_probe(&process.address.to_string());
    // An idle connection that breaks or gets no response says nothing about the worker; reported as a connect
    // failure, it would make the worker count as a new process in slow start. A probe is idempotent, so it is
    // retried on a new connection for the rest of the time.
    if let Some(connection) = pool.take_idle(process) {
        let idle_timeout = probe_timeout.mul_f64(IDLE_CONNECTION_SHARE);
        if let Ok(Some(status)) = timeout(idle_timeout, call(connection, &head, pool)).await {
            return interpret_probe(status);
        }
    }
    let connection = match pool.connect(process).await {
        Ok(connection) => connection,
        Err(failure) => return failure.status(),
    };
    match call(connection, &head, pool).await {
        Some(status) => interpret_probe(status),
        // A worker that closes the connection without a response counts as unreachable.
        None => AttemptStatus::ConnectFailed,
    }
}
