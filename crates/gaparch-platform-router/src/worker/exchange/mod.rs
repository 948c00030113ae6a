//! One attempt at a worker: its request is written, and the owner is notified of what comes back. Nothing is retried here.

mod stream;
mod trace;

use super::pool::{ConnectionPool, LastExchange, WorkerConnection, WorkerProcess};
use crate::buffered_socket::ResponseError;
use crate::forwarded_request::ForwardedRequest;
use crate::messages::{AttemptEnd, AttemptEvent, AttemptUpdate, OwnerMessage};
use crate::shared_state::SharedState;
use crate::transient_errors::write_all;
use bytes::{Buf, Bytes};
use gaparch_platform_protocol::head::ResponseHead;
use gaparch_platform_protocol::worker::{
    cached_prompt_tokens, encode_request_head, interpret_response, ResponseMeaning, Stage,
};
use gaparch_scheduler::api::{AttemptNumber, AttemptStatus, Nanos, RequestId};
use gaparch_scheduler::policy::connect::SendRisk;
use gaparch_scheduler::policy::send_guards::{self, Denial, SendFacts};
use std::sync::Arc;
use std::time::Duration;
use stream::forward_stream;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use trace::Trace;

/// Most bytes of a response without events: a few numbers.
const MAX_SHORT_BODY_BYTES: usize = 16 * 1024;

/// An attempt of a request at a worker.
pub(crate) struct Attempt {
    pub request: RequestId,
    pub number: AttemptNumber,
    pub process: WorkerProcess,
    pub stage: Stage,
    /// Whether something is reserved or cached for its request that it is to fetch.
    pub carries: SendRisk,
    /// When the client stops waiting for its first token.
    pub deadline_at: Nanos,
    pub forwarded: Arc<ForwardedRequest>,
    /// The task of the attempt before it, whose connection must be closed before this one is written.
    pub previous: Option<JoinHandle<()>>,
    /// Closes with the last release for the request, which would also release what this attempt prefills.
    pub releasing: Option<oneshot::Receiver<()>>,
    /// Time-out of writing the request on a connection that is up.
    pub write_timeout: Duration,
    /// When the last byte has to be written, whatever the connection takes.
    pub write_by: Nanos,
    /// Time-out of one attempt of a release, and of the short body behind a head that states all that matters.
    pub release_timeout: Duration,
    /// Becomes `true` when the last byte is written.
    pub written: watch::Sender<bool>,
}

impl Attempt {
    /// Returns a message to the owner.
    fn update(&self, at: Nanos, event: AttemptEvent) -> OwnerMessage {
        OwnerMessage::Attempt(AttemptUpdate {
            server: self.process.server,
            request: self.request,
            attempt: self.number,
            at,
            event,
        })
    }
}

/// A connection whose response has been read to its end.
struct FinishedConnection {
    connection: WorkerConnection,
    response: ResponseHead,
}

/// How an exchange has ended.
struct ExchangeEnd {
    /// What the owner is notified of; `None` where the request was given up meanwhile.
    event: Option<AttemptEvent>,
    /// The connection, if it may be reused. Any other closes.
    finished: Option<FinishedConnection>,
}

impl ExchangeEnd {
    /// The request was given up meanwhile: its connection closes, and nobody waits for the outcome.
    const ABANDONED: ExchangeEnd = ExchangeEnd { event: None, finished: None };

    fn failed(status: AttemptStatus) -> ExchangeEnd {
        ExchangeEnd { event: Some(AttemptEvent::Ended(status.into())), finished: None }
    }
}

/// Makes an attempt. Where the future is dropped, its connection closes with it.
pub(crate) async fn exchange(mut attempt: Attempt, pool: Arc<ConnectionPool>, shared: Arc<SharedState>) {
    if let Some(previous) = attempt.previous.take() {
        // It was aborted: whatever it ended with, its connection is closed now.
        let _ = previous.await;
    }
    if let Some(releasing) = attempt.releasing.take() {
        // A worker that does not answer the release must not delay the attempt for long.
        let _ = timeout(attempt.release_timeout, releasing).await;
    }
    let mut trace = Trace::new(&attempt, shared.clock);
    let end = run(&attempt, &pool, &shared, &mut trace).await;
    let at = shared.clock.now();
    trace.log_end(end.event.as_ref());
    if let Some(FinishedConnection { connection, response }) = end.finished {
        pool.put(connection, &response, LastExchange::Attempt(attempt.carries));
    }
    if let Some(event) = end.event {
        shared.notify_owner(attempt.update(at, event));
    }
}

