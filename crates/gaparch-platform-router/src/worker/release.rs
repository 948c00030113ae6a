//! Releases of the reserved capacity and KV cache that workers hold for a request.

use super::call::call;
use super::pool::{ConnectionPool, WorkerProcess};
use gaparch_net::Clock;
use gaparch_platform_protocol::client_request::TransactionId;
use gaparch_platform_protocol::worker::encode_release;
use gaparch_scheduler::api::Nanos;
use gaparch_scheduler::policy::connect::SendRisk;
use gaparch_scheduler::policy::kv_release::{next_round_after, ReleaseRounds, MAX_SERVERS};
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The release of all resources held for one request.
pub(crate) struct Release {
    transaction: TransactionId,
    /// Workers that may be called, in this order. Each of them can release resources that are held at any worker.
    processes: Vec<WorkerProcess>,
    /// Timeout of each attempt.
    attempt_timeout: Duration,
}

impl Release {
    /// Prepares a release at those of the workers that are most likely to be running, at most [`MAX_SERVERS`]: the
    /// ones that responded most recently. While a prefill is unanswered, the worker that runs it is usually not
    /// among the first.
    pub fn new(
        transaction: TransactionId,
        mut processes: Vec<WorkerProcess>,
        attempt_timeout: Duration,
        pool: &ConnectionPool,
    ) -> Release {
        processes.sort_by_key(|process| Reverse(pool.last_response_at(*process)));
        processes.truncate(MAX_SERVERS);
        processes.shrink_to_fit();
        Release { transaction, processes, attempt_timeout }
    }
}

/// Releases all resources held for a request. The call is repeated at more and more workers until one of them
/// answers or the release is no longer pending ([`ReleaseRounds`]), since a worker that does not answer may
/// never have received it.
pub(crate) async fn release(release: Release, pool: Arc<ConnectionPool>, clock: Clock) {
    let Release { transaction, processes, attempt_timeout } = release;
    let mut rounds = ReleaseRounds::new(processes.len(), clock.now());
    let mut attempts = JoinSet::new();
    let round_interval = Duration::from_nanos(next_round_after(attempt_timeout.as_nanos() as Nanos));
    while let Some(round) = rounds.next(clock.now()) {
        sleep(Duration::from_nanos(round.pause)).await;
        let send_risk =
            if round.needs_fresh_connections { SendRisk::HeldKvCache } else { SendRisk::TimeOnly };
        for process in round.servers.iter().filter_map(|index| processes.get(*index)) {
            let pool = Arc::clone(&pool);
            attempts.spawn(attempt_release(transaction.clone(), *process, send_risk, attempt_timeout, pool));
        }
        // One answer is enough; the others are not awaited.
        if timeout(round_interval, any_succeeds(&mut attempts)).await == Ok(true) {
            return;
        }
    }
    if any_succeeds(&mut attempts).await {
        return;
    }
    tracing::warn!(txn = transaction.as_str(), "release failed: no worker answers");
}

/// Waits until one of the attempts succeeds; returns `false` once all have failed.
async fn any_succeeds(attempts: &mut JoinSet<bool>) -> bool {
    while let Some(result) = attempts.join_next().await {
        if result.is_ok_and(|succeeded| succeeded) {
            return true;
        }
    }
    false
}

/// Makes one release attempt and returns whether the worker answered.
async fn attempt_release(
    transaction: TransactionId,
    process: WorkerProcess,
    send_risk: SendRisk,
    attempt_timeout: Duration,
    pool: Arc<ConnectionPool>,
) -> bool {
    let head = encode_release(&transaction, &process.address.to_string());
    let attempt = async {
        let connection = pool.get_for(process, send_risk).await.ok()?;
        call(connection, &head, &pool).await
    };
    let status = timeout(attempt_timeout, attempt).await.ok().flatten();
    tracing::debug!(
        target: "gaparch_platform_router::wire",
        txn = transaction.as_str(),
        worker = process.server.0,
        ?status,
        "release attempted"
    );
    status.is_some()
}

#[cfg(test)]
#[path = "release_tests.rs"]
mod tests;
