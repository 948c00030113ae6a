//! What engines say.

use super::engines::{ConnNo, EngineLink};
use super::figures::clean;
use super::request::{Attempt, Live, Stage};
use super::timers::Timer;
use super::{Core, Output, ToClient};
use gaparch_protocol::client::{StopReason, Usage};
use gaparch_protocol::engine::{AttemptKey, EngineFacts, EngineFrame};
use gaparch_protocol::ops::ending::Cause;
use gaparch_scheduler::api::{
    AttemptNumber, AttemptStatus, EndpointUpdate, Event, LoadReport, Nanos, RequestId, ServerId,
};

impl Core {
    pub(super) fn connect(&mut self, engine: ServerId, out: &mut Vec<Output>) {
        let Some((name, address)) = self.roster.contact(engine) else { return };
        let Some(link) = self.engines.get_mut(&engine).filter(|l| l.is_down()) else { return };
        self.next_conn += 1;
        let conn = ConnNo(self.next_conn);
        link.connecting(conn);
        out.push(Output::Connect { engine, conn, name, address });
    }

    pub(super) fn on_engine_up(
        &mut self,
        engine: ServerId,
        conn: ConnNo,
        facts: &EngineFacts,
        out: &mut Vec<Output>,
    ) {
        let Some(link) = self.engines.get_mut(&engine) else { return };
        if !link.up(conn) {
            return;
        }
        if let Err(reason) = self.roster.agrees(engine, facts, &self.config) {
            return self.violate(engine, reason, out);
        }
        if let Some(entry) = self.roster.started(engine, facts.started_at, self.now, &mut self.counts) {
            self.events.push_back(Event::EndpointsChanged {
                update: EndpointUpdate::Delta,
                endpoints: vec![entry].into(),
            });
        }
        let waits = |l: &Live| l.attempt.is_some_and(|a| a.server == engine && a.waits);
        let waiting: Vec<RequestId> = self.live.iter().filter(|(_, l)| waits(l)).map(|(id, _)| *id).collect();
        waiting.into_iter().for_each(|id| self.write_attempt(id));
        out.append(&mut self.wire);
    }

    pub(super) fn on_engine_down(&mut self, engine: ServerId, conn: ConnNo, out: &mut Vec<Output>) {
        let Some(link) = self.engines.get_mut(&engine) else { return };
        let Some(down) = link.down(conn, &self.config.attempts) else { return };
        self.roster.away(engine, self.now);
        if self.roster.wanted(engine) {
            self.timers.set(self.now.saturating_add(down.retry_after), Timer::Reconnect(engine));
        }
        for (_, sent) in down.probes {
            self.probed(engine, self.now.saturating_sub(sent), AttemptStatus::ConnectFailed, None);
        }
        if down.was_up {
            // The module hears of a lost connection even if nothing of it was out there.
            self.probed(engine, 0, AttemptStatus::ConnectFailed, None);
        }
        let of = |l: &Live| l.attempt.filter(|a| a.server == engine);
        let hit: Vec<(RequestId, Attempt)> =
            self.live.iter().filter_map(|(id, l)| Some((*id, of(l)?))).collect();
        for (id, attempt) in hit {
            match attempt {
                Attempt { begun: true, .. } => self.break_stream(id, attempt, AttemptStatus::Reset, out),
                Attempt { waits: true, .. } => self.close(id, attempt, AttemptStatus::ConnectFailed, 0, None),
                _ => self.close(id, attempt, AttemptStatus::Reset, 0, None),
            }
        }
        // What it held for this router went with the connection.
        let held: Vec<RequestId> =
            self.live.iter().filter(|(_, l)| l.held_at.contains(&engine)).map(|(id, _)| *id).collect();
        for id in held {
            if let Some(live) = self.live.get_mut(&id) {
                live.held_at.retain(|s| *s != engine);
            }
            self.forget_if_done(id);
        }
    }

    /// Closes a connection whose frames make no sense. It costs only its own requests.
    pub(super) fn violate(&mut self, engine: ServerId, reason: &'static str, out: &mut Vec<Output>) {
        self.counts.violations += 1;
        out.push(Output::Disconnect { engine, reason });
        let conn = self.engines.get(&engine).and_then(EngineLink::conn);
        if let Some(conn) = conn {
            self.on_engine_down(engine, conn, out);
        }
    }

    pub(super) fn on_frame(
        &mut self,
        engine: ServerId,
        conn: ConnNo,
        frame: EngineFrame,
        out: &mut Vec<Output>,
    ) {
        // Frames of a connection that is no more are of no use.
        if !self.engines.get(&engine).is_some_and(|l| l.is_on(conn)) {
            return;
        }
        if let Some(key) = frame.attempt() {
            return self.on_attempt_frame(engine, key, frame, out);
        }
        match frame {
            EngineFrame::Probed { nonce, report } => {
                let sent = self.engines.get_mut(&engine).and_then(|l| l.probes.remove(&nonce));
                let report = clean(report, &mut self.counts);
                if let Some(sent) = sent {
                    self.probed(engine, self.now.saturating_sub(sent), AttemptStatus::Ok, report);
                }
            }
            EngineFrame::Report(report) => {
                let report = clean(Some(report), &mut self.counts);
                if let Some(link) = self.engines.get_mut(&engine) {
                    link.report = report;
                }
            }
            EngineFrame::Bye { .. } => {}
            _ => self.violate(engine, "a frame that an engine does not send", out),
        }
    }

    pub(super) fn on_probed(&mut self, engine: ServerId, nonce: u64, status: AttemptStatus) {
        let sent = self.engines.get_mut(&engine).and_then(|l| l.probes.remove(&nonce));
        if let Some(sent) = sent {
            self.probed(engine, self.now.saturating_sub(sent), status, None);
        }
    }

