//! The clock: deadlines, and attempts that take too long.

use super::constants::{
    ATTEMPTS_FROM_START, DECODE_PATIENCE, DECODE_STALL, GIVE_UP_MARGIN_CHECKS, LATENCY_COMPARISON,
    PREFILL_BASE_TOKENS, PREFILL_GAINS, SERVERS_PER_STEP, TICK_INTERVAL,
};
use super::eligibility::WorkerPool;
use super::health::is_unhealthy;
use super::Policy;
use crate::api::{Action, CellId, GiveUpReason, Nanos, RequestId};
use crate::state::{Attempt, AttemptProgress, InFlightRequest, Server, Stage};
use std::collections::BTreeSet;

/// An attempt without an answer, as far as its overdue time matters.
struct OverdueCheck {
    attempt: Attempt,
    /// The time since it was sent.
    age: Nanos,
    /// The time after which it is overdue.
    patience: Nanos,
    /// The cell of the KV cache that it is to fetch.
    kv_cell: Option<CellId>,
    /// Its server has sent nothing since.
    is_server_silent: bool,
    /// Its server is in the cell of the KV cache.
    is_near: bool,
}

impl OverdueCheck {
    /// It has the prompt to prefill.
    fn prefills(&self) -> bool {
        self.attempt.stage != Stage::Decode
    }
}

impl Policy {
    /// A tick: time has passed.
    pub(super) fn on_tick(&mut self) {
        self.tick_is_scheduled = false;
        let is_sweep = self.servers.begin_sweep_if_due(self.now, TICK_INTERVAL, SERVERS_PER_STEP);
        if is_sweep {
            self.slow_start.refill_budgets(self.now, &self.settings, &mut self.servers);
            LATENCY_COMPARISON.sweep(&mut self.servers);
        }
        // Of those queued, none but the ones whose deadline or objective runs out.
        let due = self.admission.due(self.give_up_horizon(), self.earliest_objective());
        let ids: BTreeSet<RequestId> = due.chain(self.requests.active().iter().copied()).collect();
        for id in ids {
            self.check_request(id);
        }
        if is_sweep {
            self.check_unreachable_servers();
        }
        self.send_gossip();
    }

    /// The longest time between two checks of deadlines: a site's own steps may be longer than a
    /// tick.
    pub(super) fn check_interval(&self) -> Nanos {
        TICK_INTERVAL.max(self.settings.step.saturating_mul(2))
    }

    /// A request whose client leaves by then is answered now.
    pub(super) fn give_up_horizon(&self) -> Nanos {
        let margin = (self.check_interval() as f64 * GIVE_UP_MARGIN_CHECKS) as Nanos;
        self.now.saturating_add(margin)
    }

    /// The earliest latency objective that a request sent now can meet.
    fn earliest_objective(&self) -> Nanos {
        self.now.saturating_add(self.traffic.time_to_first_token())
    }

