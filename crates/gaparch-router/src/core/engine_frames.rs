//! What engines say.

use super::connection::{ConnectionNumber, EngineConnection};
use super::load_values::without_invalid_values;
use super::request::{Attempt, Stage, TrackedRequest};
use super::timers::Timer;
use super::{Core, Output, ResponseEvent};
use gaparch_protocol::client::{StopReason, Usage};
use gaparch_protocol::engine::{AttemptKey, EngineFacts, EngineFrame};
use gaparch_protocol::ops::outcome::OutcomeCause;
use gaparch_scheduler::api::{
    AttemptNumber, AttemptStatus, EndpointUpdate, Event, LoadReport, Nanos, RequestId, ServerId,
};

impl Core {
    pub(super) fn connect(&mut self, engine: ServerId, out: &mut Vec<Output>) {
        let Some((name, address)) = self.endpoints.connect_target(engine) else { return };
        let Some(link) = self.connections.get_mut(&engine).filter(|l| l.is_disconnected()) else { return };
        self.next_conn += 1;
        let conn = ConnectionNumber(self.next_conn);
        link.start_connecting(conn);
        out.push(Output::Connect { engine, conn, name, address });
    }

    pub(super) fn on_engine_connected(
        &mut self,
        engine: ServerId,
        conn: ConnectionNumber,
        facts: &EngineFacts,
        out: &mut Vec<Output>,
    ) {
        let Some(link) = self.connections.get_mut(&engine) else { return };
        if !link.on_connected(conn) {
            return;
        }
        if let Err(reason) = self.endpoints.check_facts(engine, facts, &self.config) {
            return self.on_protocol_violation(engine, reason, out);
        }
        if let Some(entry) =
            self.endpoints.on_reported_start(engine, facts.started_at, self.now, &mut self.counters)
        {
            self.scheduler_events.push_back(Event::EndpointsChanged {
                update: EndpointUpdate::Delta,
                endpoints: vec![entry].into(),
            });
        }
        let waits = |l: &TrackedRequest| l.attempt.is_some_and(|a| a.server == engine && a.waits);
        let waiting: Vec<RequestId> =
            self.requests.iter().filter(|(_, l)| waits(l)).map(|(id, _)| *id).collect();
        waiting.into_iter().for_each(|id| self.send_attempt_frame(id));
        out.append(&mut self.pending_frames);
    }

    pub(super) fn on_engine_disconnected(
        &mut self,
        engine: ServerId,
        conn: ConnectionNumber,
        out: &mut Vec<Output>,
    ) {
        let Some(link) = self.connections.get_mut(&engine) else { return };
        let Some(down) = link.on_disconnected(conn, &self.config.attempts) else { return };
        self.endpoints.mark_unreachable(engine, self.now);
        if self.endpoints.is_present(engine) {
            self.timers.set(self.now.saturating_add(down.reconnect_after), Timer::Reconnect(engine));
        }
        for (_, sent) in down.outstanding_probes {
            self.report_probe(engine, self.now.saturating_sub(sent), AttemptStatus::ConnectFailed, None);
        }
        if down.was_connected {
            // The module hears of a lost connection even if nothing of it was out there.
            self.report_probe(engine, 0, AttemptStatus::ConnectFailed, None);
        }
        let of = |l: &TrackedRequest| l.attempt.filter(|a| a.server == engine);
        let hit: Vec<(RequestId, Attempt)> =
            self.requests.iter().filter_map(|(id, l)| Some((*id, of(l)?))).collect();
        for (id, attempt) in hit {
            match attempt {
                Attempt { begun: true, .. } => self.break_stream(id, attempt, AttemptStatus::Reset, out),
                Attempt { waits: true, .. } => {
                    self.finish_attempt(id, attempt, AttemptStatus::ConnectFailed, 0, None)
                }
                _ => self.finish_attempt(id, attempt, AttemptStatus::Reset, 0, None),
            }
        }
        // What it held for this router went with the connection.
        let held: Vec<RequestId> =
            self.requests.iter().filter(|(_, l)| l.kv_held_at.contains(&engine)).map(|(id, _)| *id).collect();
        for id in held {
            if let Some(live) = self.requests.get_mut(&id) {
                live.kv_held_at.retain(|s| *s != engine);
            }
            self.forget_if_done(id);
        }
    }