    pub(super) fn on_attempt_frame(
        &mut self,
        engine: ServerId,
        key: AttemptKey,
        frame: EngineFrame,
        out: &mut Vec<Output>,
    ) {
        let id = RequestId(key.request);
        let no = AttemptNumber(key.attempt);
        let live = self.live.get(&id);
        if live.is_some_and(|l| no.0 >= l.next_attempt) {
            return self.violate(engine, "an attempt that was never made", out);
        }
        if let EngineFrame::Reserved { held, .. } = frame {
            // It comes from where the place is, not from where the read is.
            let asked = live.is_some_and(|l| l.held_at.contains(&engine));
            let out = live.and_then(|l| l.attempt).is_some_and(|a| a.no == no);
            return match asked && out {
                true => self.events.push_back(Event::ReservationAnswered {
                    id,
                    attempt: no,
                    server: engine,
                    reserved: held,
                }),
                false => self.counts.late_frames += 1,
            };
        }
        let attempt = live.and_then(|l| l.attempt).filter(|a| a.no == no && a.server == engine);
        // Called off, timed out or ended meanwhile: what it held was let go of then.
        let Some(attempt) = attempt.filter(|a| !a.waits) else {
            return self.counts.late_frames += 1;
        };
        match frame {
            EngineFrame::ReadDone { kept, report, .. } if attempt.stage == Stage::Read => {
                let report = self.report(engine, report);
                if let Some(live) = self.live.get_mut(&id) {
                    live.usage.kept = kept;
                }
                self.close(id, attempt, AttemptStatus::Prefilled, u64::from(kept), report);
            }
            EngineFrame::Tokens { from, count, text, .. } if attempt.stage == Stage::Write => {
                self.on_tokens(id, attempt, from, count, text, out);
            }
            EngineFrame::Outcome { status, note, produced, report, .. } => {
                self.on_outcome(id, attempt, status, note, produced, report, out);
            }
            _ => self.violate(engine, "a frame out of order", out),
        }
    }

    pub(super) fn report(&mut self, engine: ServerId, report: Option<LoadReport>) -> Option<LoadReport> {
        let own = clean(report, &mut self.counts);
        own.or_else(|| self.engines.get_mut(&engine).and_then(|l| l.report.take()))
    }

    pub(super) fn on_tokens(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        from: u32,
        count: u16,
        text: String,
        out: &mut Vec<Output>,
    ) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let have = live.usage.output;
        if from > have {
            return self.violate(attempt.server, "tokens are missing", out);
        }
        if from < have {
            return self.counts.late_frames += 1;
        }
        live.usage.output = have.saturating_add(u32::from(count));
        self.counts.tokens += u64::from(count);
        live.last_token_at = self.now;
        if !attempt.begun {
            self.begin(id, attempt, out);
        }
        out.push(Output::Client { id, event: ToClient::Part { text } });
    }

    /// The first token is there: the attempt belongs to the client, and its time-outs stop.
    pub(super) fn begin(&mut self, id: RequestId, attempt: Attempt, out: &mut Vec<Output>) {
        let Some(live) = self.live.get_mut(&id) else { return };
        live.attempt = Some(Attempt { begun: true, ..attempt });
        live.begun_at = self.now;
        live.first_at = Some(self.now);
        live.last_token_at = self.now;
        let usage = Usage { output: 0, ..live.usage };
        self.timers.cancel(attempt.timer);
        let until = live.stream_until(&self.config.class_times);
        if until < Nanos::MAX {
            let timer = self.timers.set(until, Timer::Stream(id));
            live.attempt = Some(Attempt { begun: true, timer, ..attempt });
        }
        out.push(Output::Client { id, event: ToClient::Opened { usage } });
        // The writer has taken the state; all else that was held goes.
        let live_state = live.state_at.take();
        let others: Vec<ServerId> = std::mem::take(&mut live.held_at);
        for server in others {
            if Some(server) != live_state && server != attempt.server {
                self.tell(server, EngineFrame::Release { request: id.0 });
            }
            self.may_leave(server);
        }
        self.events.push_back(Event::FirstToken {
            id,
            attempt: attempt.no,
            server: attempt.server,
            latency: self.now.saturating_sub(attempt.sent_at),
        });
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_outcome(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        status: AttemptStatus,
        note: u64,
        produced: u32,
        report: Option<LoadReport>,
        out: &mut Vec<Output>,
    ) {
        let report = self.report(attempt.server, report);
        let Some(live) = self.live.get(&id) else { return };
        if status == AttemptStatus::Ok && attempt.stage == Stage::Read {
            return self.violate(attempt.server, "an answer to a read", out);
        }
        if status != AttemptStatus::Ok {
            return match attempt.begun {
                true => {
                    let cause = Cause::BrokeOff;
                    self.answer(id, ToClient::Failed { why: "the answer broke off", cause }, out);
                    self.close(id, attempt, status, note, report);
                }
                false => self.close(id, attempt, status, note, report),
            };
        }
        if produced != live.usage.output {
            return self.violate(attempt.server, "an answer whose tokens did not all come", out);
        }
        let attempt = match attempt.begun {
            true => attempt,
            false => {
                self.begin(id, attempt, out);
                Attempt { begun: true, ..attempt }
            }
        };
        let Some(live) = self.live.get(&id) else { return };
        let usage = live.usage;
        let reason =
            if usage.output >= live.ask.max_out { StopReason::MaxTokens } else { StopReason::Finished };
        self.answer(id, ToClient::Finished { usage, reason }, out);
        self.close(id, attempt, AttemptStatus::Ok, note, report);
    }
}
