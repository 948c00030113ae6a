//! How attempts end, and what falls due.

use super::request::{Attempt, Stage};
use super::timers::Timer;
use super::{Core, Output, ResponseEvent};
use gaparch_protocol::engine::EngineFrame;
use gaparch_protocol::ops::outcome::OutcomeCause;
use gaparch_scheduler::api::{
    AttemptNumber, AttemptOutcome, AttemptStatus, Event, LoadReport, OutcomeNote, RequestId,
};
use gaparch_scheduler::state::MayHaveRun;

/// Whether a read that ended so may have ended well all the same, and left its state behind.
fn may_have_read(status: AttemptStatus) -> bool {
    matches!(
        status,
        AttemptStatus::Error
            | AttemptStatus::Reset
            | AttemptStatus::Unknown
            | AttemptStatus::Timeout
            | AttemptStatus::Cancelled
    )
}

/// Whether a write that ended so is known not to have run.
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
    /// Ends the attempt that is out, if it is that one, with what the router itself has seen.
    pub(super) fn finish_attempt_by_number(
        &mut self,
        id: RequestId,
        no: AttemptNumber,
        status: AttemptStatus,
    ) {
        if let Some(attempt) = self.requests.get(&id).and_then(|l| l.attempt).filter(|a| a.number == no) {
            self.finish_attempt(id, attempt, status, 0, None);
        }
    }

    /// An attempt's one outcome, told to the module.
    pub(super) fn finish_attempt(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        status: AttemptStatus,
        note: u64,
        report: Option<LoadReport>,
    ) {
        let (zone, cell) = self.endpoints.location(attempt.server);
        let Some(live) = self.requests.get_mut(&id) else { return };
        if let Some(attempt) = live.attempt.take() {
            self.timers.cancel(attempt.timer);
        }
        if attempt.stage == Stage::Decode
            && !attempt.waits
            && !has_not_run(status)
            && live.may_have_run.is_none()
        {
            live.may_have_run = Some(MayHaveRun { zone, cell, at: attempt.sent_at });
        }
        live.record_attempt_end(status, self.now);
        live.last_status = Some(status);
        if !matches!(status, AttemptStatus::Ok | AttemptStatus::Prefilled) {
            self.reasons_by_kind.attempts.count(status.name());
        }
        if let Some(link) = self.connections.get_mut(&attempt.server) {
            link.in_flight.remove(&id);
            match status {
                AttemptStatus::Ok
                | AttemptStatus::Prefilled
                | AttemptStatus::Expired
                | AttemptStatus::NoSocket => {}
                AttemptStatus::Cancelled => link.attempt_counters.cancelled += 1,
                _ => link.attempt_counters.failed += 1,
            }
        }
        if status == AttemptStatus::Prefilled {
            live.kv_cache_at = Some(attempt.server);
            live.kv_cache_since = Some(self.now);
            live.add_kv_holder(attempt.server);
        }
        if attempt.stage == Stage::Prefill && !attempt.waits && may_have_read(status) {
            // The read may have ended well just as it was called off or broke: what it left would stay pinned.
            self.send_to_engine(attempt.server, EngineFrame::Release { request: id.0 });
        }
        let Some(live) = self.requests.get(&id) else { return };
        let closed = live.answered;
        self.queue_disconnect_check(attempt.server);
        self.scheduler_events.push_back(Event::AttemptFinished(AttemptOutcome {
            id,
            attempt: attempt.number,
            server: attempt.server,
            status,
            latency: self.now.saturating_sub(attempt.sent_at),
            request_finished: closed,
            cached_prompt_tokens: OutcomeNote(note).cached_prompt_tokens(status),
            kv_cache_missing: OutcomeNote(note).kv_cache_missing(status),
            report,
        }));
        self.forget_if_done(id);
    }

    /// A begun stream has broken: its client is told, the request is finished by it.
    pub(super) fn break_stream(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        status: AttemptStatus,
        out: &mut Vec<Output>,
    ) {
        let cause = if status == AttemptStatus::Timeout {
            OutcomeCause::StreamStalled
        } else {
            OutcomeCause::StreamBroken
        };
        self.answer(id, ResponseEvent::Failed { message: "the answer broke off", cause }, out);
        self.finish_attempt(id, attempt, status, 0, None);
    }

    pub(super) fn on_timer(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Scheduler(token) => self.scheduler_events.push_back(Event::TimerFired(token)),
            Timer::AttemptTimeout(id, no) => {
                let attempt = self.requests.get(&id).and_then(|l| l.attempt);
                let Some(attempt) = attempt.filter(|a| a.number == no && !a.begun) else { return };
                self.send_cancel(id, attempt);
                self.finish_attempt(id, attempt, AttemptStatus::Timeout, 0, None);
            }
            Timer::ConnectTimeout(id, no) => {
                let waits =
                    self.requests.get(&id).and_then(|l| l.attempt).is_some_and(|a| a.number == no && a.waits);
                if waits {
                    self.finish_attempt_by_number(id, no, AttemptStatus::ConnectFailed);
                }
            }
            Timer::RequestOverdue(id) => self.on_overdue(id, out),
            Timer::StreamLimit(id) => self.on_stream_limit(id, out),
            Timer::ProbeTimeout(server, nonce) => {
                let sent =
                    self.connections.get_mut(&server).and_then(|l| l.outstanding_probes.remove(&nonce));
                if let Some(sent) = sent {
                    self.report_probe(server, self.now.saturating_sub(sent), AttemptStatus::Timeout, None);
                }
            }
            Timer::Reconnect(server) => self.connect(server, out),
        }
        out.append(&mut self.pending_frames);
    }

    /// The client's time is up and the module has not answered: that should never be.
    pub(super) fn on_overdue(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(live) = self.requests.get(&id).filter(|l| !l.answered) else { return };
        if live.attempt.is_some_and(|a| a.begun) {
            return;
        }
        self.counters.overdue += 1;
        self.answer(
            id,
            ResponseEvent::Failed { message: "it was not ended in time", cause: OutcomeCause::Overdue },
            out,
        );
        self.scheduler_events.push_back(Event::ClientDisconnected(id));
        self.forget_if_done(id);
    }

    /// Whether a begun stream has gone on for too long, or has been silent for too long.
    pub(super) fn on_stream_limit(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(live) = self.requests.get_mut(&id) else { return };
        let until = live.stream_deadline(&self.config.class_times);
        let Some(attempt) = live.attempt.as_mut().filter(|a| a.begun) else { return };
        if self.now < until {
            attempt.timer = self.timers.set(until, Timer::StreamLimit(id));
            return;
        }
        let attempt = *attempt;
        self.send_cancel(id, attempt);
        self.break_stream(id, attempt, AttemptStatus::Timeout, out);
    }
}
