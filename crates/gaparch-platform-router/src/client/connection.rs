//! One connection of a client: a request at a time, each with exactly one response.

use super::idle_connections::{IdleConnections, IdleGuard};
use super::MAX_BYTES_AHEAD;
use crate::buffered_socket::{BodyReadError, BufferedSocket};
use crate::close_reason::CloseReason;
use crate::shared_state::{Phase, SharedState};
use crate::transient_errors::write_all;
use bytes::BytesMut;
use gaparch_platform_protocol::client_request::ClientRequestError;
use gaparch_platform_protocol::head::{decode_request, encode_response, HeadError, RequestHead};
use gaparch_scheduler::policy::shutdown_intake::ConnectionHistory;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout, Instant};

/// Time-out of a request from its first byte, and of the first byte of a first request from the start of the connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time-out of a complete first request from the start of the connection: the platform wants an error or a close within
/// 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2700);
/// A client that reads none of its response for so long counts as disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long bytes are still read after the last response: closing over unread bytes resets the connection, and the response
/// that is on its way is lost with it. Less than the time in which a permit has to come free ([`super::PERMIT_TIMEOUT`]).
const LINGER_TIMEOUT: Duration = Duration::from_millis(150);
/// Most bytes that are read meanwhile.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// A client that sends so many bytes beyond those kept, ahead of its response, counts as disconnected: it reads nothing.
const MAX_DROPPED_BYTES: usize = 4 * 1024 * 1024;

/// A connection of a client, served by the task that owns this.
pub(super) struct Connection {
    pub(super) socket: BufferedSocket,
    pub(super) shared: Arc<SharedState>,
    idle: Arc<IdleConnections>,
    connected_at: Instant,
    /// Bytes ahead of a response that were not kept: where the next message begins is not known any more.
    dropped_bytes: usize,
    /// What a close by the client counts as at the moment.
    pub(super) reason_if_client_closes: CloseReason,
    /// What the close after the last response counts as.
    pub(super) reason_after_response: CloseReason,
}

/// The head of a request that has arrived.
pub(super) struct ArrivedHead {
    pub head: RequestHead,
    /// When its first byte arrived.
    pub arrived_at: Instant,
    /// When the request has to be complete.
    pub due: Instant,
}

/// What follows a response.
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

/// Why a connection ends without a response of the owner.
pub(super) enum Stop {
    /// The client has closed it, or reads nothing any more.
    ClientClosed,
    /// It was asked to close.
    CloseRequested,
    /// A message of the client is rejected.
    Rejected(Rejection),
}

impl From<Rejection> for Stop {
    fn from(rejection: Rejection) -> Stop {
        Stop::Rejected(rejection)
    }
}

/// The response to a message that is rejected.
pub(super) struct Rejection {
    pub status: u16,
    pub text: String,
}

impl Rejection {
    /// The rejection of a request that is not complete in time.
    pub fn request_timeout() -> Rejection {
        Rejection { status: 408, text: "the request did not come in time".to_owned() }
    }
}

impl From<HeadError> for Rejection {
    fn from(error: HeadError) -> Rejection {
        let status = if error == HeadError::TooLong { 431 } else { 400 };
        Rejection { status, text: error.to_string() }
    }
}

impl From<BodyReadError> for Rejection {
    fn from(error: BodyReadError) -> Rejection {
        let status = if error == BodyReadError::TooLong { 413 } else { 400 };
        Rejection { status, text: error.to_string() }
    }
}

impl From<ClientRequestError> for Rejection {
    fn from(error: ClientRequestError) -> Rejection {
        Rejection { status: error.status(), text: error.to_string() }
    }
}

impl Connection {
    pub fn new(socket: TcpStream, shared: Arc<SharedState>, idle: Arc<IdleConnections>) -> Connection {
        Connection {
            socket: BufferedSocket::new(socket),
            shared,
            idle,
            connected_at: Instant::now(),
            dropped_bytes: 0,
            reason_if_client_closes: CloseReason::ClientIdle,
            reason_after_response: CloseReason::ResponseComplete,
        }
    }

    /// Serves requests until the connection ends.
    pub async fn serve(mut self) {
        let mut is_first = true;
        let stop = loop {
            self.reason_if_client_closes = CloseReason::ClientIdle;
            match self.serve_next(is_first).await {
                Ok(AfterResponse::KeepAlive) if self.dropped_bytes == 0 => self.socket.shrink_buffer(),
                Ok(_) => {
                    self.shared.closes.count(self.reason_after_response);
                    return self.close().await;
                }
                Err(stop) => break stop,
            }
            is_first = false;
        };
        match stop {
            Stop::ClientClosed => self.shared.closes.count(self.reason_if_client_closes),
            Stop::CloseRequested => {
                self.shared.closes.count(CloseReason::IdleClosed);
                // On a connection without a request no response is on its way: its permit is needed now.
                if !is_first {
                    self.close().await;
                }
            }
            Stop::Rejected(rejection) => {
                self.shared.closes.count(CloseReason::BadMessage);
                self.reject(&rejection).await;
            }
        }
    }

