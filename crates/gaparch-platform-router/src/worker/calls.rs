//! Calls without a body: probes, and what is held.

use super::pool::{Conn, LastExchange, Pool, Target};
use crate::shared::{Message, Seen, Shared};
use crate::transient::write_all;
use bytes::Bytes;
use gaparch_net::Clock;
use gaparch_platform_protocol::ask::Txn;
use gaparch_platform_protocol::body::MOST_BODY;
use gaparch_platform_protocol::worker::{probe_head, probe_meaning, release_head, reserve_head, reserved};
use gaparch_scheduler::api::{AttemptNumber, AttemptStatus, Nanos, RequestId};
use gaparch_scheduler::policy::connect::SendRisk;
use gaparch_scheduler::policy::kv_release::{next_round_after, ReleaseRounds};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Of a probe's time, for its answer on a kept connection.
const KEPT_SHARE: f64 = 0.5;
/// A reservation is answered within 0.3 s; its read may take longer to be written.
const RESERVE_WITHIN: Duration = Duration::from_secs(1);

/// The status of a call's answer, once that is whole; the connection goes back if it can be used again.
async fn call(mut conn: Conn, head: &Bytes, pool: &Pool) -> Option<u16> {
    write_all(&conn.link.stream, &mut &head[..]).await.ok()?;
    let answer = conn.link.answer().await.ok()?;
    pool.heard(conn.target);
    if conn.link.body(answer.framing, MOST_BODY).await.is_ok() {
        pool.put(conn, &answer, LastExchange::Call);
    }
    Some(answer.status)
}

/// Asks a worker whether it is well.
pub(crate) async fn probe(
    target: Target,
    nonce: u64,
    within: Duration,
    pool: Arc<Pool>,
    shared: Arc<Shared>,
) {
    let head = probe_head(&target.address.to_string());
    let asked = async {
        // A kept connection that breaks says nothing of the worker: told as not reached, it would count as a new
        // process, and cold. A probe does no harm twice.
        if let Some(conn) = pool.idle(target) {
            // Nor does one that has fallen silent: a new one gets the rest of the time.
            if let Ok(Some(status)) = timeout(within.mul_f64(KEPT_SHARE), call(conn, &head, &pool)).await {
                return probe_meaning(status);
            }
        }
        match pool.fresh(target).await {
            Err(failure) => failure.status(),
            // One that closes on a probe could as well not have been reached.
            Ok(conn) => call(conn, &head, &pool).await.map_or(AttemptStatus::ConnectFailed, probe_meaning),
        }
    };
    let status = timeout(within, asked).await.unwrap_or(AttemptStatus::Timeout);
    tracing::debug!(target: "gaparch_platform_router::wire", worker = target.server.0, ?status, "probe");
    shared.tell(Message::Probed { server: target.server, nonce, at: shared.clock.now(), status });
}

/// Asks a worker to hold a place, directly after the last byte of the read that is out.
pub(crate) async fn reserve(
    (id, no, txn): (RequestId, AttemptNumber, Txn),
    target: Target,
    mut read: watch::Receiver<bool>,
    pool: Arc<Pool>,
    shared: Arc<Shared>,
) {
    let head = reserve_head(&txn, &target.address.to_string());
    let asked = async {
        read.wait_for(|written| *written).await.ok()?;
        let conn = pool.get(target).await.ok()?;
        Some(call(conn, &head, &pool).await.and_then(reserved))
    };
    // Not sent at all, nothing is held; without a clear answer a place may be.
    let held = match timeout(RESERVE_WITHIN, asked).await {
        Ok(None) => false,
        Ok(Some(held)) => held.unwrap_or(true),
        Err(_) => true,
    };
    let seen = Seen::Reserved { held };
    shared.tell(Message::Worker { server: target.server, id, no, at: shared.clock.now(), seen });
}

/// What a request may have left behind, and where.
pub(crate) struct Release {
    pub txn: Txn,
    /// Whoever can be told: any worker lets go of it wherever it is held.
    pub targets: Vec<Target>,
    /// For each try.
    pub within: Duration,
}

/// Lets go of all that is held for a request. It is owed until some running worker has it: a worker that does not
/// answer may never have got it, and others are told.
pub(crate) async fn release(release: Release, pool: Arc<Pool>, clock: Clock) {
    let Release { txn, mut targets, within } = release;
    // Who answered last is most likely to run. Where a read was left unanswered that is another than its reader.
    targets.sort_by_key(|target| std::cmp::Reverse(pool.heard_at(*target)));
    let mut rounds = ReleaseRounds::new(targets.len(), clock.now());
    let mut tries = JoinSet::new();
    while let Some(round) = rounds.next(clock.now()) {
        sleep(Duration::from_nanos(round.pause)).await;
        for target in round.servers.iter().filter_map(|place| targets.get(*place)) {
            let carries =
                if round.needs_fresh_connections { SendRisk::HeldKvCache } else { SendRisk::TimeOnly };
            tries.spawn(tell_release(txn.clone(), *target, carries, within, Arc::clone(&pool)));
        }
        // One that has it is enough: the others are not waited for.
        let next = Duration::from_nanos(next_round_after(within.as_nanos() as Nanos));
        if timeout(next, any_answers(&mut tries)).await == Ok(true) {
            return;
        }
    }
    if any_answers(&mut tries).await {
        return;
    }
    tracing::warn!(txn = txn.as_str(), "what is held could not be let go of: no worker answers");
}

/// Whether one of the tries is answered; `false` once none of them is left.
async fn any_answers(tries: &mut JoinSet<bool>) -> bool {
    while let Some(told) = tries.join_next().await {
        if told.is_ok_and(|told| told) {
            return true;
        }
    }
    false
}

/// One try of a release; whether that worker has answered.
async fn tell_release(
    txn: Txn,
    target: Target,
    carries: SendRisk,
    within: Duration,
    pool: Arc<Pool>,
) -> bool {
    let head = release_head(&txn, &target.address.to_string());
    let tried = async {
        let conn = pool.get_for(target, carries).await.ok()?;
        call(conn, &head, &pool).await
    };
    let status = timeout(within, tried).await.ok().flatten();
    tracing::debug!(target: "gaparch_platform_router::wire", txn = txn.as_str(), worker = target.server.0, ?status, "released");
    status.is_some()
}

#[cfg(test)]
#[path = "calls_tests.rs"]
mod tests;
