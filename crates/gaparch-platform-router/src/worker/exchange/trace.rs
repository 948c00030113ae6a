//! The log line of an exchange, with its times on the socket for comparison with the scheduler's view.

use super::Attempt;
use crate::forwarded_request::ForwardedRequest;
use crate::messages::AttemptEvent;
use crate::worker::pool::WorkerProcess;
use gaparch_net::Clock;
use gaparch_platform_protocol::worker::Stage;
use gaparch_scheduler::api::{AttemptNumber, Nanos, RequestId};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

const NANOS_PER_MICRO: Nanos = 1000;

/// How an exchange ended if the owner is not notified of an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WithoutOutcome {
    /// The request was given up when its stream began, or its client disconnected during the stream.
    Abandoned,
    /// The attempt was cancelled.
    Cancelled,
}

/// The times of an exchange. If it is dropped before the exchange ends, the line says `Cancelled` and shows
/// how far the exchange had progressed.
pub(super) struct Trace {
    request: RequestId,
    attempt: AttemptNumber,
    process: WorkerProcess,
    stage: Stage,
    forwarded: Arc<ForwardedRequest>,
    clock: Clock,
    is_logged: bool,
    started_at: Nanos,
    /// How long its connection was idle before; `None` if it is new.
    idle_time: Option<Duration>,
    /// 0 until it is connected. Likewise the following times are 0 until they are recorded.
    connected_at: Nanos,
    written_at: Nanos,
    first_byte_at: Nanos,
    /// When the last event so far was passed on to the client.
    last_event_at: Nanos,
}

impl Trace {
    pub fn new(attempt: &Attempt, clock: Clock) -> Trace {
        Trace {
            request: attempt.request,
            attempt: attempt.number,
            process: attempt.process,
            stage: attempt.stage,
            forwarded: Arc::clone(&attempt.forwarded),
            clock,
            is_logged: false,
            started_at: clock.now(),
            idle_time: None,
            connected_at: 0,
            written_at: 0,
            first_byte_at: 0,
            last_event_at: 0,
        }
    }

    pub fn record_connected(&mut self, idle_time: Option<Duration>) {
        self.idle_time = idle_time;
        self.connected_at = self.clock.now();
    }

    pub fn record_written(&mut self) {
        self.written_at = self.clock.now();
    }

    pub fn record_first_byte(&mut self) {
        self.first_byte_at = self.clock.now();
    }

    pub fn record_event(&mut self) {
        self.last_event_at = self.clock.now();
    }

    /// Logs the end of the exchange; `event` is `None` if the request was given up meanwhile.
    pub fn log_end(&mut self, event: Option<&AttemptEvent>) {
        match event {
            Some(event) => self.log(event),
            None => self.log(&WithoutOutcome::Abandoned),
        }
    }

    fn log(&mut self, end: &dyn fmt::Debug) {
        if std::mem::replace(&mut self.is_logged, true) {
            return;
        }
        let micros = |at: Nanos| at.saturating_sub(self.started_at) / NANOS_PER_MICRO;
        tracing::debug!(
            target: "gaparch_platform_router::wire",
            request = self.request.0,
            txn = self.forwarded.transaction.as_str(),
            attempt = self.attempt.0,
            worker = self.process.server.0,
            address = %self.process.address,
            stage = self.stage.name(),
            idle_ms = self.idle_time.map(|idle| idle.as_millis() as u64),
            connected_us = micros(self.connected_at),
            written_us = micros(self.written_at),
            first_us = micros(self.first_byte_at),
            last_event_us = micros(self.last_event_at),
            ended_us = micros(self.clock.now()),
            ?end,
            "exchange ended"
        );
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.log(&WithoutOutcome::Cancelled);
    }
}
