//! One client connection, which serves one request at a time, each with exactly one response.

use super::idle_connections::{IdleConnections, IdleGuard};
use super::request::REJECTED_TEXT;
use super::MAX_BYTES_AHEAD;
use crate::buffered_socket::{AheadRead, BodyReadError, BufferedSocket};
use crate::close_reason::CloseReason;
use crate::shared_state::{Phase, SharedState};
use crate::transient_errors::write_all;
use crate::used_transactions::IdConflict;
use gaparch_platform_protocol::client_request::{remaining_of_incomplete_head, ClientRequestError};
use gaparch_platform_protocol::head::{
    decode_request, encode_response, HeadError, RequestHead, MAX_HEAD_BYTES,
};
use gaparch_router::memory::ProgressCheck;
use gaparch_scheduler::policy::intake_wait::longest_wait;
use gaparch_scheduler::policy::shutdown_intake::ConnectionHistory;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout, Instant};

/// Timeout of a request from its first byte, and of the first byte of the first request from the start of
/// the connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the complete first request from the start of the connection. The platform requires an error
/// response or a close within 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2700);
/// Timeout of a write to a client. A client that has not read its response by then counts as disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long bytes are still read after the last response, since closing over unread bytes resets the
/// connection and the client may lose the response. Shorter than the wait for a free permit
/// ([`super::PERMIT_TIMEOUT`]).
const LINGER_TIMEOUT: Duration = Duration::from_millis(150);
/// The same for a request that got no memory: all of its body may still be unread, as may those of many others.
const UNREAD_BODY_LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read during that time.
const MAX_LINGER_BYTES: usize = MAX_BYTES_AHEAD;
/// A client that sends more than this ahead of its response, beyond the bytes kept, counts as disconnected,
/// since it apparently does not read.
const MAX_DROPPED_BYTES: usize = 4 * 1024 * 1024;

/// A client connection, served by the task that owns this.
pub(super) struct Connection {
    pub(super) socket: BufferedSocket,
    pub(super) shared: Arc<SharedState>,
    idle: Arc<IdleConnections>,
    connected_at: Instant,
    /// Number of bytes ahead of a response that were dropped. If there are any, the start of the next message
    /// is lost.
    dropped_bytes: usize,
    /// Number of messages whose heads were read.
    messages: u64,
    /// The reason to count if the client closes the connection now.
    pub(super) reason_if_client_closes: CloseReason,
    /// The reason to count if the connection closes after a response.
    pub(super) reason_after_response: CloseReason,
}

/// A request head that was received.
pub(super) struct ArrivedHead {
    pub head: RequestHead,
    /// When the first byte of the request arrived.
    pub arrived_at: Instant,
    /// When the request has to be complete.
    pub deadline: Instant,
}

/// What happens to the connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterResponse {
    KeepAlive,
    Close,
}

impl AfterResponse {
    pub fn new(close: bool) -> AfterResponse {
        if close {
            AfterResponse::Close
        } else {
            AfterResponse::KeepAlive
        }
    }
}

/// Why a connection ends without a response from the owner.
pub(super) enum ConnectionEnd {
    /// The client closed the connection or stopped reading.
    ClientClosed,
    /// The router closes the connection, which has no open request.
    CloseRequested,
    /// A message from the client is rejected.
    Rejected(Rejection),
}

impl From<Rejection> for ConnectionEnd {
    fn from(rejection: Rejection) -> ConnectionEnd {
        ConnectionEnd::Rejected(rejection)
    }
}

/// The response to a message that is rejected.
pub(super) struct Rejection {
    pub status: u16,
    pub text: String,
    /// How long bytes are still read after the response.
    pub linger_timeout: Duration,
}

impl Rejection {
    fn new(status: u16, text: String) -> Rejection {
        Rejection { status, text, linger_timeout: LINGER_TIMEOUT }
    }

    /// Returns the response to a request that is not complete in time.
    pub fn request_timeout() -> Rejection {
        Rejection::new(408, "the request did not come in time".to_owned())
    }

    /// Returns the response to a request that got no memory in time. Nothing of it was forwarded, so a retry is
    /// harmless.
    pub fn no_memory() -> Rejection {
        Rejection {
            linger_timeout: UNREAD_BODY_LINGER_TIMEOUT,
            ..Rejection::new(503, REJECTED_TEXT.to_owned())
        }
    }
}

impl From<IdConflict> for Rejection {
    fn from(conflict: IdConflict) -> Rejection {
        Rejection::new(409, conflict.to_string())
    }
}

impl From<HeadError> for Rejection {
    fn from(error: HeadError) -> Rejection {
        let status = if error == HeadError::TooLong { 431 } else { 400 };
        Rejection::new(status, error.to_string())
    }
}

