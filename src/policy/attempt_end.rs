//! The end of attempts: what it says about the servers, and how the request continues.

use super::constants::{
    ATTEMPTS_FROM_KV_CACHE, ATTEMPTS_FROM_START, LATENCY_COMPARISON, PREFILL_BASE_TOKENS, PREFILL_GAINS,
    PREFILL_MISSED_FRACTION, REPORT_LAG,
};
use super::repeated_ids::may_have_run;
use super::Policy;
use crate::api::{Action, AttemptOutcome, AttemptStatus, GiveUpReason, Idempotency, RequestId};
use crate::state::{Attempt, MayHaveRun, Stage};

impl Policy {
    /// Handles the end of an attempt.
    pub(super) fn on_attempt_finished(&mut self, outcome: &AttemptOutcome) {
        self.record_health(outcome);
        let ended = self.requests.update(outcome.id, |request| {
            let attempt = request.attempt.take_if(|attempt| attempt.number == outcome.attempt)?;
            request.finished |= outcome.request_finished;
            Some(attempt)
        });
        let Some(attempt) = ended.flatten() else { return };
        if let Some(server) = self.servers.get_mut(outcome.server) {
            let mean_tokens = self.prefill_cost.mean_computed_tokens();
            server.end_attempt(self.now, REPORT_LAG, &attempt);
            server.record_report(self.now, REPORT_LAG, outcome.report, mean_tokens);
        }
        self.learn_from_prefill(outcome, &attempt);
        self.record_completed_attempt(outcome, &attempt);
        self.update_kv_cache(outcome, &attempt);
        self.follow_up_attempt(outcome, &attempt);
    }

    fn learn_from_prefill(&mut self, outcome: &AttemptOutcome, attempt: &Attempt) {
        if outcome.status != AttemptStatus::Prefilled || attempt.stage == Stage::Decode {
            return;
        }
        let Some(request) = self.requests.get(outcome.id) else { return };
        let missed_after = PREFILL_MISSED_FRACTION * request.time_to_objective();
        if attempt.stage == Stage::Prefill {
            let uncached = request.request().prompt_tokens - outcome.cached_prompt_tokens as f64;
            let computed = PREFILL_BASE_TOKENS + uncached.max(0.0);
            let per_token =
                self.prefill_cost.record_finished(attempt, outcome.latency, computed, PREFILL_GAINS);
            LATENCY_COMPARISON.record(&mut self.servers, outcome.server, per_token);
        }
        if outcome.latency as f64 > missed_after {
            self.admission.record_missed_prefill(self.now);
        }
    }

    /// Decides how a request continues after the end of an attempt.
    fn follow_up_attempt(&mut self, outcome: &AttemptOutcome, attempt: &Attempt) {
        let id = outcome.id;
        let Some(request) = self.requests.get(id) else { return };
        if request.finished {
            self.actions.extend((!attempt.is_streaming()).then_some(Action::ReleaseKv(id)));
            self.requests.remove(id);
            return;
        }
        let may_have_run = request.may_have_run.or_else(|| self.possible_execution(outcome, attempt));
        let is_kv_cache_missing = outcome.kv_cache_missing && attempt.stage != Stage::Prefill;
        let counts_against_server =
            !matches!(outcome.status, AttemptStatus::Prefilled | AttemptStatus::NoSocket);
        self.requests.update(id, |request| {
            request.may_have_run = may_have_run;
            if is_kv_cache_missing {
                request.kv_cache = None;
            } else if counts_against_server && !request.failed_servers.contains(&outcome.server) {
                request.failed_servers.push(outcome.server);
            }
        });
        if is_kv_cache_missing {
            // The KV cache was out of the decode worker's reach, which does not mean that it is gone: a
            // holder that is cut off still has it, and has to release it.
            self.actions.push(Action::ReleaseKv(id));
        }
        self.continue_request(id, outcome.status);
    }

    /// The attempt, if it may have run and a second execution may be harmful.
    fn possible_execution(&self, outcome: &AttemptOutcome, attempt: &Attempt) -> Option<MayHaveRun> {
        let request = self.requests.get(outcome.id)?;
        let class = &self.settings.classes[request.request().class.0];
        let has_not_run = !may_have_run(outcome.status);
        let is_harmless = attempt.stage == Stage::Prefill || class.idempotency == Idempotency::Idempotent;
        if has_not_run || is_harmless {
            return None;
        }
        let server = self.servers.get(outcome.server);
        Some(MayHaveRun {
            zone: server.and_then(|server| server.listing.zone),
            cell: server.and_then(|server| server.listing.cell),
            at: attempt.sent_at,
        })
    }

    /// Continues a request that has no attempt in flight, or gives it up.
    fn continue_request(&mut self, id: RequestId, last_status: AttemptStatus) {
        let Some(request) = self.requests.get(id) else { return };
        let has_kv_cache = request.kv_cache.is_some();
        let attempts_needed = if has_kv_cache { ATTEMPTS_FROM_KV_CACHE } else { ATTEMPTS_FROM_START };
        let max_attempts = self.settings.max_attempts.max(attempts_needed);
        let are_attempts_exhausted = request.attempt_count + attempts_needed > max_attempts;
        let reason = if self.is_repeat_impossible(request) {
            GiveUpReason::MayHaveRun
        } else if last_status == AttemptStatus::Expired {
            GiveUpReason::TooLate
        } else if are_attempts_exhausted {
            GiveUpReason::AttemptsExhausted
        } else if has_kv_cache {
            return self.place_decode(id);
        } else {
            return self.enqueue(id);
        };
        self.give_up(id, reason);
    }
}
