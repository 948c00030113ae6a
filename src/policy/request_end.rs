//! The end of a request: rejected where a retry is harmless, else failed; no KV cache stays held.

use super::eligibility::WorkerPool;
use super::send_guards::may_reject;
use super::Policy;
use crate::api::{Action, GiveUpCause, GiveUpReason, QueueingReason, RequestId};
use crate::state::{Attempt, InFlightRequest, Stage};

impl Policy {
    /// Gives a request up: it is rejected where a retry is harmless, else it fails.
    pub(super) fn give_up(&mut self, id: RequestId, reason: GiveUpReason) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(class) = self.class_of(request) else { return };
        let retry_is_harmless = may_reject(class, self.may_run(request)).is_ok();
        let cause = GiveUpCause { reason, queueing_reason: self.queueing_reason(request, reason) };
        let retry_after = self.settings.advertised_retry_after();
        let answer = if retry_is_harmless {
            Action::Reject { id, retry_after, cause }
        } else {
            Action::Fail { id, cause }
        };
        self.end_request(id, Some(answer));
    }

    /// What has kept a request waiting that has no attempt in flight, as far as it can be told now.
    fn queueing_reason(&self, request: &InFlightRequest, reason: GiveUpReason) -> Option<QueueingReason> {
        if request.attempt.is_some() || !reason.ends_a_wait() {
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

    /// An attempt may have run, or may yet. A prefill has no effect, but one that can't be
    /// cancelled may go on.
    fn may_run(&self, request: &InFlightRequest) -> bool {
        let may_run = |attempt: Attempt| attempt.stage != Stage::Prefill || !self.settings.can_cancel;
        request.may_have_run.is_some() || request.attempt.is_some_and(may_run)
    }

    /// Ends a request: by a final answer of ours, or because its client has left.
    pub(super) fn end_request(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(request) = self.requests.get(id).filter(|request| !request.finished) else { return };
        let (attempt, has_kv_cache) = (request.attempt, request.kv_cache.is_some());
        self.requests.update(id, |request| request.finished = true);
        self.admission.remove(id);
        let can_cancel = |attempt: &Attempt| {
            self.settings.can_cancel && !attempt.is_streaming() && !attempt.is_cancelled()
        };
        let cancelled = attempt.filter(can_cancel);
        // First, so that no retry crosses an attempt that is in flight.
        self.actions.extend(cancelled.map(|attempt| Action::Cancel { id, attempt: attempt.number }));
        self.actions.extend(answer);
        if attempt.is_none() {
            self.actions.extend(has_kv_cache.then_some(Action::ReleaseKv(id)));
            self.requests.remove(id);
        } else if cancelled.is_none() && has_kv_cache {
            // Nobody may hear of the end of its decode attempt, and that may never have arrived.
            self.release_beside_attempt(id);
        }
    }
}
