//! Forwards a worker's event stream to the client.

use super::trace::Trace;
use super::{Attempt, ExchangeEnd, FinishedConnection};
use crate::messages::AttemptEvent;
use crate::shared_state::SharedState;
use crate::stream_queue::{ClientGone, StreamSender};
use crate::worker::pool::WorkerConnection;
use bytes::BytesMut;
use gaparch_platform_protocol::body::{BodyDecoder, BodyPart};
use gaparch_platform_protocol::event_stream::{EventStream, MAX_EVENT_BYTES};
use gaparch_platform_protocol::head::ResponseHead;
use gaparch_router::memory::Reservation;
use gaparch_scheduler::api::AttemptStatus;
use gaparch_scheduler::policy::stream_progress::{self, MIN_PART_BYTES};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};

/// Longest wait for progress after what was passed on last.
const PROGRESS_TIMEOUT: Duration = Duration::from_nanos(stream_progress::PROGRESS_TIMEOUT);
/// Events that a stream may buffer without reservation, in bytes.
const UNRESERVED_EVENT_BYTES: usize = MIN_PART_BYTES;
/// Memory for a first event of the maximum length, in a buffer that grows by doubling.
const FIRST_EVENT_BYTES: usize = 2 * MAX_EVENT_BYTES;

/// Why forwarding ends before the body is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamError {
    /// The request was given up; no client is waiting for the stream.
    Abandoned,
    /// The attempt failed with this status.
    Failed(AttemptStatus),
}

impl From<ClientGone> for StreamError {
    fn from(ClientGone: ClientGone) -> StreamError {
        StreamError::Abandoned
    }
}

impl From<StreamError> for ExchangeEnd {
    fn from(error: StreamError) -> ExchangeEnd {
        match error {
            StreamError::Abandoned => ExchangeEnd::ABANDONED,
            StreamError::Failed(status) => ExchangeEnd::failed(status),
        }
    }
}

/// Forwards one stream.
struct StreamForwarder<'a> {
    attempt: &'a Attempt,
    shared: &'a SharedState,
    trace: &'a mut Trace,
    events: EventStream,
    /// Events that arrived and were not forwarded yet. Everything that is buffered is validated before it is
    /// forwarded, so a stream that is malformed from the start counts as not begun.
    pending: BytesMut,
    /// The memory of a long first event.
    reservation: Option<Reservation>,
    /// The channel to the client; set when the first events are forwarded.
    client: Option<StreamSender>,
    /// When the next event, or a part of a long one, has to be forwarded, whatever other bytes arrive. `None` before
    /// the first event, when the attempt's own timeout applies.
    next_progress_by: Option<Instant>,
}

/// Forwards events as they arrive. Malformed data before the first forwarded event makes the attempt fail.
pub(super) async fn forward_stream(
    attempt: &Attempt,
    shared: &SharedState,
    trace: &mut Trace,
    mut connection: WorkerConnection,
    response: ResponseHead,
) -> ExchangeEnd {
    let mut forwarder = StreamForwarder {
        attempt,
        shared,
        trace,
        events: EventStream::default(),
        pending: BytesMut::new(),
        reservation: None,
        client: None,
        next_progress_by: None,
    };
    match forwarder.forward_body(&mut connection, &response).await {
        Ok(()) => forwarder.finish(connection, response).await,
        Err(error) => error.into(),
    }
}

