//! One attempt at a worker: writes the request and notifies the owner of the result. Nothing is retried here.

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

/// Maximum length of a response body without events; it contains only a few numbers.
const MAX_SHORT_BODY_BYTES: usize = 16 * 1024;

/// An attempt at a worker.
pub(crate) struct Attempt {
    pub request: RequestId,
    pub number: AttemptNumber,
    pub process: WorkerProcess,
    pub stage: Stage,
    /// Whether the attempt depends on resources held for its request, such as a KV cache to fetch.
    pub send_risk: SendRisk,
    /// When the client stops waiting for the first token.
    pub deadline_at: Nanos,
    pub forwarded: Arc<ForwardedRequest>,
    /// The task of the previous attempt. Its connection must be closed before this request is written.
    pub previous: Option<JoinHandle<()>>,
    /// Closes when the last release for the request is finished; a release still running would also free what
    /// this attempt prefills.
    pub release_done: Option<oneshot::Receiver<()>>,
    /// Timeout for writing the request on an established connection.
    pub write_timeout: Duration,
    /// Deadline for writing the last byte, including the time for connecting.
    pub write_by: Nanos,
    /// Timeout of one release attempt, and of a short body whose head already states the outcome.
    pub release_timeout: Duration,
    /// Becomes `true` when the last byte is written.
    pub written: watch::Sender<bool>,
}

impl Attempt {
    /// Returns the message that notifies the owner of an event.
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

/// A connection whose response was read completely.
struct FinishedConnection {
    connection: WorkerConnection,
    response: ResponseHead,
}

/// How an exchange ended.
struct ExchangeEnd {
    /// The event to notify the owner of; `None` if the request was given up meanwhile.
    event: Option<AttemptEvent>,
    /// The connection, if it may be reused. Otherwise it is closed.
    finished: Option<FinishedConnection>,
}

impl ExchangeEnd {
    /// The request was given up meanwhile: the connection is closed, and the outcome is not reported.
    const ABANDONED: ExchangeEnd = ExchangeEnd { event: None, finished: None };

    fn failed(status: AttemptStatus) -> ExchangeEnd {
        ExchangeEnd { event: Some(AttemptEvent::Ended(status.into())), finished: None }
    }
}

/// Makes an attempt. Dropping the future closes its connection.
pub(crate) async fn exchange(mut attempt: Attempt, pool: Arc<ConnectionPool>, shared: Arc<SharedState>) {
    if let Some(previous) = attempt.previous.take() {
        // The previous attempt was aborted; once its task has ended, its connection is closed.
        let _ = previous.await;
    }
    if let Some(release_done) = attempt.release_done.take() {
        // A worker that does not answer the release must not delay the attempt for long.
        let _ = timeout(attempt.release_timeout, release_done).await;
    }
    let mut trace = Trace::new(&attempt, shared.clock);
    let end = run(&attempt, &pool, &shared, &mut trace).await;
    let at = shared.clock.now();
    trace.log_end(end.event.as_ref());
    if let Some(FinishedConnection { connection, response }) = end.finished {
        pool.put(connection, &response, LastExchange::Attempt(attempt.send_risk));
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
        // The connection ended after the request was written, so the request may have run.
        Err(ResponseError::ConnectionEnded) => {
            pool.record_break(&connection);
            return ExchangeEnd::failed(AttemptStatus::Reset);
        }
        // The worker sent something other than a response: the request has run.
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
            // The head alone states that the prompt is prefilled. If the body breaks off, only the number of
            // cached tokens is lost.
            let body = read_short_body(connection, response, attempt.release_timeout).await;
            let cached_prompt_tokens = cached_prompt_tokens(&body.bytes);
            let event = AttemptEvent::Prefilled { cached_prompt_tokens };
            ExchangeEnd { event: Some(event), finished: body.finished }
        }
        ResponseMeaning::EventStream => forward_stream(attempt, shared, trace, connection, response).await,
    }
}

/// Waits for a connection to the worker, at most until the request has to be written.
async fn connect(
    attempt: &Attempt,
    pool: &ConnectionPool,
    shared: &SharedState,
) -> Result<WorkerConnection, AttemptStatus> {
    let remaining = Duration::from_nanos(attempt.write_by.saturating_sub(shared.clock.now()));
    let connecting = pool.get_for(attempt.process, attempt.send_risk);
    let connection = match timeout(remaining, connecting).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(failure)) => return Err(failure.status()),
        Err(_) => return Err(AttemptStatus::Expired),
    };
    // Yield so that the poller runs and notices a client's close or an endpoint list that has already
    // arrived.
    tokio::task::yield_now().await;
    Ok(connection)
}

/// Checks whether an attempt may still be sent once its connection is established. Since the scheduler's
/// decision the client may have disconnected, the deadline may have passed, or a list that the owner has not
/// handled yet may have drained or removed the worker.
fn may_send(attempt: &Attempt, shared: &SharedState) -> Result<(), Denial> {
    send_guards::may_send(&SendFacts {
        now: shared.clock.now(),
        deadline_at: attempt.deadline_at,
        send_by: attempt.write_by,
        answered: attempt.forwarded.is_answered() && !attempt.forwarded.is_client_disconnected(),
        // The previous attempt has ended by now.
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

/// Writes the request. It has not run before its last byte is written. A worker that does not read it must
/// not receive the rest after the time limit of a drain or a retry.
async fn write_request(
    attempt: &Attempt,
    shared: &SharedState,
    connection: &mut WorkerConnection,
) -> Result<(), AttemptStatus> {
    let ForwardedRequest { target, transaction, .. } = &*attempt.forwarded;
    let Some(body) = attempt.forwarded.body() else { return Err(Denial::Answered.status()) };
    let now = shared.clock.now();
    let host = attempt.process.address.to_string();
    let head = encode_request_head(target, transaction, &host, remaining_ms(attempt, now), body.len());
    let mut message = head.chain(body);
    let until_write_by = Duration::from_nanos(attempt.write_by.saturating_sub(now));
    let write_timeout = attempt.write_timeout.min(until_write_by);
    match timeout(write_timeout, write_all(&connection.socket.stream, &mut message)).await {
        Ok(Ok(())) => Ok(()),
        _ if shared.clock.now() >= attempt.write_by => Err(AttemptStatus::Expired),
        _ => Err(AttemptStatus::ConnectFailed),
    }
}

/// Returns the time that the client has left now, not at the time of the scheduler's decision; at least 1 ms.
fn remaining_ms(attempt: &Attempt, now: Nanos) -> u32 {
    let remaining = Duration::from_nanos(attempt.deadline_at.saturating_sub(now));
    u32::try_from(remaining.as_millis().max(1)).unwrap_or(u32::MAX)
}

/// The body of a response without events.
struct ShortBody {
    /// Empty if the body could not be read.
    bytes: Bytes,
    finished: Option<FinishedConnection>,
}

/// Reads a body without events. A body that never ends must not delay the outcome stated by the head: a KV
/// cache is held only for a limited time, and the client is waiting.
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