    fn check_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        if request.attempt.is_some_and(|attempt| attempt.is_streaming()) {
            return;
        }
        if self.give_up_horizon() >= request.request().deadline_at {
            return self.give_up(id, GiveUpReason::DeadlineExceeded);
        }
        if let Some(attempt) = request.attempt {
            if !self.check_delivery(id, &attempt) {
                self.check_overdue(id, attempt);
            }
            return;
        }
        if self.is_repeat_impossible(request) {
            return self.give_up(id, GiveUpReason::MayHaveRun);
        }
        let misses_objective = self.earliest_objective() > request.facts.objective_at;
        if misses_objective && request.kv_cache.is_none() {
            // Queued, it can't meet its objective any more: it ends now, so that others can.
            return self.give_up(id, GiveUpReason::ObjectiveMissed);
        }
        self.place_decode(id);
    }

    /// An attempt that takes too long: its server queues, is slow, is cut off or has died.
    fn check_overdue(&mut self, id: RequestId, attempt: Attempt) {
        let Some(request) = self.requests.get(id) else { return };
        if !self.answers_early(request, attempt.stage) {
            return;
        }
        let Some(check) = self.overdue_check(request, attempt) else { return };
        let Some(server) = self.servers.get_mut(attempt.server) else { return };
        if !check.prefills() && check.age >= DECODE_STALL {
            server.saturated_at = Some(self.now);
        }
        if check.age < check.patience || attempt.is_cancelled() {
            return;
        }
        if check.is_server_silent && self.settings.can_probe && !server.liveness.is_unreachable() {
            server.liveness.mark_unresponsive(self.now);
        }
        // A prefill worker that answers a probe at once has left the attempt unanswered; one that
        // does not may be busy.
        let has_answered_probe = server.liveness.fast_probe_at() > attempt.sent_at;
        if check.prefills() && !has_answered_probe && check.age < 2 * check.patience {
            return;
        }
        if self.may_cancel_overdue(id, &check) {
            self.cancel_overdue(id, &check);
        }
    }

    fn overdue_check(&self, request: &InFlightRequest, attempt: Attempt) -> Option<OverdueCheck> {
        let prefills = attempt.stage != Stage::Decode;
        let patience = if prefills { self.prefill_patience(request, &attempt) } else { DECODE_PATIENCE };
        let holder = request.kv_cache.and_then(|kv_cache| self.servers.get(kv_cache.server));
        let kv_cell = holder.and_then(|server| server.listing.cell);
        let server = self.servers.get(attempt.server)?;
        Some(OverdueCheck {
            attempt,
            age: self.now - attempt.sent_at,
            patience,
            kv_cell,
            is_server_silent: server.liveness.last_response_at() < attempt.sent_at,
            is_near: server.listing.cell == kv_cell,
        })
    }

    /// Whether an overdue attempt may be cancelled, and another server would do better.
    fn may_cancel_overdue(&self, id: RequestId, check: &OverdueCheck) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let is_harmless = check.attempt.stage == Stage::Prefill || self.is_idempotent(request);
        let attempts_after = request.attempt_count + ATTEMPTS_FROM_START;
        let has_attempts_left = attempts_after <= self.settings.max_attempts && self.settings.can_cancel;
        if !is_harmless || !has_attempts_left || !self.cancellation_budget.can_afford(1.0) {
            return false;
        }
        let pool = if check.prefills() { WorkerPool::Prefill } else { WorkerPool::Decode };
        let candidates = self.candidates(pool, request);
        candidates.iter().any(|server| self.is_better_server(server, request, check))
    }

    /// Whether another server would do better. What crosses cells may wait for a slow link: another
    /// far decode worker is no better then.
    fn is_better_server(&self, server: &Server, request: &InFlightRequest, check: &OverdueCheck) -> bool {
        if server.id == check.attempt.server || is_unhealthy(self.now, server, Some(request.traffic())) {
            return false;
        }
        let crosses_no_slow_link =
            check.is_near || check.is_server_silent || server.listing.cell == check.kv_cell;
        let has_capacity = || self.has_capacity(server, request.expected_kv_tokens());
        check.prefills() || crosses_no_slow_link && has_capacity()
    }

    fn cancel_overdue(&mut self, id: RequestId, check: &OverdueCheck) {
        let traffic = self.requests.get(id).map(InFlightRequest::traffic);
        self.cancellation_budget.try_spend(1.0);
        self.eject(check.attempt.server, traffic);
        if check.prefills() {
            let per_token = check.age as f64 / check.attempt.queued_tokens.max(PREFILL_BASE_TOKENS);
            self.prefill_cost.record_time_per_token(per_token, PREFILL_GAINS);
        }
        self.cancel_attempt(id, &check.attempt);
    }

    /// Cancels an attempt before its time is up.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, attempt: &Attempt) {
        let cancelled = Attempt { progress: AttemptProgress::Cancelled, ..*attempt };
        self.requests.update_unindexed(id, |request| request.attempt = Some(cancelled));
        self.actions.push(Action::Cancel { id, attempt: attempt.number });
    }
}
