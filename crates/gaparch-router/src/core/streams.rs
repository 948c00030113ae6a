//! Streams of tokens from an engine to a client.

use super::attempts::AttemptResult;
use super::request::{Attempt, AttemptState, Stage};
use super::timers::Timer;
use super::{Core, Output, ResponseEvent};
use gaparch_config::Links;
use gaparch_protocol::client::{StopReason, Usage};
use gaparch_protocol::engine::EngineFrame;
use gaparch_protocol::ops::outcome::OutcomeCause;
use gaparch_scheduler::api::{AttemptStatus, Event, Nanos, RequestId, ServerId};

/// The message to a client whose stream has broken.
const STREAM_BROKEN: &str = "the answer broke off";

impl Core {
    /// Handles tokens from an engine; `sent_before` is the number of tokens that it sent before these. A frame
    /// that brings none neither starts a stream nor extends its silence limit.
    pub(super) fn on_tokens(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        sent_before: u32,
        count: u16,
        text: String,
        out: &mut Vec<Output>,
    ) {
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let received = tracked.usage.output_tokens;
        if sent_before > received {
            return self.on_protocol_violation(attempt.server, "tokens are missing", out);
        }
        if sent_before < received {
            return self.counters.late_frames += 1;
        }
        // The shell of an exchange forwards the tokens itself, and only reports here that they have begun.
        let is_report = self.config.links == Links::Exchanges;
        if count == 0 && text.is_empty() && !is_report {
            return;
        }
        tracked.usage.output_tokens = received.saturating_add(u32::from(count));
        self.counters.tokens += u64::from(count);
        tracked.last_token_at = self.now;
        if !attempt.is_streaming() {
            self.start_stream(id, attempt, out);
        }
        out.push(Output::Client { id, event: ResponseEvent::Text { text } });
    }

    /// Starts the response at the first token; from now on the limits of a stream apply to the attempt.
    pub(super) fn start_stream(&mut self, id: RequestId, attempt: Attempt, out: &mut Vec<Output>) {
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        tracked.attempt = Some(Attempt { state: AttemptState::Streaming, ..attempt });
        tracked.streaming_since = self.now;
        tracked.first_token_at = Some(self.now);
        tracked.last_token_at = self.now;
        let usage = Usage { output_tokens: 0, ..tracked.usage };
        self.timers.cancel(attempt.timer);
        let until = tracked.stream_deadline(&self.config.class_times);
        if until < Nanos::MAX {
            let timer = self.timers.set(until, Timer::StreamLimit(id));
            tracked.attempt = Some(Attempt { state: AttemptState::Streaming, timer, ..attempt });
        }
        out.push(Output::Client { id, event: ResponseEvent::Started { usage } });
        // The decode worker has fetched the KV cache; everything else that is held is released.
        let fetched_from = tracked.kv_cache_at.take();
        let holders: Vec<ServerId> = std::mem::take(&mut tracked.kv_held_at);
        for server in holders {
            if Some(server) != fetched_from && server != attempt.server {
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

    /// Handles an attempt's outcome from its engine, which also states how many tokens it produced.
    pub(super) fn on_outcome(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        result: AttemptResult,
        produced_tokens: u32,
        out: &mut Vec<Output>,
    ) {
        let AttemptResult { status, note, report } = result;
        let report = self.load_report_of(attempt.server, report);
        let Some(tracked) = self.requests.get(&id) else { return };
        if status == AttemptStatus::Ok && attempt.stage == Stage::Prefill {
            return self.on_protocol_violation(attempt.server, "an answer to a read", out);
        }
        if status != AttemptStatus::Ok {
            if attempt.is_streaming() {
                let cause = OutcomeCause::StreamBroken;
                self.answer(id, ResponseEvent::Failed { message: STREAM_BROKEN, cause }, out);
            }
            return self.finish_attempt(id, attempt, AttemptResult { status, note, report });
        }
        if produced_tokens != tracked.usage.output_tokens {
            return self.on_protocol_violation(
                attempt.server,
                "an answer whose tokens did not all come",
                out,
            );
        }
        if !attempt.is_streaming() {
            self.start_stream(id, attempt, out);
        }
        let attempt = Attempt { state: AttemptState::Streaming, ..attempt };
        let Some(tracked) = self.requests.get(&id) else { return };
        let usage = tracked.usage;
        let reason = if usage.output_tokens >= tracked.request.max_output_tokens {
            StopReason::MaxTokens
        } else {
            StopReason::Finished
        };
        self.answer(id, ResponseEvent::Finished { usage, reason }, out);
        self.finish_attempt(id, attempt, AttemptResult { status: AttemptStatus::Ok, note, report });
    }

    /// Handles a broken stream: its request fails and the attempt ends.
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
        self.answer(id, ResponseEvent::Failed { message: STREAM_BROKEN, cause }, out);
        self.finish_attempt(id, attempt, AttemptResult::of(status));
    }
}