impl From<BodyReadError> for Rejection {
    fn from(error: BodyReadError) -> Rejection {
        let status = if error == BodyReadError::TooLong { 413 } else { 400 };
        Rejection::new(status, error.to_string())
    }
}

impl From<ClientRequestError> for Rejection {
    fn from(error: ClientRequestError) -> Rejection {
        Rejection::new(error.status(), error.to_string())
    }
}

impl Connection {
    pub fn new(socket: TcpStream, shared: Arc<SharedState>, idle: Arc<IdleConnections>) -> Connection {
        Connection {
            socket: BufferedSocket::new(socket, shared.memory.client_buffers.clone()),
            shared,
            idle,
            connected_at: Instant::now(),
            dropped_bytes: 0,
            messages: 0,
            reason_if_client_closes: CloseReason::ClientIdle,
            reason_after_response: CloseReason::ResponseComplete,
        }
    }

    /// Serves requests until the connection ends.
    pub async fn serve(mut self) {
        let mut is_first = true;
        let end = loop {
            self.reason_if_client_closes = CloseReason::ClientIdle;
            match self.serve_next(is_first).await {
                Ok(AfterResponse::KeepAlive) if self.idle.take_busy_close() => {
                    self.count_close(CloseReason::BusyClosed);
                    return self.close(LINGER_TIMEOUT).await;
                }
                Ok(AfterResponse::KeepAlive) if self.dropped_bytes == 0 => {
                    self.socket.shrink_buffer();
                    self.socket.end_turn().await;
                }
                Ok(AfterResponse::KeepAlive) if self.has_request_ahead() => {
                    break Rejection::no_memory().into();
                }
                Ok(_) => {
                    self.count_close(self.reason_after_response);
                    return self.close(LINGER_TIMEOUT).await;
                }
                Err(end) => break end,
            }
            is_first = false;
        };
        match end {
            ConnectionEnd::ClientClosed => self.count_close(self.reason_if_client_closes),
            ConnectionEnd::CloseRequested => {
                self.count_close(CloseReason::IdleClosed);
                // An unused connection has no response in transit, so it needs no lingering close and frees
                // its permit immediately.
                if !is_first {
                    self.close(LINGER_TIMEOUT).await;
                }
            }
            ConnectionEnd::Rejected(rejection) => {
                self.count_close(CloseReason::BadMessage);
                self.reject(&rejection).await;
            }
        }
    }

    fn count_close(&self, reason: CloseReason) {
        self.shared.closes.count(reason, self.messages);
    }

    /// Whether the bytes sent ahead begin with the head of a request. It can't be served if the rest was dropped.
    fn has_request_ahead(&mut self) -> bool {
        matches!(decode_request(&mut self.socket.buffer), Ok(Some(_)))
    }

    async fn serve_next(&mut self, is_first: bool) -> Result<AfterResponse, ConnectionEnd> {
        let arrived = self.read_head(is_first).await?;
        self.messages += 1;
        self.shared.client_statistics.record_messages(self.messages);
        self.serve_request(arrived).await
    }

    /// Waits for a request head. The connection counts as idle until the first byte arrives.
    async fn read_head(&mut self, is_first: bool) -> Result<ArrivedHead, ConnectionEnd> {
        let mut arrived_at = (!self.socket.buffer.is_empty()).then(Instant::now);
        let history = if is_first { ConnectionHistory::Unused } else { ConnectionHistory::CarriedRequests };
        let mut idle_guard = arrived_at.is_none().then(|| self.idle.enter(history));
        let mut phase = self.shared.phase.subscribe();
        let mut progress = ProgressCheck::new(MAX_HEAD_BYTES);
        loop {
            if let Some(head) = decode_request(&mut self.socket.buffer).map_err(Rejection::from)? {
                let arrived_at = arrived_at.unwrap_or_else(Instant::now);
                return Ok(ArrivedHead {
                    head,
                    arrived_at,
                    deadline: self.request_deadline(is_first, arrived_at),
                });
            }
            let is_idle = arrived_at.is_none();
            let timeout_at = match arrived_at {
                Some(arrived_at) => Some(self.head_deadline(is_first, arrived_at)),
                None => is_first.then(|| self.connected_at + REQUEST_TIMEOUT),
            };
            let read = tokio::select! {
                biased;
                read = self.socket.read() => Some(read),
                () = sleep_until_or_forever(timeout_at) => {
                    if !is_idle {
                        return Err(self.head_timeout().into());
                    }
                    None
                }
                () = progress.due(), if self.socket.holds_reservation() => {
                    let missing = MAX_HEAD_BYTES.saturating_sub(self.socket.buffer.len());
                    if !progress.may_continue(&self.shared.memory.client_buffers.pool, missing) {
                        return Err(Rejection::no_memory().into());
                    }
                    continue;
                }
                () = close_requested(idle_guard.as_ref()), if is_idle => None,
                _ = phase.wait_for(|phase| *phase == Phase::Closing), if is_idle => None,
            };
            let read = match read {
                Some(read) => read,
                // A request may have arrived at the same time.
                None => self.socket.read_available().await.ok_or(ConnectionEnd::CloseRequested)?,
            };
            match read {
                Ok(0) | Err(_) => return Err(ConnectionEnd::ClientClosed),
                Ok(_) => {
                    arrived_at = arrived_at.or_else(|| Some(Instant::now()));
                    idle_guard = None;
                }
            }
        }
    }

