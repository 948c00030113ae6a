//! The tick: deadlines and overdue attempts.

use super::constants::{
    ATTEMPTS_FROM_START, DECODE_OVERDUE_AFTER, DECODE_SATURATED_AFTER, FULL_SCAN_SERVER_LIMIT,
    GIVE_UP_MARGIN_CHECKS, LATENCY_COMPARISON, PREFILL_BASE_TOKENS, PREFILL_GAINS, TICK_INTERVAL,
};
use super::eligibility::WorkerPool;
use super::health::is_unhealthy;
use super::Policy;
use crate::api::{Action, CellId, GiveUpReason, Nanos, RequestId};
use crate::state::{Attempt, AttemptProgress, InFlightRequest, Server, Stage};
use std::collections::BTreeSet;

/// What decides whether an unanswered attempt is overdue, and whether it is cancelled.
struct OverdueCheck {
    attempt: Attempt,
    /// Time since it was sent.
    age: Nanos,
    /// Age from which it is overdue.
    overdue_after: Nanos,
    /// The cell of the KV cache that it has to fetch.
    kv_cell: Option<CellId>,
    /// The server has not responded to anything since.
    is_server_silent: bool,
    /// The server is in the cell of the KV cache.
    is_near: bool,
}

impl OverdueCheck {
    /// Whether the attempt includes the prefill of the prompt.
    fn includes_prefill(&self) -> bool {
        self.attempt.stage != Stage::Decode
    }
}

impl Policy {
    /// Handles a tick: checks requests and servers for what changes with time alone.
    pub(super) fn on_tick(&mut self) {
        self.tick_is_scheduled = false;
        let is_sweep = self.servers.begin_sweep_if_due(self.now, TICK_INTERVAL, FULL_SCAN_SERVER_LIMIT);
        if is_sweep {
            self.slow_start.refill_budgets(self.now, &self.settings, &mut self.servers);
            LATENCY_COMPARISON.sweep(&mut self.servers);
        }
        // Of the queued requests, only those whose deadline or latency objective expires.
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

    /// Maximum time between two checks of deadlines. The time steps of a simulation may be longer than
    /// a tick.
    pub(super) fn check_interval(&self) -> Nanos {
        TICK_INTERVAL.max(self.settings.step.saturating_mul(2))
    }

    /// Requests with a deadline up to this time are given up now.
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
            // A queued request that can no longer meet its objective is given up, so that others can
            // meet theirs.
            return self.give_up(id, GiveUpReason::ObjectiveMissed);
        }
        self.place_decode(id);
    }

    /// Handles an attempt that takes too long: its server has a queue, is slow, is cut off or has
    /// crashed.
    fn check_overdue(&mut self, id: RequestId, attempt: Attempt) {
        let Some(request) = self.requests.get(id) else { return };
        if !self.answers_early(request, attempt.stage) {
            return;
        }
        let Some(check) = self.overdue_check(request, attempt) else { return };
        let Some(server) = self.servers.get_mut(attempt.server) else { return };
        if !check.includes_prefill() && check.age >= DECODE_SATURATED_AFTER {
            server.saturated_at = Some(self.now);
        }
        if check.age < check.overdue_after || attempt.is_cancelled() {
            return;
        }
        if check.is_server_silent && self.settings.can_probe && !server.liveness.is_unreachable() {
            server.liveness.mark_unresponsive(self.now);
        }
        // A prefill worker that answers a probe without delay is not busy, and should have answered the
        // attempt. One that does not may be busy, and the attempt gets more time.
        let has_answered_probe = server.liveness.fast_probe_at() > attempt.sent_at;
        if check.includes_prefill() && !has_answered_probe && check.age < 2 * check.overdue_after {
            return;
        }
        if self.may_cancel_overdue(id, &check) {
            self.cancel_overdue(id, &check);
        }
    }

    fn overdue_check(&self, request: &InFlightRequest, attempt: Attempt) -> Option<OverdueCheck> {
        let includes_prefill = attempt.stage != Stage::Decode;
        let overdue_after = if includes_prefill {
            self.prefill_overdue_after(request, &attempt)
        } else {
            DECODE_OVERDUE_AFTER
        };
        let holder = request.kv_cache.and_then(|kv_cache| self.servers.get(kv_cache.server));
        let kv_cell = holder.and_then(|server| server.listing.cell);
        let server = self.servers.get(attempt.server)?;
        Some(OverdueCheck {
            attempt,
            age: self.now - attempt.sent_at,
            overdue_after,
            kv_cell,
            is_server_silent: server.liveness.last_response_at() < attempt.sent_at,
            is_near: server.listing.cell == kv_cell,
        })
    }

    /// Whether an overdue attempt may be cancelled, and another server is a better choice.
    fn may_cancel_overdue(&self, id: RequestId, check: &OverdueCheck) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let is_harmless = check.attempt.stage == Stage::Prefill || self.is_idempotent(request);
        let attempts_after = request.attempt_count + ATTEMPTS_FROM_START;
        let has_attempts_left = attempts_after <= self.settings.max_attempts && self.settings.can_cancel;
        if !is_harmless || !has_attempts_left || !self.cancellation_budget.can_afford(1.0) {
            return false;
        }
        let pool = if check.includes_prefill() { WorkerPool::Prefill } else { WorkerPool::Decode };
        let candidates = self.candidates(pool, request);
        candidates.iter().any(|server| self.is_better_server(server, request, check))
    }

    /// Whether a server is a better choice than that of an overdue attempt. If the KV cache crosses
    /// cells, the attempt may wait for a slow link, and another remote decode worker is no better.
    fn is_better_server(&self, server: &Server, request: &InFlightRequest, check: &OverdueCheck) -> bool {
        if server.id == check.attempt.server || is_unhealthy(self.now, server, Some(request.traffic())) {
            return false;
        }
        let crosses_no_slow_link =
            check.is_near || check.is_server_silent || server.listing.cell == check.kv_cell;
        let has_capacity = || self.has_capacity(server, request.expected_kv_tokens());
        check.includes_prefill() || crosses_no_slow_link && has_capacity()
    }

    fn cancel_overdue(&mut self, id: RequestId, check: &OverdueCheck) {
        let traffic = self.requests.get(id).map(InFlightRequest::traffic);
        self.cancellation_budget.try_spend(1.0);
        self.eject(check.attempt.server, traffic);
        if check.includes_prefill() {
            let per_token = check.age as f64 / check.attempt.queued_tokens.max(PREFILL_BASE_TOKENS);
            self.prefill_cost.record_time_per_token(per_token, PREFILL_GAINS);
        }
        self.cancel_attempt(id, &check.attempt);
    }

    /// Cancels an attempt that is in flight.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, attempt: &Attempt) {
        let cancelled = Attempt { progress: AttemptProgress::Cancelled, ..*attempt };
        self.requests.update_unindexed(id, |request| request.attempt = Some(cancelled));
        self.actions.push(Action::Cancel { id, attempt: attempt.number });
    }
}
