//! What the module wants done.

use super::connection::EngineConnection;
use super::request::{Attempt, Stage};
use super::timers::Timer;
use super::{Core, Output, ResponseEvent};
use gaparch_config::Links;
use gaparch_protocol::engine::{AttemptKey, EngineFrame};
use gaparch_scheduler::api::{
    Action, AttemptNumber, AttemptOutcome, AttemptStatus, Event, GiveUpCause, LoadReport, Nanos, RequestId,
    Role, ServerId,
};
use gaparch_scheduler::policy::kv_release::may_release_beside_decode;
use gaparch_scheduler::policy::send_guards::{self, Denial, Repeat, SendFacts};

impl Core {
    pub(super) fn perform(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { id, server, timeout, send_by: by } => self.send(id, server, timeout, by),
            Action::Cancel { id, attempt } => self.cancel(id, attempt),
            Action::Reject { id, retry_after, cause: why } => self.reject(id, retry_after, why, out),
            Action::Fail { id, cause: why } => {
                let cause = why.reason.into();
                let why = "it may have been tried, and could not be ended";
                self.answer(id, ResponseEvent::Failed { message: why, cause }, out);
                self.forget_if_done(id);
            }
            Action::ReleaseKv(id) => self.release_kv(id),
            Action::ReserveKv { id, server } => self.reserve_kv(id, server),
            Action::Probe(server) => self.probe(server),
            Action::SetTimer { token, delay } => {
                self.timers.set(self.now.saturating_add(delay), Timer::Scheduler(token));
            }
            Action::WatchEndpoints(on) => out.push(Output::WatchEndpoints(on)),
            Action::FetchEndpoints => out.push(Output::FetchEndpoints),
            Action::Log(text) => out.push(Output::Log(text)),
            Action::SendGossip { peer, data } => out.push(Output::SendGossip { peer, data }),
            Action::CloseConnections(engine) => {
                // One connection that carries all stays; idle ones of single exchanges may go.
                out.extend(
                    (self.config.links == Links::Exchanges).then_some(Output::CloseIdleConnections(engine)),
                );
            }
            // A stream that breaks can't be resumed: the module is told so in its settings and moves none.
            Action::Migrate(_) => {}
        }
        out.append(&mut self.pending_frames);
    }

    pub(super) fn send(&mut self, id: RequestId, server: ServerId, timeout: Nanos, by: Nanos) {
        let now = self.now;
        let denied = self.may_send(id, server, by);
        let Some(live) = self.requests.get_mut(&id) else {
            return self.report_superseded(id, AttemptNumber(0), server, true);
        };
        let no = AttemptNumber(live.next_attempt);
        live.next_attempt += 1;
        live.send_by = by;
        let role = self.endpoints.role(server, &self.config.module);
        if let Err(denial) = denied {
            let ended = live.answered;
            self.counters.denials.count(denial);
            return self.report_unsent(id, no, server, denial.status(), ended);
        }
        let until =
            if timeout == 0 { live.deadline_at } else { live.deadline_at.min(now.saturating_add(timeout)) };
        let stage = if role == Some(Role::Prefill) { Stage::Prefill } else { Stage::Decode };
        let timer = self.timers.set(until, Timer::AttemptTimeout(id, no));
        live.attempt =
            Some(Attempt { number: no, server, stage, sent_at: now, begun: false, waits: false, timer });
        live.record_attempt_start(server, stage, now);
        if let Some(before) = live.last_status.filter(|status| *status != AttemptStatus::Prefilled) {
            self.reasons_by_kind.retries.count(before.name());
        }
        let Some(link) = self.connections.get_mut(&server) else {
            return self.finish_attempt_by_number(id, no, AttemptStatus::ConnectFailed);
        };
        link.attempt_counters.attempts += 1;
        if link.is_connected() {
            self.send_attempt_frame(id);
        } else if link.is_connecting_first_time() {
            if let Some(attempt) = live.attempt.as_mut() {
                attempt.waits = true;
            }
            let until = now.saturating_add(self.config.module.connect_timeout).min(by);
            self.timers.set(until, Timer::ConnectTimeout(id, no));
        } else {
            self.finish_attempt_by_number(id, no, AttemptStatus::ConnectFailed);
        }
    }

    /// Whether the rules allow a send that the module wants.
    fn may_send(&self, id: RequestId, server: ServerId, by: Nanos) -> Result<(), Denial> {
        let Some(live) = self.requests.get(&id) else { return Err(Denial::Answered) };
        let settings = &self.config.module;
        let reads = self.endpoints.role(server, settings) == Some(Role::Prefill);
        let class = settings.classes.get(live.request.class.0);
        let (zone, cell) = self.endpoints.location(server);
        // A read has no effect.
        let ran = live.may_have_run.filter(|_| !reads).zip(class);
        send_guards::may_send(&SendFacts {
            now: self.now,
            deadline_at: live.deadline_at,
            send_by: by,
            answered: live.answered,
            client_disconnected: false,
            attempt_in_flight: live.attempt.is_some() && !settings.can_hedge,
            attempts_exhausted: live.next_attempt >= settings.max_attempts,
            server_ready: self.endpoints.is_ready(server),
            repeat: ran.map(|(ran, class)| Repeat { class, ran, zone, cell }),
        })
    }

    /// Whether the rules allow a refusal that the module wants.
    fn may_reject(&self, id: RequestId) -> Result<(), Denial> {
        let Some(live) = self.requests.get(&id) else { return Ok(()) };
        let Some(class) = self.config.module.classes.get(live.request.class.0) else { return Ok(()) };
        let out = live.attempt.is_some_and(|a| a.stage == Stage::Decode && !a.waits);
        send_guards::may_reject(class, out || live.may_have_run.is_some())
    }

    /// A refusal; where one would promise too much, a failure, which promises nothing.
    fn reject(&mut self, id: RequestId, retry_after: Nanos, why: GiveUpCause, out: &mut Vec<Output>) {
        let (cause, waited_for) = (why.reason.into(), why.queueing_reason.map(Into::into));
        let answer = match self.may_reject(id) {
            Ok(()) => ResponseEvent::Rejected { retry_after, cause, waited_for },
            Err(denial) => {
                self.counters.denials.count(denial);
                ResponseEvent::Failed { message: "it may have been tried, and could not be ended", cause }
            }
        };
        self.answer(id, answer, out);
        self.forget_if_done(id);
    }

    pub(super) fn report_superseded(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        server: ServerId,
        closed: bool,
    ) {
        self.report_unsent(id, attempt, server, AttemptStatus::Expired, closed);
    }

    /// A send of the module that was not made.
    fn report_unsent(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        server: ServerId,
        status: AttemptStatus,
        closed: bool,
    ) {
        self.counters.unsent_attempts += 1;
        self.scheduler_events.push_back(Event::AttemptFinished(AttemptOutcome {
            id,
            attempt,
            server,
            status,
            latency: 0,
            request_finished: closed,
            cached_prompt_tokens: 0,
            kv_cache_missing: false,
            report: None,
        }));
    }

    /// Puts an attempt's frame on its engine's connection, which is up.
    pub(super) fn send_attempt_frame(&mut self, id: RequestId) {
        let Some(live) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = live.attempt.as_mut() else { return };
        if self.now >= live.send_by {
            // The connection took too long: sent now it would be no repeat any more.
            let no = attempt.number;
            return self.finish_attempt_by_number(id, no, AttemptStatus::Expired);
        }
        attempt.waits = false;
        let attempt = *attempt;
        let job = live.request.job(id, attempt.number, live.deadline_at, self.now);
        let state = live.kv_cache_at.and_then(|server| self.endpoints.kv_source(server));
        let frame = match attempt.stage {
            Stage::Prefill => EngineFrame::Prefill(job),
            Stage::Decode => EngineFrame::Decode { job, kv_cache: state },
        };
        if let Some(link) = self.connections.get_mut(&attempt.server) {
            self.pending_frames.push(Output::Engine { engine: attempt.server, frame });
            link.in_flight.insert(id);
        }
    }

    pub(super) fn cancel(&mut self, id: RequestId, no: AttemptNumber) {
        let attempt = self.requests.get(&id).and_then(|l| l.attempt).filter(|a| a.number == no && !a.begun);
        let Some(attempt) = attempt else { return };
        self.send_cancel(id, attempt);
        self.finish_attempt(id, attempt, AttemptStatus::Cancelled, 0, None);
    }

    /// Tells the engine that nobody waits.
    pub(super) fn send_cancel(&mut self, id: RequestId, attempt: Attempt) {
        if attempt.waits {
            return;
        }
        let key = AttemptKey { request: id.0, attempt: attempt.number.0 };
        self.send_to_engine(attempt.server, EngineFrame::Cancel(key));
    }

    /// Lets go of all that is held for the request. A state that a write is out for stays booked: the write may have
    /// arrived, and then it waits for it.
    pub(super) fn release_kv(&mut self, id: RequestId) {
        let Some(live) = self.requests.get_mut(&id) else { return };
        let write = live.attempt.filter(|a| a.stage == Stage::Decode);
        let fetched_from = live.kv_cache_at.filter(|_| write.is_some());
        let held = std::mem::take(&mut live.kv_held_at);
        live.kv_held_at.extend(fetched_from.filter(|s| held.contains(s)));
        live.kv_cache_at = fetched_from;
        let arrived = write.is_some_and(|w| self.policy.has_run_since(w.server, w.sent_at));
        let beside = may_release_beside_decode(self.config.links == Links::Exchanges, arrived);
        for server in held {
            let is_fetched = Some(server) == fetched_from;
            if beside || !is_fetched {
                self.send_to_engine(server, EngineFrame::Release { request: id.0 });
            }
            if !is_fetched {
                self.queue_disconnect_check(server);
            }
        }
        self.forget_if_done(id);
    }

    /// Puts a frame on the connection of an engine, if it is up. Where each thing told is an exchange of its own, a
    /// release may reach any engine: it goes out whatever has become of this one.
    pub(super) fn send_to_engine(&mut self, engine: ServerId, frame: EngineFrame) {
        let anyway = self.config.links == Links::Exchanges;
        if anyway || self.connections.get(&engine).is_some_and(EngineConnection::is_connected) {
            self.pending_frames.push(Output::Engine { engine, frame });
        }
    }

    pub(super) fn reserve_kv(&mut self, id: RequestId, server: ServerId) {
        let Some(live) = self.requests.get_mut(&id).filter(|l| !l.answered) else { return };
        let Some(reading) = live.attempt.filter(|a| a.stage == Stage::Prefill) else { return };
        let Some(from) = self.endpoints.kv_source(reading.server) else { return };
        let job = live.request.job(id, reading.number, live.deadline_at, self.now);
        live.add_kv_holder(server);
        self.send_to_engine(server, EngineFrame::Reserve { job, from });
    }

    pub(super) fn probe(&mut self, server: ServerId) {
        self.next_nonce += 1;
        let nonce = self.next_nonce;
        let now = self.now;
        let Some(link) = self.connections.get_mut(&server) else {
            return self.report_probe(server, 0, AttemptStatus::ConnectFailed, None);
        };
        if link.is_connected() {
            link.outstanding_probes.insert(nonce, now);
            self.pending_frames.push(Output::Engine { engine: server, frame: EngineFrame::Probe { nonce } });
            self.timers.set(
                now.saturating_add(self.config.attempts.probe_timeout),
                Timer::ProbeTimeout(server, nonce),
            );
        } else {
            self.report_probe(server, 0, AttemptStatus::ConnectFailed, None);
        }
    }

    pub(super) fn report_probe(
        &mut self,
        server: ServerId,
        latency: Nanos,
        status: AttemptStatus,
        report: Option<LoadReport>,
    ) {
        self.scheduler_events.push_back(Event::ProbeFinished { server, status, latency, report });
    }
}
