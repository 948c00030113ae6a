//! Whether a decode attempt has reached a running server, and what is done while nobody knows.
//!
//! That its last byte has left says nothing: a server may hang while its machine takes connections
//! and bytes, and an open connection may pass nothing any more. An attempt that has not arrived
//! does not fetch the KV cache, so the release time of that runs on. Only the attempt's own answer
//! proves that it arrived, and that may take longer than the KV cache may be held.
//!
//! A release drops a KV cache for which no attempt waits. So it is sent beside a decode attempt
//! that is unanswered when the release time runs out: if the attempt has arrived, the KV cache
//! stays for it; if not, the KV cache is released, and the attempt, should it arrive later, is
//! rejected without having run.
//!
//! Before that the server is probed: one that answers runs. If it does not, another decode worker
//! is tried while the KV cache is still there, where the rules allow a second attempt.

use super::constants::{DELIVERY_TIME, PROBE_FRACTION, RELEASE_FRACTION, RETRY_FRACTION, SLOW_PROBE_LATENCY};
use super::eligibility::WorkerPool;
use super::Policy;
use crate::api::{Action, AttemptOutcome, AttemptStatus, Nanos, RequestId};
use crate::state::{Attempt, InFlightRequest, KvCacheLocation, Server, Stage};

/// What is known of a decode attempt that is in flight, has not been answered, and is to fetch a KV
/// cache.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredDecode {
    /// The present time.
    pub now: Nanos,
    /// When it was sent.
    pub sent_at: Nanos,
    /// Since when its KV cache has been held with no attempt known to have arrived.
    pub held_since: Nanos,
    /// How long a KV cache may be held.
    pub release_within: Nanos,
    /// Its server has answered something that was sent after it.
    pub server_runs: bool,
    /// When the probe of its server that is outstanding was sent.
    pub probed_at: Option<Nanos>,
    /// Servers may be probed.
    pub may_probe: bool,
}

/// What is to be done about a decode attempt that is unanswered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing yet.
    Wait,
    /// To find out whether its server runs.
    Probe,
    /// To try another decode worker, if that is of use.
    Retry,
    /// To release its KV cache.
    Release,
}

impl UnansweredDecode {
    /// What is to be done now.
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

    /// Whether a share of the release time is over, and so much time since the attempt was sent.
    fn is_past(&self, share: f64, after_send: Nanos) -> bool {
        let by_release = self.held_since.saturating_add((self.release_within as f64 * share) as Nanos);
        let by_send = self.sent_at.saturating_add(after_send);
        self.now >= by_release.max(by_send)
    }

    /// Its server does not answer a probe either.
    pub fn is_silent(&self) -> bool {
        let is_late = |sent_at: Nanos| self.now >= sent_at.saturating_add(SLOW_PROBE_LATENCY);
        !self.server_runs && self.probed_at.is_some_and(is_late)
    }
}

/// What has become of a KV cache with the end of a decode attempt that was to fetch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvCacheAfterAttempt {
    /// It is held, and its release time runs on.
    Held,
    /// It is held, and its release time begins anew: the server had the attempt.
    HeldFromNow,
    /// It was released.
    Released,
}

/// `was_released`: a release was sent beside the attempt. `server_runs`: the server has answered
/// something that was sent after the attempt, and so had it: the KV cache stayed for it.
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
    /// Looks after an unanswered attempt that may be a decode attempt; whether it was cancelled.
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
        // A server that is not known any more is not known to run.
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

    /// A second attempt is harmless, and another decode worker has capacity for it.
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

    /// Releases a request's KV cache, once, unless the attempt that is in flight waits for it at
    /// its server.
    pub(super) fn release_beside_attempt(&mut self, id: RequestId) {
        let release = |request: &mut InFlightRequest| {
            let attempt = request.attempt.as_mut().filter(|attempt| !attempt.kv_released)?;
            attempt.kv_released = true;
            Some(Action::ReleaseKv(id))
        };
        let released = self.requests.update_unindexed(id, release).flatten();
        self.actions.extend(released);
    }

    /// Records what has become of a request's KV cache with the end of an attempt.
    pub(super) fn update_kv_cache(&mut self, outcome: &AttemptOutcome, attempt: &Attempt) {
        let Some(request) = self.requests.get(outcome.id) else { return };
        let server = self.servers.get(outcome.server);
        let server_runs = server.is_some_and(|server| server.liveness.ran_since(attempt.sent_at));
        let anew = |server| Some(KvCacheLocation { server, held_since: self.now });
        let fate = kv_cache_after_attempt(outcome.status, attempt.kv_released, server_runs);
        let settled = match (request.kv_cache, fate) {
            (None, _) if outcome.status == AttemptStatus::Prefilled => anew(outcome.server),
            (Some(kv_cache), KvCacheAfterAttempt::HeldFromNow) => anew(kv_cache.server),
            (Some(_), KvCacheAfterAttempt::Released) => {
                // At the end of a request everything is released anyway.
                let release = (!request.finished).then_some(Action::ReleaseKv(outcome.id));
                self.actions.extend(release);
                None
            }
            (unchanged, _) => unchanged,
        };
        if settled != request.kv_cache {
            self.requests.update(outcome.id, |request| request.kv_cache = settled);
        }
    }
}
