//! Reads the body of a client's request. A long body is read only once memory is reserved for it; until then
//! its bytes stay in the kernel.

use super::connection::{Connection, ConnectionEnd, Rejection};
use crate::buffered_socket::BodyReadError;
use crate::forwarded_request::with_reservation;
use bytes::{Buf, Bytes, BytesMut};
use gaparch_platform_protocol::body::{BodyDecoder, BodyPart, Framing, MAX_BODY_BYTES};
use gaparch_platform_protocol::client_request::ClientRequestError;
use gaparch_router::memory::ProgressCheck;
use gaparch_router::memory::Reservation;
use std::sync::Arc;
use tokio::time::{timeout_at, Instant};

/// Bodies up to this many bytes need no reservation: every client connection may hold that much.
const MAX_UNRESERVED_BODY: usize = 2 * 1024;

/// A body that arrives, with the memory reserved for all of it.
struct ArrivingBody {
    bytes: BytesMut,
    /// `None` while the body is short.
    reservation: Option<Reservation>,
}

impl ArrivingBody {
    /// Returns the complete body, and gives back memory that it did not need.
    fn complete(self) -> Bytes {
        let ArrivingBody { bytes, reservation } = self;
        let is_exact = bytes.len() == bytes.capacity();
        let bytes = if is_exact { bytes.freeze() } else { Bytes::copy_from_slice(&bytes) };
        match reservation {
            Some(mut reservation) => {
                reservation.shrink_to(bytes.len());
                with_reservation(bytes, reservation)
            }
            None => bytes,
        }
    }
}

/// The time limits of a body.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyDeadlines {
    /// When it has to be complete.
    pub complete: Instant,
    /// When it is rejected if it still waits for memory.
    pub memory: Instant,
}

impl Connection {
    /// Reads a body within the time limits.
    pub(super) async fn read_request_body(
        &mut self,
        framing: Framing,
        deadlines: BodyDeadlines,
    ) -> Result<Bytes, ConnectionEnd> {
        let body = match framing {
            Framing::Length(0) => return Err(Rejection::from(ClientRequestError::NoBody).into()),
            Framing::Length(length) if length > MAX_BODY_BYTES as u64 => {
                return Err(Rejection::from(BodyReadError::TooLong).into());
            }
            Framing::Length(length) => self.read_known_length(length as usize, deadlines).await?,
            Framing::Chunked | Framing::UntilClose => self.read_unknown_length(framing, deadlines).await?,
        };
        if body.is_empty() {
            return Err(Rejection::from(ClientRequestError::NoBody).into());
        }
        Ok(body)
    }

    async fn read_known_length(
        &mut self,
        length: usize,
        deadlines: BodyDeadlines,
    ) -> Result<Bytes, ConnectionEnd> {
        let mut waited = false;
        let reservation = match length {
            0..=MAX_UNRESERVED_BODY => None,
            _ => Some(self.reserve_body(length, deadlines.memory, &mut waited).await?),
        };
        let mut body = ArrivingBody { bytes: BytesMut::with_capacity(length), reservation };
        let buffered = self.socket.buffer.len().min(length);
        body.bytes.extend_from_slice(&self.socket.buffer[..buffered]);
        self.socket.buffer.advance(buffered);
        self.socket.shrink_buffer();
        let mut progress = ProgressCheck::new(length - buffered);
        while body.bytes.len() < length {
            let read = tokio::select! {
                biased;
                read = timeout_at(deadlines.complete, self.socket.read_into(&mut body.bytes, length)) => read,
                () = progress.due(), if body.reservation.is_some() => {
                    let missing = length - body.bytes.len();
                    self.check_progress(&mut progress, missing)?;
                    continue;
                }
            };
            match read {
                Ok(Ok(1..)) => {}
                Ok(Ok(0) | Err(_)) => return Err(ConnectionEnd::ClientClosed),
                Err(_) => return Err(body_timeout(waited).into()),
            }
        }
        Ok(body.complete())
    }

    async fn read_unknown_length(
        &mut self,
        framing: Framing,
        deadlines: BodyDeadlines,
    ) -> Result<Bytes, ConnectionEnd> {
        let mut waited = false;
        let mut decoder = BodyDecoder::new(framing);
        let mut body = ArrivingBody { bytes: BytesMut::new(), reservation: None };
        let mut progress = ProgressCheck::new(MAX_BODY_BYTES);
        loop {
            match decoder
                .decode(&mut self.socket.buffer)
                .map_err(|error| Rejection::from(BodyReadError::from(error)))?
            {
                BodyPart::Data(data) => {
                    let length = body.bytes.len() + data.len();
                    if length > MAX_BODY_BYTES {
                        return Err(Rejection::from(BodyReadError::TooLong).into());
                    }
                    if length > MAX_UNRESERVED_BODY && body.reservation.is_none() {
                        body.reservation =
                            Some(self.reserve_body(MAX_BODY_BYTES, deadlines.memory, &mut waited).await?);
                        // Growing step by step would copy the body again and again, and need more than it has.
                        body.bytes.reserve(MAX_BODY_BYTES - body.bytes.len());
                        progress = ProgressCheck::new(MAX_BODY_BYTES - body.bytes.len());
                    }
                    body.bytes.extend_from_slice(&data);
                    continue;
                }
                BodyPart::End => return Ok(body.complete()),
                BodyPart::Incomplete => {}
            }
            let read = tokio::select! {
                biased;
                read = timeout_at(deadlines.complete, self.socket.read()) => read,
                () = progress.due(), if body.reservation.is_some() => {
                    self.check_progress(&mut progress, MAX_BODY_BYTES - body.bytes.len())?;
                    continue;
                }
            };
            match read {
                Ok(Ok(1..)) => {}
                Ok(Ok(0)) if decoder.ends_with_connection() => return Ok(body.complete()),
                Ok(Ok(0) | Err(_)) => return Err(ConnectionEnd::ClientClosed),
                Err(_) => return Err(body_timeout(waited).into()),
            }
        }
    }

    /// Rejects the request if it holds memory that others wait for, and arrives too slowly.
    fn check_progress(&self, progress: &mut ProgressCheck, missing: usize) -> Result<(), ConnectionEnd> {
        if progress.may_continue(&self.shared.memory.bodies, missing) {
            Ok(())
        } else {
            Err(Rejection::no_memory().into())
        }
    }

    /// Reserves memory for a body, and waits for it until `deadline` while the client stays connected. Records
    /// whether it had to wait.
    async fn reserve_body(
        &self,
        length: usize,
        deadline: Instant,
        waited: &mut bool,
    ) -> Result<Reservation, ConnectionEnd> {
        let pool = Arc::clone(&self.shared.memory.bodies);
        if let Some(reservation) = pool.try_reserve(length) {
            return Ok(reservation);
        }
        *waited = true;
        tokio::select! {
            biased;
            () = self.socket.closed() => Err(ConnectionEnd::ClientClosed),
            reserved = timeout_at(deadline, pool.reserve(length)) => {
                reserved.map_err(|_| Rejection::no_memory().into())
            }
        }
    }
}

/// Returns the response to a body that is not complete in time. If it had to wait for memory, the client is not
/// to blame.
fn body_timeout(waited_for_memory: bool) -> Rejection {
    if waited_for_memory {
        Rejection::no_memory()
    } else {
        Rejection::request_timeout()
    }
}
