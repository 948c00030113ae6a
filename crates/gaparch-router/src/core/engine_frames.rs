//! Handles frames that engines send.

use super::attempts::AttemptResult;
use super::connection::ConnectionNumber;
use super::load_values::without_invalid_values;
use super::request::Stage;
use super::{Core, Output};
use gaparch_protocol::engine::{AttemptKey, EngineFrame};
use gaparch_scheduler::api::{AttemptNumber, AttemptStatus, Event, LoadReport, RequestId, ServerId};

impl Core {
    /// An engine has sent a frame.
    pub(super) fn on_frame(
        &mut self,
        engine: ServerId,
        conn: ConnectionNumber,
        frame: EngineFrame,
        out: &mut Vec<Output>,
    ) {
        // Frames of an earlier connection are obsolete.
        if !self.connections.get(&engine).is_some_and(|connection| connection.is_current(conn)) {
            return;
        }
        if let Some(key) = frame.attempt() {
            return self.on_attempt_frame(engine, key, frame, out);
        }
        match frame {
            EngineFrame::Probed { nonce, report } => {
                let sent = self
                    .connections
                    .get_mut(&engine)
                    .and_then(|connection| connection.outstanding_probes.remove(&nonce));
                let report = without_invalid_values(report, &mut self.counters);
                if let Some(sent) = sent {
                    self.report_probe(engine, self.now.saturating_sub(sent), AttemptStatus::Ok, report);
                }
            }
            EngineFrame::LoadReport(report) => {
                let report = without_invalid_values(Some(report), &mut self.counters);
                if let Some(connection) = self.connections.get_mut(&engine) {
                    connection.last_report = report;
                }
            }
            EngineFrame::Bye { .. } => {}
            _ => self.on_protocol_violation(engine, "a frame that an engine does not send", out),
        }
    }

    /// An engine has sent a frame about one attempt.
    pub(super) fn on_attempt_frame(
        &mut self,
        engine: ServerId,
        key: AttemptKey,
        frame: EngineFrame,
        out: &mut Vec<Output>,
    ) {
        let id = RequestId(key.request);
        let number = AttemptNumber(key.attempt);
        let tracked = self.requests.get(&id);
        if tracked.is_some_and(|tracked| number.0 >= tracked.next_attempt) {
            return self.on_protocol_violation(engine, "an attempt that was never made", out);
        }
        if let EngineFrame::Reserved { reserved, .. } = frame {
            // This comes from the decode worker that was asked for a reservation, not from the prefill
            // worker.
            let was_asked = tracked.is_some_and(|tracked| tracked.kv_held_at.contains(&engine));
            let in_flight =
                tracked.and_then(|tracked| tracked.attempt).is_some_and(|attempt| attempt.number == number);
            if was_asked && in_flight {
                let answered = Event::ReservationAnswered { id, attempt: number, server: engine, reserved };
                self.scheduler_events.push_back(answered);
            } else {
                self.counters.late_frames += 1;
            }
            return;
        }
        let attempt = tracked
            .and_then(|tracked| tracked.attempt)
            .filter(|attempt| attempt.number == number && attempt.server == engine);
        // The attempt was cancelled, timed out or ended; what it held was released then.
        let Some(attempt) = attempt.filter(|attempt| !attempt.awaits_connection()) else {
            return self.counters.late_frames += 1;
        };
        match frame {
            EngineFrame::PrefillDone { cached_prompt_tokens, report, .. }
                if attempt.stage == Stage::Prefill =>
            {
                let report = self.load_report_of(engine, report);
                if let Some(tracked) = self.requests.get_mut(&id) {
                    tracked.usage.cached_prompt_tokens = cached_prompt_tokens;
                }
                self.finish_attempt(
                    id,
                    attempt,
                    AttemptResult {
                        status: AttemptStatus::Prefilled,
                        note: u64::from(cached_prompt_tokens),
                        report,
                    },
                );
            }
            EngineFrame::Tokens { sent_before, count, text, .. } if attempt.stage == Stage::Decode => {
                self.on_tokens(id, attempt, sent_before, count, text, out);
            }
            EngineFrame::Outcome { status, note, produced_tokens, report, .. } => {
                let result = AttemptResult { status, note, report };
                self.on_outcome(id, attempt, result, produced_tokens, out);
            }
            _ => self.on_protocol_violation(engine, "a frame out of order", out),
        }
    }

    /// The valid part of a load report that came with an outcome, or else the last unsolicited report.
    pub(super) fn load_report_of(
        &mut self,
        engine: ServerId,
        report: Option<LoadReport>,
    ) -> Option<LoadReport> {
        let valid = without_invalid_values(report, &mut self.counters);
        valid.or_else(|| {
            self.connections.get_mut(&engine).and_then(|connection| connection.last_report.take())
        })
    }
}
