//! Ends attempts and reports their outcomes.

use super::request::{Attempt, Stage};
use super::Core;
use gaparch_protocol::engine::EngineFrame;
use gaparch_scheduler::api::{
    AttemptNumber, AttemptOutcome, AttemptStatus, Event, LoadReport, OutcomeNote, RequestId,
};
use gaparch_scheduler::state::MayHaveRun;

/// How an attempt has ended.
#[derive(Clone, Debug)]
pub(super) struct AttemptResult {
    pub status: AttemptStatus,
    /// The engine's note on the status; see [`OutcomeNote`].
    pub note: u64,
    pub report: Option<LoadReport>,
}

impl AttemptResult {
    /// A result that the router itself observed, without a note or a report by the engine.
    pub fn of(status: AttemptStatus) -> AttemptResult {
        AttemptResult { status, note: 0, report: None }
    }
}

/// Whether a prefill that ended with this status may still have succeeded and left its KV cache at the
/// engine.
fn may_have_prefilled(status: AttemptStatus) -> bool {
    matches!(
        status,
        AttemptStatus::Error
            | AttemptStatus::Reset
            | AttemptStatus::Unknown
            | AttemptStatus::Timeout
            | AttemptStatus::Cancelled
    )
}

/// Whether a decode that ended with this status is known not to have run.
fn has_not_run(status: AttemptStatus) -> bool {
    matches!(
        status,
        AttemptStatus::Rejected
            | AttemptStatus::ConnectFailed
            | AttemptStatus::NoSocket
            | AttemptStatus::Expired
    )
}

impl Core {
    /// Ends the attempt in flight, if it has this number, with a status that the router itself observed.
    pub(super) fn finish_attempt_by_number(
        &mut self,
        id: RequestId,
        number: AttemptNumber,
        status: AttemptStatus,
    ) {
        if let Some(attempt) = self
            .requests
            .get(&id)
            .and_then(|tracked| tracked.attempt)
            .filter(|attempt| attempt.number == number)
        {
            self.finish_attempt(id, attempt, AttemptResult::of(status));
        }
    }

    /// Ends an attempt and reports its one outcome to the scheduler.
    pub(super) fn finish_attempt(&mut self, id: RequestId, attempt: Attempt, result: AttemptResult) {
        let AttemptResult { status, note, report } = result;
        let (zone, cell) = self.endpoints.location(attempt.server);
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        if let Some(attempt) = tracked.attempt.take() {
            self.timers.cancel(attempt.timer);
        }
        if attempt.stage == Stage::Decode
            && !attempt.awaits_connection()
            && !has_not_run(status)
            && tracked.may_have_run.is_none()
        {
            tracked.may_have_run = Some(MayHaveRun { zone, cell, at: attempt.sent_at });
        }
        tracked.record_attempt_end(status, self.now);
        tracked.last_status = Some(status);
        if !matches!(status, AttemptStatus::Ok | AttemptStatus::Prefilled) {
            self.reasons_by_kind.attempts.count(status.name());
        }
        if let Some(connection) = self.connections.get_mut(&attempt.server) {
            connection.in_flight.remove(&id);
            match status {
                AttemptStatus::Ok
                | AttemptStatus::Prefilled
                | AttemptStatus::Expired
                | AttemptStatus::NoSocket => {}
                AttemptStatus::Cancelled => connection.attempt_counters.cancelled += 1,
                _ => connection.attempt_counters.failed += 1,
            }
        }
        if status == AttemptStatus::Prefilled {
            tracked.kv_cache_at = Some(attempt.server);
            tracked.kv_cache_since = Some(self.now);
            tracked.add_kv_holder(attempt.server);
        }
        if attempt.stage == Stage::Prefill && !attempt.awaits_connection() && may_have_prefilled(status) {
            // The prefill may have succeeded just before it was cancelled or failed: its KV cache would stay
            // allocated.
            self.send_to_engine(attempt.server, EngineFrame::Release { request: id.0 });
        }
        let Some(tracked) = self.requests.get(&id) else { return };
        let request_finished = tracked.answered;
        self.queue_disconnect_check(attempt.server);
        self.scheduler_events.push_back(Event::AttemptFinished(AttemptOutcome {
            id,
            attempt: attempt.number,
            server: attempt.server,
            status,
            latency: self.now.saturating_sub(attempt.sent_at),
            request_finished,
            cached_prompt_tokens: OutcomeNote(note).cached_prompt_tokens(status),
            kv_cache_missing: OutcomeNote(note).kv_cache_missing(status),
            report,
        }));
        self.forget_if_done(id);
    }
}
