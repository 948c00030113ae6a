//! What the module wants done.

use super::engines::EngineLink;
use super::request::{Attempt, Stage};
use super::timers::Timer;
use super::{Core, Output, ToClient};
use gaparch_config::Links;
use gaparch_protocol::engine::{AttemptKey, EngineFrame};
use gaparch_scheduler::api::{
    Action, AttemptNumber, AttemptOutcome, AttemptStatus, Event, GiveUpCause, LoadReport, Nanos, RequestId,
    Role, ServerId,
};
use gaparch_scheduler::policy::kv_release::may_release_beside_decode;
use gaparch_scheduler::policy::send_guards::{self, Denial, Repeat, SendFacts};

impl Core {
    pub(super) fn act(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { id, server, timeout, send_by: by } => self.send(id, server, timeout, by),
            Action::Cancel { id, attempt } => self.cancel(id, attempt),
            Action::Reject { id, retry_after, cause: why } => self.refuse(id, retry_after, why, out),
            Action::Fail { id, cause: why } => {
                let cause = why.reason.into();
                let why = "it may have been tried, and could not be ended";
                self.answer(id, ToClient::Failed { why, cause }, out);
                self.forget_if_done(id);
            }
            Action::ReleaseKv(id) => self.release(id),
            Action::ReserveKv { id, server } => self.ahead(id, server),
            Action::Probe(server) => self.probe(server),
            Action::SetTimer { token, delay } => {
                self.timers.set(self.now.saturating_add(delay), Timer::Module(token));
            }
            Action::WatchEndpoints(on) => out.push(Output::Watch(on)),
            Action::FetchEndpoints => out.push(Output::Fetch),
            Action::Log(text) => out.push(Output::Log(text)),
            Action::SendGossip { peer, data } => out.push(Output::Tell { peer, data }),
            Action::CloseConnections(engine) => {
                // One connection that carries all stays; idle ones of single exchanges may go.
                out.extend((self.config.links == Links::Exchanges).then_some(Output::CloseIdle(engine)));
            }
            // A stream that breaks can't be resumed: the module is told so in its settings and moves none.
            Action::Migrate(_) => {}
        }
        out.append(&mut self.wire);
    }

    pub(super) fn send(&mut self, id: RequestId, server: ServerId, timeout: Nanos, by: Nanos) {
        let now = self.now;
        let denied = self.may_send(id, server, by);
        let Some(live) = self.live.get_mut(&id) else { return self.moot(id, AttemptNumber(0), server, true) };
        let no = AttemptNumber(live.next_attempt);
        live.next_attempt += 1;
        live.write_by = by;
        let role = self.roster.role(server, &self.config.module);
        if let Err(denial) = denied {
            let ended = live.ended;
            self.counts.denials.count(denial);
            return self.not_sent(id, no, server, denial.status(), ended);
        }
        let until =
            if timeout == 0 { live.give_up_at } else { live.give_up_at.min(now.saturating_add(timeout)) };
        let stage = if role == Some(Role::Prefill) { Stage::Read } else { Stage::Write };
        let timer = self.timers.set(until, Timer::Attempt(id, no));
        live.attempt = Some(Attempt { no, server, stage, sent_at: now, begun: false, waits: false, timer });
        live.step_begins(server, stage, now);
        if let Some(before) = live.last_status.filter(|status| *status != AttemptStatus::Prefilled) {
            self.reasons.retries.count(before.name());
        }
        let Some(link) = self.engines.get_mut(&server) else {
            return self.close_by(id, no, AttemptStatus::ConnectFailed);
        };
        link.tally.attempts += 1;
        if link.is_up() {
            self.write_attempt(id);
        } else if link.is_coming() {
            if let Some(attempt) = live.attempt.as_mut() {
                attempt.waits = true;
            }
            let until = now.saturating_add(self.config.module.connect_timeout).min(by);
            self.timers.set(until, Timer::Connect(id, no));
        } else {
            self.close_by(id, no, AttemptStatus::ConnectFailed);
        }
    }

    /// Whether the rules allow a send that the module wants.
    fn may_send(&self, id: RequestId, server: ServerId, by: Nanos) -> Result<(), Denial> {
        let Some(live) = self.live.get(&id) else { return Err(Denial::Answered) };
        let settings = &self.config.module;
        let reads = self.roster.role(server, settings) == Some(Role::Prefill);
        let class = settings.classes.get(live.ask.class.0);
        let (zone, cell) = self.roster.place(server);
        // A read has no effect.
        let ran = live.ran.filter(|_| !reads).zip(class);
        send_guards::may_send(&SendFacts {
            now: self.now,
            deadline_at: live.give_up_at,
            send_by: by,
            answered: live.ended,
            client_disconnected: false,
            attempt_in_flight: live.attempt.is_some() && !settings.can_hedge,
            attempts_exhausted: live.next_attempt >= settings.max_attempts,
            server_ready: self.roster.ready(server),
            repeat: ran.map(|(ran, class)| Repeat { class, ran, zone, cell }),
        })
    }

    /// Whether the rules allow a refusal that the module wants.
    fn may_refuse(&self, id: RequestId) -> Result<(), Denial> {
        let Some(live) = self.live.get(&id) else { return Ok(()) };
        let Some(class) = self.config.module.classes.get(live.ask.class.0) else { return Ok(()) };
        let out = live.attempt.is_some_and(|a| a.stage == Stage::Write && !a.waits);
        send_guards::may_reject(class, out || live.ran.is_some())
    }

    /// A refusal; where one would promise too much, a failure, which promises nothing.
    fn refuse(&mut self, id: RequestId, retry_after: Nanos, why: GiveUpCause, out: &mut Vec<Output>) {
        let (cause, waited_for) = (why.reason.into(), why.queueing_reason.map(Into::into));
        let answer = match self.may_refuse(id) {
            Ok(()) => ToClient::Refused { retry_after, cause, waited_for },
            Err(denial) => {
                self.counts.denials.count(denial);
                ToClient::Failed { why: "it may have been tried, and could not be ended", cause }
            }
        };
        self.answer(id, answer, out);
        self.forget_if_done(id);
    }

    pub(super) fn moot(&mut self, id: RequestId, attempt: AttemptNumber, server: ServerId, closed: bool) {
        self.not_sent(id, attempt, server, AttemptStatus::Expired, closed);
    }

    /// A send of the module that was not made.
    fn not_sent(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        server: ServerId,
        status: AttemptStatus,
        closed: bool,
    ) {
        self.counts.moot += 1;
        self.events.push_back(Event::AttemptFinished(AttemptOutcome {
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
    pub(super) fn write_attempt(&mut self, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let Some(attempt) = live.attempt.as_mut() else { return };
        if self.now >= live.write_by {
            // The connection took too long: sent now it would be no repeat any more.
            let no = attempt.no;
            return self.close_by(id, no, AttemptStatus::Expired);
        }
        attempt.waits = false;
        let attempt = *attempt;
        let job = live.ask.job(id, attempt.no, live.give_up_at, self.now);
        let state = live.state_at.and_then(|server| self.roster.address(server));
        let frame = match attempt.stage {
            Stage::Read => EngineFrame::Read(job),
            Stage::Write => EngineFrame::Write { job, state },
        };
        if let Some(link) = self.engines.get_mut(&attempt.server) {
            self.wire.push(Output::Engine { engine: attempt.server, frame });
            link.attempts.insert(id);
        }
    }

    pub(super) fn cancel(&mut self, id: RequestId, no: AttemptNumber) {
        let attempt = self.live.get(&id).and_then(|l| l.attempt).filter(|a| a.no == no && !a.begun);
        let Some(attempt) = attempt else { return };
        self.call_off(id, attempt);
        self.close(id, attempt, AttemptStatus::Cancelled, 0, None);
    }

    /// Tells the engine that nobody waits.
    pub(super) fn call_off(&mut self, id: RequestId, attempt: Attempt) {
        if attempt.waits {
            return;
        }
        let key = AttemptKey { request: id.0, attempt: attempt.no.0 };
        self.tell(attempt.server, EngineFrame::Cancel(key));
    }

    /// Lets go of all that is held for the request. A state that a write is out for stays booked: the write may have
    /// arrived, and then it waits for it.
    pub(super) fn release(&mut self, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let write = live.attempt.filter(|a| a.stage == Stage::Write);
        let fetched_from = live.state_at.filter(|_| write.is_some());
        let held = std::mem::take(&mut live.held_at);
        live.held_at.extend(fetched_from.filter(|s| held.contains(s)));
        live.state_at = fetched_from;
        let arrived = write.is_some_and(|w| self.policy.has_run_since(w.server, w.sent_at));
        let beside = may_release_beside_decode(self.config.links == Links::Exchanges, arrived);
        for server in held {
            let is_fetched = Some(server) == fetched_from;
            if beside || !is_fetched {
                self.tell(server, EngineFrame::Release { request: id.0 });
            }
            if !is_fetched {
                self.may_leave(server);
            }
        }
        self.forget_if_done(id);
    }

    /// Puts a frame on the connection of an engine, if it is up. Where each thing told is an exchange of its own, a
    /// release may reach any engine: it goes out whatever has become of this one.
    pub(super) fn tell(&mut self, engine: ServerId, frame: EngineFrame) {
        let anyway = self.config.links == Links::Exchanges;
        if anyway || self.engines.get(&engine).is_some_and(EngineLink::is_up) {
            self.wire.push(Output::Engine { engine, frame });
        }
    }

    pub(super) fn ahead(&mut self, id: RequestId, server: ServerId) {
        let Some(live) = self.live.get_mut(&id).filter(|l| !l.ended) else { return };
        let Some(reading) = live.attempt.filter(|a| a.stage == Stage::Read) else { return };
        let Some(from) = self.roster.address(reading.server) else { return };
        let job = live.ask.job(id, reading.no, live.give_up_at, self.now);
        live.hold(server);
        self.tell(server, EngineFrame::Reserve { job, from });
    }

    pub(super) fn probe(&mut self, server: ServerId) {
        self.next_nonce += 1;
        let nonce = self.next_nonce;
        let now = self.now;
        let Some(link) = self.engines.get_mut(&server) else {
            return self.probed(server, 0, AttemptStatus::ConnectFailed, None);
        };
        if link.is_up() {
            link.probes.insert(nonce, now);
            self.wire.push(Output::Engine { engine: server, frame: EngineFrame::Probe { nonce } });
            self.timers
                .set(now.saturating_add(self.config.attempts.probe_timeout), Timer::Probe(server, nonce));
        } else {
            self.probed(server, 0, AttemptStatus::ConnectFailed, None);
        }
    }

    pub(super) fn probed(
        &mut self,
        server: ServerId,
        latency: Nanos,
        status: AttemptStatus,
        report: Option<LoadReport>,
    ) {
        self.events.push_back(Event::ProbeFinished { server, status, latency, report });
    }
}