impl StreamForwarder<'_> {
    /// Forwards all events of the body.
    async fn forward_body(
        &mut self,
        connection: &mut WorkerConnection,
        response: &ResponseHead,
    ) -> Result<(), StreamError> {
        // A malformed stream is not reported as a broken connection, which would make the worker count as a
        // new process: the worker is running and has run the request.
        const MALFORMED: StreamError = StreamError::Failed(AttemptStatus::Unknown);
        let mut decoder = BodyDecoder::new(response.framing);
        loop {
            let part = decoder.decode(&mut connection.socket.buffer).map_err(|_| MALFORMED)?;
            match part {
                BodyPart::Data(data) => {
                    let events = self.events.push(&data).map_err(|_| MALFORMED)?;
                    self.pending.extend_from_slice(&events.unwrap_or_default());
                    self.limit_buffered().await?;
                }
                BodyPart::End => {
                    self.forward_pending().await?;
                    return Ok(());
                }
                BodyPart::Incomplete => {
                    self.forward_pending().await?;
                    let is_at_end = self.read_more(connection, &decoder).await?;
                    if is_at_end {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Keeps the buffered events short. Once the client receives the stream, a long event is passed on as it
    /// arrives; a long first event is buffered in reserved memory, since a worker that never ends it must not
    /// have begun the stream.
    async fn limit_buffered(&mut self) -> Result<(), StreamError> {
        if self.events.buffered_bytes() + self.pending.len() <= UNRESERVED_EVENT_BYTES {
            return Ok(());
        }
        self.forward_pending().await?;
        if self.events.buffered_bytes() <= UNRESERVED_EVENT_BYTES {
            return Ok(());
        }
        if let Some(client) = &self.client {
            let waiting_since = Instant::now();
            client.send_events(&self.events.take_start()).await?;
            if self.events.is_part_taken() {
                self.record_progress();
            } else {
                // The time that the client takes is not the worker's.
                self.next_progress_by = self.next_progress_by.map(|at| at + waiting_since.elapsed());
            }
        } else if self.reservation.is_none() {
            let pool = &self.shared.memory.worker_buffers.pool;
            self.reservation = Some(pool.reserve(FIRST_EVENT_BYTES).await);
        }
        Ok(())
    }

    /// Reads more of the body. Returns `true` if the connection ended and the body with it.
    async fn read_more(
        &self,
        connection: &mut WorkerConnection,
        decoder: &BodyDecoder,
    ) -> Result<bool, StreamError> {
        let reading = connection.socket.read();
        let result = match self.next_progress_by {
            Some(next_progress_by) => timeout_at(next_progress_by, reading).await,
            None => Ok(reading.await),
        };
        match result {
            Ok(Ok(length)) if length > 0 => Ok(false),
            Ok(Ok(_)) if decoder.ends_with_connection() => Ok(true),
            Ok(_) => Err(StreamError::Failed(AttemptStatus::Reset)),
            Err(_) => Err(StreamError::Failed(AttemptStatus::Timeout)),
        }
    }

    /// Forwards the pending events. If the client's queue is full, this waits, which applies back pressure to
    /// the worker instead of losing events. The worker's time for its next event starts after that.
    async fn forward_pending(&mut self) -> Result<(), StreamError> {
        if self.pending.is_empty() {
            return Ok(());
        }
        if self.client.is_none() {
            self.client = Some(self.request_client().await?);
        }
        let Some(client) = &self.client else { return Err(StreamError::Abandoned) };
        client.send_events(&self.pending).await?;
        self.pending = BytesMut::new();
        self.reservation = None;
        self.record_progress();
        Ok(())
    }

    /// Records that the client got an event, or a part of a long one.
    fn record_progress(&mut self) {
        self.next_progress_by = Some(Instant::now() + PROGRESS_TIMEOUT);
        self.trace.record_event();
    }

    /// Asks the owner for the channel to the client.
    async fn request_client(&self) -> Result<StreamSender, StreamError> {
        let (reply, client) = oneshot::channel();
        let at = self.shared.clock.now();
        self.shared.notify_owner(self.attempt.update(at, AttemptEvent::FirstToken(reply)));
        client.await.map_err(|_| StreamError::Abandoned)
    }

    /// Ends the stream after its body. The stream is complete if its final event arrived.
    async fn finish(self, connection: WorkerConnection, response: ResponseHead) -> ExchangeEnd {
        let is_complete = self.events.is_complete();
        let Some(client) = self.client.filter(|_| is_complete) else {
            return ExchangeEnd::failed(AttemptStatus::Unknown);
        };
        if client.send_end().await.is_err() {
            return ExchangeEnd::ABANDONED;
        }
        ExchangeEnd {
            event: Some(AttemptEvent::Ended(AttemptStatus::Ok.into())),
            finished: Some(FinishedConnection { connection, response }),
        }
    }
}

#[cfg(test)]
#[path = "stream_tests.rs"]
mod tests;
