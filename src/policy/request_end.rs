//! The end of a request: it is rejected if a retry is harmless and fails otherwise, and its KV cache is
//! released.

use super::eligibility::WorkerPool;
use super::send_guards::may_reject;
use super::Policy;
use crate::api::{Action, GiveUpCause, GiveUpReason, QueueingReason, RequestId};
use crate::state::{Attempt, InFlightRequest, Stage};

impl Policy {
    /// Gives up a request: rejects it if a retry is harmless, and fails it otherwise.
    pub(super) fn give_up(&mut self, id: RequestId, reason: GiveUpReason) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(class) = self.class_of(request) else { return };
        let is_retry_harmless = may_reject(class, self.may_run(request)).is_ok();
        let cause = GiveUpCause { reason, queueing_reason: self.queueing_reason(request, reason) };
        let retry_after = self.settings.advertised_retry_after();
        let answer = if is_retry_harmless {
            Action::Reject { id, retry_after, cause }
        } else {
            Action::Fail { id, cause }
        };
        self.end_request(id, Some(answer));
    }

    /// Why a request without an attempt in flight is still waiting, judged by the current state.
    fn queueing_reason(&self, request: &InFlightRequest, reason: GiveUpReason) -> Option<QueueingReason> {
        if request.attempt.is_some() || !reason.ends_queueing() {
            return None;
        }
        let has_none = |pool| self.candidates(pool, request).is_empty();
        let needs_prefill_worker = request.kv_cache.is_none() && !self.settings.decode_workers_can_prefill;
        Some(if has_none(WorkerPool::Decode) {
            QueueingReason::NoDecodeWorker
        } else if needs_prefill_worker && has_none(WorkerPool::Prefill) {
            QueueingReason::NoPrefillWorker
        } else if request.facts.over_quota {
            QueueingReason::OverQuota
        } else if !self.decode_workers_have_capacity(request) {
            QueueingReason::DecodeWorkersSaturated
        } else {
            QueueingReason::PrefillWorkersSaturated
        })
    }

    /// Whether an attempt may have run, or may still run. A prefill has no effect, but it may continue
    /// if it can't be cancelled.
    fn may_run(&self, request: &InFlightRequest) -> bool {
        let may_run = |attempt: Attempt| attempt.stage != Stage::Prefill || !self.settings.can_cancel;
        request.may_have_run.is_some() || request.attempt.is_some_and(may_run)
    }

    /// Ends a request with a final answer from this router, or without one if its client has
    /// disconnected.
    pub(super) fn end_request(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(request) = self.requests.get(id).filter(|request| !request.finished) else { return };
        let (attempt, has_kv_cache) = (request.attempt, request.kv_cache.is_some());
        self.requests.update(id, |request| request.finished = true);
        self.admission.remove(id);
        let can_cancel = |attempt: &Attempt| {
            self.settings.can_cancel && !attempt.is_streaming() && !attempt.is_cancelled()
        };
        let cancelled = attempt.filter(can_cancel);
        // Cancelled before the answer, so that a retry never overlaps the attempt.
        self.actions.extend(cancelled.map(|attempt| Action::Cancel { id, attempt: attempt.number }));
        self.actions.extend(answer);
        if attempt.is_none() {
            self.actions.extend(has_kv_cache.then_some(Action::ReleaseKv(id)));
            self.requests.remove(id);
        } else if cancelled.is_none() && has_kv_cache {
            // The decode attempt may never have arrived, and its end may never be reported.
            self.release_beside_attempt(id);
        }
    }
}
