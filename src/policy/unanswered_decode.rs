//! Whether a decode attempt has reached a running server, and what is done while that is unknown.
//!
//! A completed write does not prove delivery: a server may hang while its machine still accepts
//! connections and data, and an open connection may no longer deliver data. An attempt that has not
//! arrived does not fetch the KV cache, whose release time keeps running. Only the attempt's own
//! answer proves that it arrived, and the answer may take longer than the KV cache may be held.
//!
//! A release drops a KV cache only if no attempt waits for it. It is therefore sent while a decode
//! attempt is still unanswered when the release time runs out: if the attempt has arrived, the KV
//! cache stays for it; if not, the KV cache is released, and an attempt that arrives later is rejected
//! without running.
//!
//! Before that, the server is probed; an answer proves that it runs. If it does not answer, another
//! decode worker is tried while the KV cache is still held, if the rules allow a second attempt.

use super::constants::{DELIVERY_TIME, PROBE_FRACTION, RELEASE_FRACTION, RETRY_FRACTION, SLOW_PROBE_LATENCY};
use super::eligibility::WorkerPool;
use super::Policy;
use crate::api::{Action, AttemptOutcome, AttemptStatus, Nanos, RequestId};
use crate::state::{Attempt, InFlightRequest, KvCacheLocation, Server, Stage};

/// The state of an unanswered decode attempt that has to fetch a KV cache.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredDecode {
    /// The current time.
    pub now: Nanos,
    /// When the attempt was sent.
    pub sent_at: Nanos,
    /// Since when its KV cache has been held without an attempt known to have arrived.
    pub held_since: Nanos,
    /// How long a KV cache may be held.
    pub release_within: Nanos,
    /// Whether the server has answered something that was sent after the attempt.
    pub server_runs: bool,
    /// When the outstanding probe of the server was sent.
    pub probed_at: Option<Nanos>,
    /// Whether servers may be probed.
    pub may_probe: bool,
}

/// The next step for an unanswered decode attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Wait for an answer.
    Wait,
    /// Probe the server to find out whether it runs.
    Probe,
    /// Try another decode worker, if a second attempt is allowed and a worker has capacity.
    Retry,
    /// Release the KV cache.
    Release,
}

impl UnansweredDecode {
    /// The step that is due now.
    pub fn next_step(&self) -> NextStep {
        if self.is_past(RELEASE_FRACTION, DELIVERY_TIME) {
            return NextStep::Release;
        }
        if self.server_runs {
            return NextStep::Wait;
        }
        if self.is_past(RETRY_FRACTION, DELIVERY_TIME) {
            return NextStep::Retry;
        }
        let can_probe = self.may_probe && self.probed_at.is_none();
        if can_probe && self.is_past(PROBE_FRACTION, DELIVERY_TIME / 2) {
            return NextStep::Probe;
        }
        NextStep::Wait
    }

    /// Whether that fraction of the release time has passed, and `after_send` since the attempt was sent.
    fn is_past(&self, fraction: f64, after_send: Nanos) -> bool {
        let by_release = self.held_since.saturating_add((self.release_within as f64 * fraction) as Nanos);
        let by_send = self.sent_at.saturating_add(after_send);
        self.now >= by_release.max(by_send)
    }

    /// Whether the server has not answered the probe either.
    pub fn is_silent(&self) -> bool {
        let is_late = |sent_at: Nanos| self.now >= sent_at.saturating_add(SLOW_PROBE_LATENCY);
        !self.server_runs && self.probed_at.is_some_and(is_late)
    }
}

/// The state of a KV cache after the end of a decode attempt that had to fetch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvCacheAfterAttempt {
    /// Still held; its release time keeps running.
    Held,
    /// Still held; its release time starts again, because the attempt had reached its server.
    HeldFromNow,
    /// Released.
    Released,
}

/// The state of the KV cache after an attempt that ended with `status`. `was_released`: a release was
/// sent while the attempt was in flight. `server_runs`: the server has answered something that was sent
/// after the attempt; it had received the attempt then, and kept the KV cache for it.
pub fn kv_cache_after_attempt(
    status: AttemptStatus,
    was_released: bool,
    server_runs: bool,
) -> KvCacheAfterAttempt {
    if status.is_answer() || was_released && server_runs {
        KvCacheAfterAttempt::HeldFromNow
    } else if was_released && !status.was_never_sent() {
        KvCacheAfterAttempt::Released
    } else {
        KvCacheAfterAttempt::Held
    }
}

