//! Releases of what workers hold for a request: reserved capacity and KV cache.

use super::call::call;
use super::pool::{ConnectionPool, WorkerProcess};
use gaparch_net::Clock;
use gaparch_platform_protocol::client_request::TransactionId;
use gaparch_platform_protocol::worker::encode_release;
use gaparch_scheduler::api::Nanos;
use gaparch_scheduler::policy::connect::SendRisk;
use gaparch_scheduler::policy::kv_release::{next_round_after, ReleaseRounds};
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// A release for one request.
pub(crate) struct Release {
    pub transaction: TransactionId,
    /// Workers that may be called: each of them releases what is held at any worker.
    pub processes: Vec<WorkerProcess>,
    /// Time-out of each attempt.
    pub attempt_timeout: Duration,
}

/// Releases all that is held for a request. It is retried until a running worker has answered: one that does not answer may
/// never have got the call, and others are called.
pub(crate) async fn release(release: Release, pool: Arc<ConnectionPool>, clock: Clock) {
    let Release { transaction, mut processes, attempt_timeout } = release;
    // A worker that responded last is most likely to run. Where a prefill is unanswered that is another than its worker.
    processes.sort_by_key(|process| Reverse(pool.last_response_at(*process)));
    let mut rounds = ReleaseRounds::new(processes.len(), clock.now());
    let mut attempts = JoinSet::new();
    let round_interval = Duration::from_nanos(next_round_after(attempt_timeout.as_nanos() as Nanos));
    while let Some(round) = rounds.next(clock.now()) {
        sleep(Duration::from_nanos(round.pause)).await;
        let carries = if round.needs_fresh_connections { SendRisk::HeldKvCache } else { SendRisk::TimeOnly };
        for process in round.servers.iter().filter_map(|index| processes.get(*index)) {
            let pool = Arc::clone(&pool);
            attempts.spawn(attempt_release(transaction.clone(), *process, carries, attempt_timeout, pool));
        }
        // One answer is enough: the others are not waited for.
        if timeout(round_interval, any_succeeds(&mut attempts)).await == Ok(true) {
            return;
        }
    }
    if any_succeeds(&mut attempts).await {
        return;
    }
    tracing::warn!(txn = transaction.as_str(), "release failed: no worker answers");
}

/// Whether one of the attempts succeeds; `false` once none of them is left.
async fn any_succeeds(attempts: &mut JoinSet<bool>) -> bool {
    while let Some(result) = attempts.join_next().await {
        if result.is_ok_and(|succeeded| succeeded) {
            return true;
        }
    }
    false
}

/// Makes one attempt of a release, and returns whether the worker has answered.
async fn attempt_release(
    transaction: TransactionId,
    process: WorkerProcess,
    carries: SendRisk,
    attempt_timeout: Duration,
    pool: Arc<ConnectionPool>,
) -> bool {
    let head = encode_release(&transaction, &process.address.to_string());
    let attempt = async {
        let connection = pool.get_for(process, carries).await.ok()?;
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