async fn run(
    attempt: &Attempt,
    pool: &ConnectionPool,
    shared: &SharedState,
    trace: &mut Trace,
) -> ExchangeEnd {
    let mut connection = match connect(attempt, pool, shared).await {
        Ok(connection) => connection,
        Err(status) => return ExchangeEnd::failed(status),
    };
    if let Err(denial) = may_send(attempt, shared) {
        shared.count_denial(denial);
        log_denial(attempt, denial);
        return ExchangeEnd::failed(denial.status());
    }
    trace.record_connected(connection.idle_time);
    if let Err(status) = write_request(attempt, shared, &mut connection).await {
        return ExchangeEnd::failed(status);
    }
    trace.record_written();
    attempt.written.send_replace(true);
    let response = match connection.socket.read_response_head().await {
        Ok(response) => response,
        // It ended after the last byte was written: the request may have run.
        Err(ResponseError::ConnectionEnded) => {
            pool.record_break(&connection);
            return ExchangeEnd::failed(AttemptStatus::Reset);
        }
        // Something else in place of a response: the request has run.
        Err(ResponseError::Head(_) | ResponseError::TooManyInterim) => {
            return ExchangeEnd::failed(AttemptStatus::Unknown);
        }
    };
    trace.record_first_byte();
    pool.record_response(attempt.process);
    match interpret_response(&response, attempt.stage) {
        ResponseMeaning::Ended { status, kv_cache_missing } => {
            let body = read_short_body(connection, response, attempt.release_timeout).await;
            let event = AttemptEvent::Ended(AttemptEnd { status, kv_cache_missing });
            ExchangeEnd { event: Some(event), finished: body.finished }
        }
        ResponseMeaning::Prefilled => {
            // The head alone says that it is prefilled; a body that breaks off costs only the number of cached tokens.
            let body = read_short_body(connection, response, attempt.release_timeout).await;
            let cached_prompt_tokens = cached_prompt_tokens(&body.bytes);
            let event = AttemptEvent::Prefilled { cached_prompt_tokens };
            ExchangeEnd { event: Some(event), finished: body.finished }
        }
        ResponseMeaning::EventStream => forward_stream(attempt, shared, connection, response).await,
    }
}

/// Waits for a connection to the worker, until the request has to be written.
async fn connect(
    attempt: &Attempt,
    pool: &ConnectionPool,
    shared: &SharedState,
) -> Result<WorkerConnection, AttemptStatus> {
    let remaining = Duration::from_nanos(attempt.write_by.saturating_sub(shared.clock.now()));
    let connecting = pool.get_for(attempt.process, attempt.carries);
    let connection = match timeout(remaining, connecting).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(failure)) => return Err(failure.status()),
        Err(_) => return Err(AttemptStatus::Expired),
    };
    // A close or a change of the endpoint list that has arrived is not noticed before the poller runs once more.
    tokio::task::yield_now().await;
    Ok(connection)
}

/// Checks whether an attempt whose connection is up may still be sent. Since it was decided on, its client may have
/// disconnected, its time may be over, or its worker may be draining or removed by a list that the owner has not seen yet.
fn may_send(attempt: &Attempt, shared: &SharedState) -> Result<(), Denial> {
    send_guards::may_send(&SendFacts {
        now: shared.clock.now(),
        deadline_at: attempt.deadline_at,
        send_by: attempt.write_by,
        // The attempt before it was waited for, and a response cancels what is in flight.
        answered: false,
        attempt_in_flight: false,
        attempts_exhausted: false,
        repeat: None,
        client_disconnected: attempt.forwarded.is_client_disconnected(),
        server_ready: shared.ready_workers.may_receive_requests(attempt.process.server),
    })
}

fn log_denial(attempt: &Attempt, denial: Denial) {
    tracing::debug!(
        target: "gaparch_platform_router::wire",
        request = attempt.request.0,
        txn = attempt.forwarded.transaction.as_str(),
        attempt = attempt.number.0,
        worker = attempt.process.server.0,
        ?denial,
        "attempt not sent"
    );
}

/// Writes the request up to its last byte, before which it has not run. A worker that takes none of it must not get the rest
/// when the time of a drain or of a retry is over.
async fn write_request(
    attempt: &Attempt,
    shared: &SharedState,
    connection: &mut WorkerConnection,
) -> Result<(), AttemptStatus> {
    let ForwardedRequest { target, transaction, body, .. } = &*attempt.forwarded;
    let now = shared.clock.now();
    let host = attempt.process.address.to_string();
    let head = encode_request_head(target, transaction, &host, remaining_ms(attempt, now), body.len());
    let mut message = head.chain(&body[..]);
    let until_write_by = Duration::from_nanos(attempt.write_by.saturating_sub(now));
    let write_timeout = attempt.write_timeout.min(until_write_by);
    match timeout(write_timeout, write_all(&connection.socket.stream, &mut message)).await {
        Ok(Ok(())) => Ok(()),
        _ if shared.clock.now() >= attempt.write_by => Err(AttemptStatus::Expired),
        _ => Err(AttemptStatus::ConnectFailed),
    }
}

/// Returns what is left to the client now, not when the attempt was decided on: at least 1 ms.
fn remaining_ms(attempt: &Attempt, now: Nanos) -> u32 {
    let remaining = Duration::from_nanos(attempt.deadline_at.saturating_sub(now));
    u32::try_from(remaining.as_millis().max(1)).unwrap_or(u32::MAX)
}

/// A body without events.
struct ShortBody {
    /// Empty where it could not be read.
    bytes: Bytes,
    finished: Option<FinishedConnection>,
}

/// Reads a body without events. One that never ends must not delay what the head states: a KV cache is held for a limited time,
/// and the client waits.
async fn read_short_body(
    mut connection: WorkerConnection,
    response: ResponseHead,
    read_timeout: Duration,
) -> ShortBody {
    let reading = connection.socket.read_body(response.framing, MAX_SHORT_BODY_BYTES);
    match timeout(read_timeout, reading).await {
        Ok(Ok(bytes)) => ShortBody { bytes, finished: Some(FinishedConnection { connection, response }) },
        Ok(Err(_)) | Err(_) => ShortBody { bytes: Bytes::new(), finished: None },
    }
}