    /// Returns the response to a head that is not complete in time. If it waits for memory, the client is not to
    /// blame.
    fn head_timeout(&self) -> Rejection {
        if self.socket.lacks_memory() {
            Rejection::no_memory()
        } else {
            Rejection::request_timeout()
        }
    }

    /// Returns when the head of a request whose first byte arrived at `arrived_at` has to be complete. A head
    /// that waits for memory is rejected while its client waits for an answer.
    fn head_deadline(&mut self, is_first: bool, arrived_at: Instant) -> Instant {
        let deadline = self.request_deadline(is_first, arrived_at);
        if self.socket.try_make_space() {
            return deadline;
        }
        let remaining = remaining_of_incomplete_head(&self.socket.buffer);
        deadline.min(arrived_at + Duration::from_nanos(longest_wait(remaining)))
    }

    /// Returns when a request whose first byte arrived at `arrived_at` has to be complete.
    fn request_deadline(&self, is_first: bool, arrived_at: Instant) -> Instant {
        let deadline = arrived_at + REQUEST_TIMEOUT;
        if is_first {
            deadline.min(self.connected_at + FIRST_REQUEST_TIMEOUT)
        } else {
            deadline
        }
    }

    /// Waits for a future while the client stays connected. Bytes that the client sends meanwhile are always
    /// read, even if there is no space to keep them, since otherwise the end of the connection would go
    /// unnoticed behind them.
    pub(super) async fn while_connected<T>(
        &mut self,
        future: impl Future<Output = T>,
    ) -> Result<T, ConnectionEnd> {
        tokio::pin!(future);
        loop {
            tokio::select! {
                biased;
                output = &mut future => return Ok(output),
                read = self.socket.read_ahead(&self.shared.memory.ahead, MAX_BYTES_AHEAD, self.dropped_bytes == 0) => {
                    match read {
                        Ok(AheadRead::Kept(1..)) => {}
                        Ok(AheadRead::Dropped(length @ 1..)) if self.dropped_bytes <= MAX_DROPPED_BYTES => {
                            self.dropped_bytes += length;
                        }
                        Ok(AheadRead::Kept(_) | AheadRead::Dropped(_)) | Err(_) => {
                            return Err(ConnectionEnd::ClientClosed);
                        }
                    }
                }
            }
        }
    }

    /// Writes a response or part of one. `close` says whether the connection closes after the response.
    pub(super) async fn write(&mut self, bytes: &[u8], close: bool) -> Result<AfterResponse, ConnectionEnd> {
        match timeout(WRITE_TIMEOUT, write_all(&self.socket.stream, &mut &bytes[..])).await {
            Ok(Ok(())) => Ok(AfterResponse::new(close)),
            Ok(Err(_)) | Err(_) => Err(ConnectionEnd::ClientClosed),
        }
    }

    /// Responds to a rejected message and closes the connection, since the start of the next message may be
    /// unknown.
    async fn reject(mut self, rejection: &Rejection) {
        self.shared.client_statistics.count_rejected_message(rejection.status);
        tracing::debug!(status = rejection.status, reason = %rejection.text, "client message rejected");
        let response = encode_response(rejection.status, &[], &rejection.text, true);
        if self.write(&response, true).await.is_ok() {
            self.close(rejection.linger_timeout).await;
        }
    }

    /// Closes the sending side and keeps reading for a while, so that the client receives the last response
    /// and a clean end instead of a reset.
    async fn close(mut self, linger_timeout: Duration) {
        if self.socket.stream.shutdown().await.is_err() {
            return;
        }
        let mut drained = 0;
        let drain = async {
            while drained < MAX_LINGER_BYTES {
                match self.socket.read_and_drop().await {
                    Ok(length) if length > 0 => drained += length,
                    Ok(_) | Err(_) => return,
                }
            }
        };
        let _ = timeout(linger_timeout, drain).await;
    }
}

async fn sleep_until_or_forever(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

async fn close_requested(guard: Option<&IdleGuard>) {
    match guard {
        Some(guard) => guard.close_requested().await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
#[path = "connection_tests.rs"]
mod tests;