    /// Closes a connection whose frames make no sense. It costs only its own requests.
    pub(super) fn on_protocol_violation(
        &mut self,
        engine: ServerId,
        reason: &'static str,
        out: &mut Vec<Output>,
    ) {
        self.counters.protocol_violations += 1;
        out.push(Output::Disconnect { engine, reason });
        let conn = self.connections.get(&engine).and_then(EngineConnection::number);
        if let Some(conn) = conn {
            self.on_engine_disconnected(engine, conn, out);
        }
    }

    pub(super) fn on_frame(
        &mut self,
        engine: ServerId,
        conn: ConnectionNumber,
        frame: EngineFrame,
        out: &mut Vec<Output>,
    ) {
        // Frames of a connection that is no more are of no use.
        if !self.connections.get(&engine).is_some_and(|l| l.is_current(conn)) {
            return;
        }
        if let Some(key) = frame.attempt() {
            return self.on_attempt_frame(engine, key, frame, out);
        }
        match frame {
            EngineFrame::Probed { nonce, report } => {
                let sent =
                    self.connections.get_mut(&engine).and_then(|l| l.outstanding_probes.remove(&nonce));
                let report = without_invalid_values(report, &mut self.counters);
                if let Some(sent) = sent {
                    self.report_probe(engine, self.now.saturating_sub(sent), AttemptStatus::Ok, report);
                }
            }
            EngineFrame::LoadReport(report) => {
                let report = without_invalid_values(Some(report), &mut self.counters);
                if let Some(link) = self.connections.get_mut(&engine) {
                    link.last_report = report;
                }
            }
            EngineFrame::Bye { .. } => {}
            _ => self.on_protocol_violation(engine, "a frame that an engine does not send", out),
        }
    }

