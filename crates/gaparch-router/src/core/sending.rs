//! Sends attempts to engines, and cancels them.

use super::attempts::AttemptResult;
use super::connection::EngineConnection;
use super::request::{Attempt, AttemptState, Stage};
use super::timers::Timer;
use super::{Core, Output};
use gaparch_config::Links;
use gaparch_protocol::engine::{AttemptKey, EngineFrame};
use gaparch_scheduler::api::{
    AttemptNumber, AttemptOutcome, AttemptStatus, Event, Nanos, RequestId, Role, ServerId,
};
use gaparch_scheduler::policy::send_guards::{self, Denial, Repeat, SendFacts};

impl Core {
    /// Sends an attempt, if the send guards allow it: at once, or when the connection is established.
    pub(super) fn send(&mut self, id: RequestId, server: ServerId, timeout: Nanos, send_by: Nanos) {
        let now = self.now;
        let permission = self.may_send(id, server, send_by);
        let Some(tracked) = self.requests.get_mut(&id) else {
            return self.report_superseded(id, AttemptNumber(0), server, true);
        };
        let number = AttemptNumber(tracked.next_attempt);
        tracked.next_attempt += 1;
        tracked.send_by = send_by;
        let role = self.endpoints.role(server, &self.config.scheduler);
        if let Err(denial) = permission {
            let answered = tracked.answered;
            self.counters.denials.count(denial);
            return self.report_unsent(id, number, server, denial.status(), answered);
        }
        let until = if timeout == 0 {
            tracked.deadline_at
        } else {
            tracked.deadline_at.min(now.saturating_add(timeout))
        };
        let stage = if role == Some(Role::Prefill) { Stage::Prefill } else { Stage::Decode };
        let timer = self.timers.set(until, Timer::AttemptTimeout(id, number));
        tracked.attempt = Some(Attempt {
            number,
            server,
            stage,
            sent_at: now,
            state: AttemptState::AwaitingFirstToken,
            timer,
        });
        tracked.record_attempt_start(server, stage, now);
        if let Some(previous) = tracked.last_status.filter(|status| *status != AttemptStatus::Prefilled) {
            self.reasons_by_kind.retries.count(previous.name());
        }
        let Some(connection) = self.connections.get_mut(&server) else {
            return self.finish_attempt_by_number(id, number, AttemptStatus::ConnectFailed);
        };
        connection.attempt_counters.attempts += 1;
        if connection.is_connected() {
            self.send_attempt_frame(id);
        } else if connection.is_connecting_first_time() {
            if let Some(attempt) = tracked.attempt.as_mut() {
                attempt.state = AttemptState::AwaitingConnection;
            }
            let until = now.saturating_add(self.config.scheduler.connect_timeout).min(send_by);
            self.timers.set(until, Timer::ConnectTimeout(id, number));
        } else {
            self.finish_attempt_by_number(id, number, AttemptStatus::ConnectFailed);
        }
    }

    /// Whether the send guards allow an attempt that the scheduler asks for.
    fn may_send(&self, id: RequestId, server: ServerId, send_by: Nanos) -> Result<(), Denial> {
        let Some(tracked) = self.requests.get(&id) else { return Err(Denial::Answered) };
        let settings = &self.config.scheduler;
        let is_prefill = self.endpoints.role(server, settings) == Some(Role::Prefill);
        let class = settings.classes.get(tracked.request.class.0);
        let (zone, cell) = self.endpoints.location(server);
        // A prefill has no effect that a repeat could duplicate.
        let ran = tracked.may_have_run.filter(|_| !is_prefill).zip(class);
        send_guards::may_send(&SendFacts {
            now: self.now,
            deadline_at: tracked.deadline_at,
            send_by,
            answered: tracked.answered,
            client_disconnected: false,
            attempt_in_flight: tracked.attempt.is_some() && !settings.can_hedge,
            attempts_exhausted: tracked.next_attempt >= settings.max_attempts,
            server_ready: self.endpoints.is_ready(server),
            repeat: ran.map(|(ran, class)| Repeat { class, ran, zone, cell }),
        })
    }

    /// Reports to the scheduler that an attempt it asked for came too late.
    pub(super) fn report_superseded(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        server: ServerId,
        request_finished: bool,
    ) {
        self.report_unsent(id, attempt, server, AttemptStatus::Expired, request_finished);
    }

    /// Reports to the scheduler that an attempt it asked for was not sent.
    fn report_unsent(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        server: ServerId,
        status: AttemptStatus,
        request_finished: bool,
    ) {
        self.counters.unsent_attempts += 1;
        self.scheduler_events.push_back(Event::AttemptFinished(AttemptOutcome {
            id,
            attempt,
            server,
            status,
            latency: 0,
            request_finished,
            cached_prompt_tokens: 0,
            kv_cache_missing: false,
            report: None,
        }));
    }

    /// Sends an attempt's frame on the connection to its engine, which must be established.
    pub(super) fn send_attempt_frame(&mut self, id: RequestId) {
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = tracked.attempt.as_mut() else { return };
        if self.now >= tracked.send_by {
            // The connection took too long: sent now, the attempt could duplicate an earlier one that ran.
            let number = attempt.number;
            return self.finish_attempt_by_number(id, number, AttemptStatus::Expired);
        }
        attempt.state = AttemptState::AwaitingFirstToken;
        let attempt = *attempt;
        let job = tracked.request.job(id, attempt.number, tracked.deadline_at, self.now);
        let kv_cache = tracked.kv_cache_at.and_then(|server| self.endpoints.kv_source(server));
        let frame = match attempt.stage {
            Stage::Prefill => EngineFrame::Prefill(job),
            Stage::Decode => EngineFrame::Decode { job, kv_cache },
        };
        if let Some(connection) = self.connections.get_mut(&attempt.server) {
            self.pending_frames.push(Output::Engine { engine: attempt.server, frame });
            connection.in_flight.insert(id);
        }
    }

    /// Cancels an attempt that is in flight and has no token yet.
    pub(super) fn cancel(&mut self, id: RequestId, number: AttemptNumber) {
        let attempt = self
            .requests
            .get(&id)
            .and_then(|tracked| tracked.attempt)
            .filter(|attempt| attempt.number == number && !attempt.is_streaming());
        let Some(attempt) = attempt else { return };
        self.send_cancel(id, attempt);
        self.finish_attempt(id, attempt, AttemptResult::of(AttemptStatus::Cancelled));
    }

    /// Tells the engine that nobody waits for an attempt any more.
    pub(super) fn send_cancel(&mut self, id: RequestId, attempt: Attempt) {
        if attempt.awaits_connection() {
            return;
        }
        let key = AttemptKey { request: id.0, attempt: attempt.number.0 };
        self.send_to_engine(attempt.server, EngineFrame::Cancel(key));
    }

    /// Sends a frame to an engine if it is connected. With single exchanges the frame is always sent, also to
    /// an engine that is no longer listed, since a release may go to any engine.
    pub(super) fn send_to_engine(&mut self, engine: ServerId, frame: EngineFrame) {
        let is_connectionless = self.config.links == Links::Exchanges;
        if is_connectionless || self.connections.get(&engine).is_some_and(EngineConnection::is_connected) {
            self.pending_frames.push(Output::Engine { engine, frame });
        }
    }
}