    async fn serve_next(&mut self, is_first: bool) -> Result<AfterResponse, Stop> {
        let arrived = self.read_head(is_first).await?;
        self.serve_request(arrived).await
    }

    /// Waits for the head of a request. The connection counts as idle until its first byte.
    async fn read_head(&mut self, is_first: bool) -> Result<ArrivedHead, Stop> {
        let mut arrived_at = (!self.socket.buffer.is_empty()).then(Instant::now);
        let carried = if is_first { ConnectionHistory::Unused } else { ConnectionHistory::CarriedRequests };
        let mut idle_guard = arrived_at.is_none().then(|| self.idle.enter(carried));
        let mut phase = self.shared.phase.subscribe();
        loop {
            if let Some(head) = decode_request(&mut self.socket.buffer).map_err(Rejection::from)? {
                let arrived_at = arrived_at.unwrap_or_else(Instant::now);
                return Ok(ArrivedHead { head, arrived_at, due: self.request_due(is_first, arrived_at) });
            }
            let is_idle = arrived_at.is_none();
            let timeout_at = match arrived_at {
                Some(arrived_at) => Some(self.request_due(is_first, arrived_at)),
                None => is_first.then(|| self.connected_at + REQUEST_TIMEOUT),
            };
            let read = tokio::select! {
                biased;
                read = self.socket.read() => Some(read),
                () = sleep_until_some(timeout_at) => {
                    if !is_idle {
                        return Err(Rejection::request_timeout().into());
                    }
                    None
                }
                () = close_requested(idle_guard.as_ref()), if is_idle => None,
                _ = phase.wait_for(|phase| *phase == Phase::Closing), if is_idle => None,
            };
            let read = match read {
                Some(read) => read,
                // A request may have arrived in this very moment.
                None => self.socket.read_available().await.ok_or(Stop::CloseRequested)?,
            };
            match read {
                Ok(0) | Err(_) => return Err(Stop::ClientClosed),
                Ok(_) => {
                    arrived_at = arrived_at.or_else(|| Some(Instant::now()));
                    idle_guard = None;
                }
            }
        }
    }

    /// Returns when a request whose first byte arrived then has to be complete.
    fn request_due(&self, is_first: bool, arrived_at: Instant) -> Instant {
        let due = arrived_at + REQUEST_TIMEOUT;
        if is_first {
            due.min(self.connected_at + FIRST_REQUEST_TIMEOUT)
        } else {
            due
        }
    }

    /// Waits for something while the client stays connected. What it sends meanwhile is read even where there is no space for
    /// it: otherwise the end of the connection would not be noticed behind it.
    pub(super) async fn while_connected<T>(&mut self, future: impl Future<Output = T>) -> Result<T, Stop> {
        tokio::pin!(future);
        loop {
            tokio::select! {
                biased;
                output = &mut future => return Ok(output),
                has_more = self.socket.read_more() => {
                    if !has_more || self.dropped_bytes > MAX_DROPPED_BYTES {
                        return Err(Stop::ClientClosed);
                    }
                }
            }
            self.dropped_bytes += self.socket.buffer.len().saturating_sub(MAX_BYTES_AHEAD);
            self.socket.buffer.truncate(MAX_BYTES_AHEAD);
        }
    }

    /// Writes a response or a part of one. `close` says what follows its end.
    pub(super) async fn write(&mut self, bytes: &[u8], close: bool) -> Result<AfterResponse, Stop> {
        match timeout(WRITE_TIMEOUT, write_all(&self.socket.stream, &mut &bytes[..])).await {
            Ok(Ok(())) => Ok(AfterResponse::new(close)),
            Ok(Err(_)) | Err(_) => Err(Stop::ClientClosed),
        }
    }

    /// Responds to a message that is rejected, and closes: where the next message would begin is not known.
    async fn reject(mut self, rejection: &Rejection) {
        tracing::debug!(status = rejection.status, reason = %rejection.text, "client message rejected");
        let response = encode_response(rejection.status, &[], &rejection.text, true);
        if self.write(&response, true).await.is_ok() {
            self.close().await;
        }
    }

    /// Closes the sending side and reads what still comes, for a while, so that the client gets the last response and its
    /// end instead of a reset.
    async fn close(mut self) {
        if self.socket.stream.shutdown().await.is_err() {
            return;
        }
        self.socket.buffer = BytesMut::new();
        let mut drained = 0;
        let drain = async {
            while drained < MAX_LINGER_BYTES {
                match self.socket.read().await {
                    Ok(length) if length > 0 => drained += length,
                    Ok(_) | Err(_) => return,
                }
                self.socket.buffer.clear();
            }
        };
        let _ = timeout(LINGER_TIMEOUT, drain).await;
    }
}

async fn sleep_until_some(at: Option<Instant>) {
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