    pub(super) fn on_probe_finished(&mut self, engine: ServerId, nonce: u64, status: AttemptStatus) {
        let sent = self.connections.get_mut(&engine).and_then(|l| l.outstanding_probes.remove(&nonce));
        if let Some(sent) = sent {
            self.report_probe(engine, self.now.saturating_sub(sent), status, None);
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
        let live = self.requests.get(&id);
        if live.is_some_and(|l| no.0 >= l.next_attempt) {
            return self.on_protocol_violation(engine, "an attempt that was never made", out);
        }
        if let EngineFrame::Reserved { reserved: held, .. } = frame {
            // It comes from where the place is, not from where the read is.
            let asked = live.is_some_and(|l| l.kv_held_at.contains(&engine));
            let out = live.and_then(|l| l.attempt).is_some_and(|a| a.number == no);
            return match asked && out {
                true => self.scheduler_events.push_back(Event::ReservationAnswered {
                    id,
                    attempt: no,
                    server: engine,
                    reserved: held,
                }),
                false => self.counters.late_frames += 1,
            };
        }
        let attempt = live.and_then(|l| l.attempt).filter(|a| a.number == no && a.server == engine);
        // Called off, timed out or ended meanwhile: what it held was let go of then.
        let Some(attempt) = attempt.filter(|a| !a.waits) else {
            return self.counters.late_frames += 1;
        };
        match frame {
            EngineFrame::PrefillDone { cached_prompt_tokens: kept, report, .. }
                if attempt.stage == Stage::Prefill =>
            {
                let report = self.load_report_of(engine, report);
                if let Some(live) = self.requests.get_mut(&id) {
                    live.usage.cached_prompt_tokens = kept;
                }
                self.finish_attempt(id, attempt, AttemptStatus::Prefilled, u64::from(kept), report);
            }
            EngineFrame::Tokens { sent_before: from, count, text, .. } if attempt.stage == Stage::Decode => {
                self.on_tokens(id, attempt, from, count, text, out);
            }
            EngineFrame::Outcome { status, note, produced_tokens: produced, report, .. } => {
                self.on_outcome(id, attempt, status, note, produced, report, out);
            }
            _ => self.on_protocol_violation(engine, "a frame out of order", out),
        }
    }

    pub(super) fn load_report_of(
        &mut self,
        engine: ServerId,
        report: Option<LoadReport>,
    ) -> Option<LoadReport> {
        let own = without_invalid_values(report, &mut self.counters);
        own.or_else(|| self.connections.get_mut(&engine).and_then(|l| l.last_report.take()))
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
        let Some(live) = self.requests.get_mut(&id) else { return };
        let have = live.usage.output_tokens;
        if from > have {
            return self.on_protocol_violation(attempt.server, "tokens are missing", out);
        }
        if from < have {
            return self.counters.late_frames += 1;
        }
        live.usage.output_tokens = have.saturating_add(u32::from(count));
        self.counters.tokens += u64::from(count);
        live.last_token_at = self.now;
        if !attempt.begun {
            self.start_stream(id, attempt, out);
        }
        out.push(Output::Client { id, event: ResponseEvent::Text { text } });
    }

    /// The first token is there: the attempt belongs to the client, and its time-outs stop.
    pub(super) fn start_stream(&mut self, id: RequestId, attempt: Attempt, out: &mut Vec<Output>) {
        let Some(live) = self.requests.get_mut(&id) else { return };
        live.attempt = Some(Attempt { begun: true, ..attempt });
        live.streaming_since = self.now;
        live.first_token_at = Some(self.now);
        live.last_token_at = self.now;
        let usage = Usage { output_tokens: 0, ..live.usage };
        self.timers.cancel(attempt.timer);
        let until = live.stream_deadline(&self.config.class_times);
        if until < Nanos::MAX {
            let timer = self.timers.set(until, Timer::StreamLimit(id));
            live.attempt = Some(Attempt { begun: true, timer, ..attempt });
        }
        out.push(Output::Client { id, event: ResponseEvent::Started { usage } });
        // The writer has taken the state; all else that was held goes.
        let live_state = live.kv_cache_at.take();
        let others: Vec<ServerId> = std::mem::take(&mut live.kv_held_at);
        for server in others {
            if Some(server) != live_state && server != attempt.server {
                self.send_to_engine(server, EngineFrame::Release { request: id.0 });
            }
            self.queue_disconnect_check(server);
        }
        self.scheduler_events.push_back(Event::FirstToken {
            id,
            attempt: attempt.number,
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
        let report = self.load_report_of(attempt.server, report);
        let Some(live) = self.requests.get(&id) else { return };
        if status == AttemptStatus::Ok && attempt.stage == Stage::Prefill {
            return self.on_protocol_violation(attempt.server, "an answer to a read", out);
        }
        if status != AttemptStatus::Ok {
            return match attempt.begun {
                true => {
                    let cause = OutcomeCause::StreamBroken;
                    self.answer(id, ResponseEvent::Failed { message: "the answer broke off", cause }, out);
                    self.finish_attempt(id, attempt, status, note, report);
                }
                false => self.finish_attempt(id, attempt, status, note, report),
            };
        }
        if produced != live.usage.output_tokens {
            return self.on_protocol_violation(
                attempt.server,
                "an answer whose tokens did not all come",
                out,
            );
        }
        let attempt = match attempt.begun {
            true => attempt,
            false => {
                self.start_stream(id, attempt, out);
                Attempt { begun: true, ..attempt }
            }
        };
        let Some(live) = self.requests.get(&id) else { return };
        let usage = live.usage;
        let reason = if usage.output_tokens >= live.request.max_output_tokens {
            StopReason::MaxTokens
        } else {
            StopReason::Finished
        };
        self.answer(id, ResponseEvent::Finished { usage, reason }, out);
        self.finish_attempt(id, attempt, AttemptStatus::Ok, note, report);
    }
}