impl Policy {
    /// Carries out the next step for an unanswered decode attempt; returns whether it was cancelled.
    pub(super) fn check_delivery(&mut self, id: RequestId, attempt: &Attempt) -> bool {
        let Some(unanswered) = self.unanswered_decode(id, attempt) else { return false };
        let step = unanswered.next_step();
        let may_retry = || unanswered.is_silent() && self.may_retry_elsewhere(id, attempt);
        match step {
            NextStep::Retry | NextStep::Release if may_retry() => {
                if let Some(server) = self.servers.get_mut(attempt.server) {
                    server.liveness.mark_unresponsive(self.now);
                }
                self.cancel_attempt(id, attempt);
                return true;
            }
            NextStep::Release => self.release_beside_attempt(id),
            NextStep::Probe => self.send_load_probe(attempt.server, self.load_probe_cost()),
            NextStep::Wait | NextStep::Retry => {}
        }
        false
    }

    fn unanswered_decode(&self, id: RequestId, attempt: &Attempt) -> Option<UnansweredDecode> {
        let kv_cache = self.requests.get(id)?.kv_cache?;
        if attempt.stage != Stage::Decode || attempt.kv_released {
            return None;
        }
        // A server that is no longer in the table counts as not running.
        let server = self.servers.get(attempt.server);
        Some(UnansweredDecode {
            now: self.now,
            sent_at: attempt.sent_at,
            held_since: kv_cache.held_since,
            release_within: self.settings.kv_release_within,
            server_runs: server.is_some_and(|server| server.liveness.ran_since(attempt.sent_at)),
            probed_at: server.and_then(|server| server.liveness.probe_sent_at()),
            may_probe: self.settings.can_probe,
        })
    }

    /// Whether a second attempt is harmless, and another decode worker has capacity for it.
    fn may_retry_elsewhere(&self, id: RequestId, attempt: &Attempt) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let can_cancel = self.settings.can_cancel && !attempt.is_cancelled();
        let has_attempts_left = request.attempt_count < self.settings.max_attempts;
        if !self.is_idempotent(request) || !can_cancel || !has_attempts_left {
            return false;
        }
        let can_take_it = |server: &&Server| {
            server.id != attempt.server && self.has_capacity(server, request.expected_kv_tokens())
        };
        self.candidates(WorkerPool::Decode, request).iter().any(can_take_it)
    }

    /// Sends one release of a request's KV cache while its attempt is in flight. The KV cache stays if
    /// the attempt waits for it at its server.
    pub(super) fn release_beside_attempt(&mut self, id: RequestId) {
        let release = |request: &mut InFlightRequest| {
            let attempt = request.attempt.as_mut().filter(|attempt| !attempt.kv_released)?;
            attempt.kv_released = true;
            Some(Action::ReleaseKv(id))
        };
        let released = self.requests.update_unindexed(id, release).flatten();
        self.actions.extend(released);
    }

    /// Updates the state of a request's KV cache after the end of an attempt.
    pub(super) fn update_kv_cache(&mut self, outcome: &AttemptOutcome, attempt: &Attempt) {
        let Some(request) = self.requests.get(outcome.id) else { return };
        let server = self.servers.get(outcome.server);
        let server_runs = server.is_some_and(|server| server.liveness.ran_since(attempt.sent_at));
        let held_from_now = |server| Some(KvCacheLocation { server, held_since: self.now });
        let after_attempt = kv_cache_after_attempt(outcome.status, attempt.kv_released, server_runs);
        let kv_cache = match (request.kv_cache, after_attempt) {
            (None, _) if outcome.status == AttemptStatus::Prefilled => held_from_now(outcome.server),
            (Some(kv_cache), KvCacheAfterAttempt::HeldFromNow) => held_from_now(kv_cache.server),
            (Some(_), KvCacheAfterAttempt::Released) => {
                // At the end of a request, all its KV caches are released anyway.
                let release = (!request.finished).then_some(Action::ReleaseKv(outcome.id));
                self.actions.extend(release);
                None
            }
            (unchanged, _) => unchanged,
        };
        if kv_cache != request.kv_cache {
            self.requests.update(outcome.id, |request| request.kv_cache = kv_cache);
        }
    }
}
