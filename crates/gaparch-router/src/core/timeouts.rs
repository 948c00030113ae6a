//! Handles timers that are due.

use super::attempts::AttemptResult;
use super::timers::Timer;
use super::{Core, Output, ResponseEvent};
use gaparch_protocol::ops::outcome::OutcomeCause;
use gaparch_scheduler::api::{AttemptStatus, Event, RequestId};

impl Core {
    pub(super) fn on_timer(&mut self, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Scheduler(token) => self.scheduler_events.push_back(Event::TimerFired(token)),
            Timer::AttemptTimeout(id, number) => {
                let attempt = self.requests.get(&id).and_then(|tracked| tracked.attempt);
                let Some(attempt) =
                    attempt.filter(|attempt| attempt.number == number && !attempt.is_streaming())
                else {
                    return;
                };
                self.send_cancel(id, attempt);
                self.finish_attempt(id, attempt, AttemptResult::of(AttemptStatus::Timeout));
            }
            Timer::ConnectTimeout(id, number) => {
                let awaits_connection = self
                    .requests
                    .get(&id)
                    .and_then(|tracked| tracked.attempt)
                    .is_some_and(|attempt| attempt.number == number && attempt.awaits_connection());
                if awaits_connection {
                    self.finish_attempt_by_number(id, number, AttemptStatus::ConnectFailed);
                }
            }
            Timer::RequestOverdue(id) => self.on_overdue(id, out),
            Timer::StreamLimit(id) => self.on_stream_limit(id, out),
            Timer::ProbeTimeout(server, nonce) => {
                let sent = self
                    .connections
                    .get_mut(&server)
                    .and_then(|connection| connection.outstanding_probes.remove(&nonce));
                if let Some(sent) = sent {
                    self.report_probe(server, self.now.saturating_sub(sent), AttemptStatus::Timeout, None);
                }
            }
            Timer::Reconnect(server) => self.connect(server, out),
        }
        out.append(&mut self.pending_frames);
    }

    /// Fails a request that the scheduler has not answered by the client's deadline, which should never
    /// happen.
    pub(super) fn on_overdue(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(tracked) = self.requests.get(&id).filter(|tracked| !tracked.answered) else { return };
        if tracked.attempt.is_some_and(|attempt| attempt.is_streaming()) {
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

    /// Ends a stream that has exceeded its duration or silence limit; otherwise sets its timer again.
    pub(super) fn on_stream_limit(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let until = tracked.stream_deadline(&self.config.class_times);
        let Some(attempt) = tracked.attempt.as_mut().filter(|attempt| attempt.is_streaming()) else { return };
        if self.now < until {
            attempt.timer = self.timers.set(until, Timer::StreamLimit(id));
            return;
        }
        let attempt = *attempt;
        self.send_cancel(id, attempt);
        self.break_stream(id, attempt, AttemptStatus::Timeout, out);
    }
}
