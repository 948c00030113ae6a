//! How attempts are sent, and what follows from their first token.

use super::constants::{
    CANCELLATIONS_PER_ATTEMPT, LATENCY_COMPARISON, LOAD_MAX_AGE, MAX_CANCELLATIONS, MEAN_GAIN,
    MIN_SEND_TIMEOUT, OVERDUE_DEVIATIONS, PREFILL_BASE_TOKENS, PREFILL_GAINS, PREFILL_WAIT_FRACTION,
    REPORT_LAG,
};
use super::Policy;
use crate::api::{Action, AttemptNumber, CellId, Nanos, RequestId, Role};
use crate::state::{Attempt, AttemptProgress, InFlightRequest, Stage};

impl Policy {
    /// Sends a planned attempt.
    pub(super) fn send(&mut self, id: RequestId, planned: Attempt) {
        let Some(request) = self.requests.get(id) else { return };
        let (now, stage) = (self.now, planned.stage);
        let work = self.traffic.relative_work(stage, request.request().class);
        let timeout = self.send_timeout(request, &planned);
        let send_by = self.send_deadline(request);
        let Some(server) = self.servers.get_mut(planned.server) else { return };
        let reserved_kv_tokens = if stage == Stage::Prefill { 0.0 } else { request.expected_kv_tokens() };
        let number = AttemptNumber(request.attempt_count);
        let attempt = Attempt { number, sent_at: now, reserved_kv_tokens, ..planned };
        server.begin_attempt(now, REPORT_LAG, &attempt);
        server.slow_start.record_sent(work);
        self.cancellation_budget.earn(CANCELLATIONS_PER_ATTEMPT, MAX_CANCELLATIONS);
        self.requests.update(id, |request| {
            request.attempt_count += 1;
            request.first_sent_at = request.first_sent_at.or(Some(now));
            request.attempt = Some(attempt);
        });
        self.actions.push(Action::Send { id, server: planned.server, timeout, send_by });
    }

    /// Timeout of an attempt, set only if attempts can't be cancelled; 0: until the client's deadline.
    fn send_timeout(&self, request: &InFlightRequest, planned: &Attempt) -> Nanos {
        let is_harmless = planned.stage == Stage::Prefill || self.is_idempotent(request);
        let is_limited = is_harmless && !self.settings.can_cancel;
        if !is_limited || !self.answers_early(request, planned.stage) {
            return 0;
        }
        MIN_SEND_TIMEOUT.max(self.prefill_overdue_after(request, planned))
    }

    /// Time by which the last byte of an attempt has to be written: within the deduplication window of
    /// a repeat, and within the release time of its KV cache.
    fn send_deadline(&self, request: &InFlightRequest) -> Nanos {
        let release_within = self.settings.kv_release_within.max(self.check_interval());
        self.repeat_deadline(request).min(request.kv_release_at(release_within))
    }

    /// Whether a healthy attempt responds early, so that a missing response indicates a failure. Decode
    /// and combined attempts of classes that are not streamed respond only at their end.
    pub(super) fn answers_early(&self, request: &InFlightRequest, stage: Stage) -> bool {
        stage == Stage::Prefill || self.class_of(request).is_some_and(|class| class.streamed)
    }

    /// Time without an answer after which a prefill is overdue, from its latency objective and the
    /// learned prefill pace.
    pub(super) fn prefill_overdue_after(&self, request: &InFlightRequest, attempt: &Attempt) -> Nanos {
        let pace = self.prefill_cost.pessimistic_time_per_token(OVERDUE_DEVIATIONS);
        (PREFILL_WAIT_FRACTION * request.time_to_objective() + attempt.queued_tokens * pace) as Nanos
    }

    /// Handles the first token of an attempt, which shows that its KV cache was fetched.
    pub(super) fn on_first_token(&mut self, id: RequestId, number: AttemptNumber, latency: Nanos) {
        let Some(request) = self.requests.get(id) else { return };
        let holder = request.kv_cache.and_then(|kv_cache| self.servers.get(kv_cache.server));
        let kv_cell = holder.and_then(|server| server.listing.cell);
        let first_sent_at = request.first_sent_at.unwrap_or(self.now);
        let awaited = request.attempt.filter(|attempt| attempt.number == number && !attempt.is_streaming());
        let is_server_known = |attempt: &Attempt| self.servers.get(attempt.server).is_some();
        let now_streaming = awaited.filter(is_server_known);
        self.requests.update(id, |request| {
            request.kv_cache = None;
            if let Some(attempt) = now_streaming {
                request.attempt = Some(Attempt { progress: AttemptProgress::Streaming, ..attempt });
            }
        });
        if awaited.is_some() {
            let elapsed = self.now.saturating_sub(first_sent_at);
            self.traffic.record_first_token(self.now, elapsed, LOAD_MAX_AGE);
        }
        if let Some(attempt) = now_streaming {
            let is_within_cell = self.record_streaming(&attempt, latency) == kv_cell;
            self.learn_latency(&attempt, latency, is_within_cell);
            self.record_completed_work(id, &attempt);
        }
    }

    /// Records the first token of an attempt at its server, and returns the server's cell.
    fn record_streaming(&mut self, attempt: &Attempt, latency: Nanos) -> Option<CellId> {
        let server = self.servers.get_mut(attempt.server)?;
        server.begin_streaming(self.now, REPORT_LAG, attempt);
        server.liveness.record_response(self.now);
        server.liveness.record_answer(self.now, latency);
        server.listing.cell
    }

    fn learn_latency(&mut self, attempt: &Attempt, latency: Nanos, is_within_cell: bool) {
        let is_decode = attempt.stage == Stage::Decode;
        let per_token = latency as f64 / attempt.queued_tokens.max(PREFILL_BASE_TOKENS);
        if is_decode {
            self.decode_delays.record(is_within_cell, latency, MEAN_GAIN);
        } else {
            self.prefill_cost.record_time_per_token(per_token, PREFILL_GAINS);
        }
        // Each role is compared by one measure: mixed servers by the time per token of combined
        // attempts, decode workers by the latency of decode attempts.
        let is_mixed = self.servers.get(attempt.server).is_some_and(|s| s.listing.role == Role::Mixed);
        if is_decode != is_mixed {
            let sample = if is_decode { latency as f64 } else { per_token };
            LATENCY_COMPARISON.record(&mut self.servers, attempt.server, sample);
        }
    }
}
