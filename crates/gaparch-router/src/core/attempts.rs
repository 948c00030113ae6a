//! How attempts end, and what falls due.

use super::request::{Attempt, Stage};
use super::timers::Timer;
use super::{Core, Output, ToClient};
use gaparch_protocol::engine::EngineFrame;
use gaparch_protocol::ops::ending::Cause;
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
    pub(super) fn close_by(&mut self, id: RequestId, no: AttemptNumber, status: AttemptStatus) {
        if let Some(attempt) = self.live.get(&id).and_then(|l| l.attempt).filter(|a| a.no == no) {
            self.close(id, attempt, status, 0, None);
        }
    }

    /// An attempt's one outcome, told to the module.
    pub(super) fn close(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        status: AttemptStatus,
        note: u64,
        report: Option<LoadReport>,
    ) {
        let (zone, cell) = self.roster.place(attempt.server);
        let Some(live) = self.live.get_mut(&id) else { return };
        if let Some(attempt) = live.attempt.take() {
            self.timers.cancel(attempt.timer);
        }
        if attempt.stage == Stage::Write && !attempt.waits && !has_not_run(status) && live.ran.is_none() {
            live.ran = Some(MayHaveRun { zone, cell, at: attempt.sent_at });
        }
        live.step_ends(status, self.now);
        live.last_status = Some(status);
        if !matches!(status, AttemptStatus::Ok | AttemptStatus::Prefilled) {
            self.reasons.attempts.count(status.name());
        }
        if let Some(link) = self.engines.get_mut(&attempt.server) {
            link.attempts.remove(&id);
            match status {
                AttemptStatus::Ok
                | AttemptStatus::Prefilled
                | AttemptStatus::Expired
                | AttemptStatus::NoSocket => {}
                AttemptStatus::Cancelled => link.tally.called_off += 1,
                _ => link.tally.failed += 1,
            }
        }
        if status == AttemptStatus::Prefilled {
            live.state_at = Some(attempt.server);
            live.held_since = Some(self.now);
            live.hold(attempt.server);
        }
        if attempt.stage == Stage::Read && !attempt.waits && may_have_read(status) {
            // The read may have ended well just as it was called off or broke: what it left would stay pinned.
            self.tell(attempt.server, EngineFrame::Release { request: id.0 });
        }
        let Some(live) = self.live.get(&id) else { return };
        let closed = live.ended;
        self.may_leave(attempt.server);
        self.events.push_back(Event::AttemptFinished(AttemptOutcome {
            id,
            attempt: attempt.no,
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
        let cause = if status == AttemptStatus::Timeout { Cause::Stalled } else { Cause::BrokeOff };
        self.answer(id, ToClient::Failed { why: "the answer broke off", cause }, out);
        self.close(id, attempt, status, 0, None);
    }

    pub(super) fn on_timer(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Module(token) => self.events.push_back(Event::TimerFired(token)),
            Timer::Attempt(id, no) => {
                let attempt = self.live.get(&id).and_then(|l| l.attempt);
                let Some(attempt) = attempt.filter(|a| a.no == no && !a.begun) else { return };
                self.call_off(id, attempt);
                self.close(id, attempt, AttemptStatus::Timeout, 0, None);
            }
            Timer::Connect(id, no) => {
                let waits = self.live.get(&id).and_then(|l| l.attempt).is_some_and(|a| a.no == no && a.waits);
                if waits {
                    self.close_by(id, no, AttemptStatus::ConnectFailed);
                }
            }
            Timer::Overdue(id) => self.on_overdue(id, out),
            Timer::Stream(id) => self.on_stream_time(id, out),
            Timer::Probe(server, nonce) => {
                let sent = self.engines.get_mut(&server).and_then(|l| l.probes.remove(&nonce));
                if let Some(sent) = sent {
                    self.probed(server, self.now.saturating_sub(sent), AttemptStatus::Timeout, None);
                }
            }
            Timer::Reconnect(server) => self.connect(server, out),
        }
        out.append(&mut self.wire);
    }

    /// The client's time is up and the module has not answered: that should never be.
    pub(super) fn on_overdue(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(live) = self.live.get(&id).filter(|l| !l.ended) else { return };
        if live.attempt.is_some_and(|a| a.begun) {
            return;
        }
        self.counts.overdue += 1;
        self.answer(id, ToClient::Failed { why: "it was not ended in time", cause: Cause::Overdue }, out);
        self.events.push_back(Event::ClientDisconnected(id));
        self.forget_if_done(id);
    }

    /// Whether a begun stream has gone on for too long, or has been silent for too long.
    pub(super) fn on_stream_time(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let until = live.stream_until(&self.config.class_times);
        let Some(attempt) = live.attempt.as_mut().filter(|a| a.begun) else { return };
        if self.now < until {
            attempt.timer = self.timers.set(until, Timer::Stream(id));
            return;
        }
        let attempt = *attempt;
        self.call_off(id, attempt);
        self.break_stream(id, attempt, AttemptStatus::Timeout, out);
    }
}
