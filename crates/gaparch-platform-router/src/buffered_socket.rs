//! A TCP connection with a buffer for bytes that were read but not yet decoded.
//!
//! The buffer has a few KiB without reservation, and none while it is empty. A longer one is reserved in a
//! memory pool.

use crate::transient_errors::{is_interrupted, lacks_memory, would_block, RETRY_DELAY};
use bytes::{BufMut, Bytes, BytesMut};
use gaparch_platform_protocol::body::{BodyDecoder, BodyError, BodyPart, Framing};
use gaparch_platform_protocol::head::{decode_response, HeadError, ResponseHead, MAX_HEAD_BYTES};
use gaparch_platform_protocol::worker::MAX_INTERIM_RESPONSES;
use gaparch_router::memory::{MemoryPool, Reservation};
use gaparch_scheduler::policy::turns::Turn;
use std::io;
use std::sync::Arc;
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Capacity of a buffer with a reservation, in bytes: enough for the longest head.
const RESERVED_CAPACITY: usize = 2 * MAX_HEAD_BYTES;
/// Minimum free space of a buffer for a read, in bytes.
const MIN_READ_SIZE: usize = 512;
/// Number of bytes that are read at once to be dropped.
const DROP_SIZE: usize = 16 * 1024;

/// A connection with its read buffer.
#[derive(Debug)]
pub(crate) struct BufferedSocket {
    pub stream: TcpStream,
    pub buffer: BytesMut,
    memory: BufferMemory,
    /// The memory of the buffer while it is long.
    reservation: Option<Reservation>,
    turn: Turn,
}

/// How much memory a buffer may have.
#[derive(Clone, Debug)]
pub(crate) struct BufferMemory {
    /// Capacity without reservation, in bytes.
    pub unreserved: usize,
    /// Where more is reserved.
    pub pool: Arc<MemoryPool>,
}

/// What became of bytes that were read ahead of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AheadRead {
    /// They are in the buffer.
    Kept(usize),
    /// There was no memory to keep them.
    Dropped(usize),
}

/// Why a response head could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ResponseError {
    #[error("the connection closed before the response")]
    ConnectionEnded,
    #[error(transparent)]
    Head(#[from] HeadError),
    #[error("more than {MAX_INTERIM_RESPONSES} interim responses")]
    TooManyInterim,
}

/// Why a body could not be read. Some of these texts are sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum BodyReadError {
    #[error("the connection ended")]
    ConnectionEnded,
    #[error("too long")]
    TooLong,
    #[error(transparent)]
    Malformed(#[from] BodyError),
}

impl AheadRead {
    /// Returns the number of bytes that were read.
    fn length(self) -> usize {
        match self {
            AheadRead::Kept(length) | AheadRead::Dropped(length) => length,
        }
    }
}

impl BufferedSocket {
    pub fn new(stream: TcpStream, memory: BufferMemory) -> BufferedSocket {
        // Messages are small and alternate between the sides: Nagle's algorithm would only add latency.
        let _ = stream.set_nodelay(true);
        BufferedSocket { stream, buffer: BytesMut::new(), memory, reservation: None, turn: Turn::default() }
    }

    /// Reads more bytes into the buffer and returns their number, or 0 at the end of the connection. Waits
    /// until there is memory for a long buffer. Cancel-safe.
    ///
    /// # Errors
    /// Returns an error if the connection is broken. Interrupted calls and lack of memory are retried.
    pub async fn read(&mut self) -> io::Result<usize> {
        loop {
            self.yield_if_turn_is_over().await;
            self.shrink_buffer();
            self.stream.readable().await?;
            self.make_space().await;
            // A short read does not mean that nothing is left; only `WouldBlock` does.
            match self.stream.try_read_buf(&mut self.buffer) {
                Err(error) if would_block(&error) => {}
                Err(error) if is_interrupted(&error) => {}
                Err(error) if lacks_memory(&error) => sleep(RETRY_DELAY).await,
                result => {
                    self.turn.record_read(*result.as_ref().unwrap_or(&0));
                    return result;
                }
            }
        }
    }

    /// Reads bytes past the buffer into `target`, which grows to at most `max_length` bytes. Returns their number,
    /// or 0 at the end of the connection. Cancel-safe.
    ///
    /// # Errors
    /// As for [`BufferedSocket::read`].
    pub async fn read_into(&mut self, target: &mut BytesMut, max_length: usize) -> io::Result<usize> {
        loop {
            self.yield_if_turn_is_over().await;
            self.stream.readable().await?;
            let missing = max_length.saturating_sub(target.len());
            match self.stream.try_read_buf(&mut target.limit(missing)) {
                Err(error) if would_block(&error) || is_interrupted(&error) => {}
                Err(error) if lacks_memory(&error) => sleep(RETRY_DELAY).await,
                result => {
                    self.turn.record_read(*result.as_ref().unwrap_or(&0));
                    return result;
                }
            }
        }
    }

    /// Lets the other tasks run if enough was done for this connection, and ends its turn. A connection that always has
    /// data must not keep them from running.
    async fn yield_if_turn_is_over(&mut self) {
        if self.turn.take_over() {
            tokio::task::yield_now().await;
        }
    }

    /// Ends the turn of this connection after a message was answered, and lets the other tasks run. More messages may
    /// be in the buffer.
    pub async fn end_turn(&mut self) {
        self.turn.record_answer();
        self.yield_if_turn_is_over().await;
    }

    /// Waits until the peer has closed the connection or its sending side, without reading what it sent before.
    pub async fn closed(&self) {
        // An error means that the connection is of no further use either.
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// Reads more bytes; returns `false` if the connection has ended or is broken.
    pub async fn read_more(&mut self) -> bool {
        matches!(self.read().await, Ok(length) if length > 0)
    }

    /// Reads bytes that have already arrived, with the result of [`BufferedSocket::read`]; `None` if there
    /// are none.
    pub async fn read_available(&mut self) -> Option<io::Result<usize>> {
        // Yield so that the poller runs and notices bytes that have already arrived.
        tokio::task::yield_now().await;
        tokio::select! {
            biased;
            result = self.read() => Some(result),
            () = std::future::ready(()) => None,
        }
    }

    /// Reads the head of the next final response, skipping interim ones.
    ///
    /// # Errors
    /// Returns an error if the connection ends before the head, the head is malformed, or there are too many
    /// interim responses.
    pub async fn read_response_head(&mut self) -> Result<ResponseHead, ResponseError> {
        let mut interim_responses = 0;
        loop {
            match decode_response(&mut self.buffer)? {
                Some(head) if !head.is_interim() => return Ok(head),
                Some(_) if interim_responses == MAX_INTERIM_RESPONSES => {
                    return Err(ResponseError::TooManyInterim);
                }
                Some(_) => interim_responses += 1,
                None if self.read_more().await => {}
                None => return Err(ResponseError::ConnectionEnded),
            }
        }
    }

    /// Reads to the end of a body of at most `max_length` bytes without keeping it.
    ///
    /// # Errors
    /// Returns an error if the body is longer or malformed, or the connection ends before it is complete.
    pub async fn skip_body(&mut self, framing: Framing, max_length: usize) -> Result<(), BodyReadError> {
        let mut decoder = BodyDecoder::new(framing);
        let mut length = 0;
        while let Some(data) = self.next_body_part(&mut decoder).await? {
            length += data.len();
            if length > max_length {
                return Err(BodyReadError::TooLong);
            }
        }
        Ok(())
    }

    /// Reads a complete body of at most `max_length` bytes. A body that is longer than a buffer without
    /// reservation waits for memory.
    ///
    /// # Errors
    /// Returns an error if the body is longer or malformed, or the connection ends before it is complete.
    pub async fn read_body(&mut self, framing: Framing, max_length: usize) -> Result<Bytes, BodyReadError> {
        if matches!(framing, Framing::Length(length) if length > max_length as u64) {
            return Err(BodyReadError::TooLong);
        }
        let mut decoder = BodyDecoder::new(framing);
        let mut body = BytesMut::new();
        let mut reservation = None;
        while let Some(data) = self.next_body_part(&mut decoder).await? {
            let length = body.len() + data.len();
            if length > max_length {
                return Err(BodyReadError::TooLong);
            }
            if length > self.memory.unreserved && reservation.is_none() {
                // The body grows by doubling.
                reservation = Some(self.memory.pool.reserve(2 * max_length).await);
            }
            body.extend_from_slice(&data);
        }
        Ok(body.freeze())
    }

    /// Reads the next part of a body, or returns `None` at its end.
    async fn next_body_part(&mut self, decoder: &mut BodyDecoder) -> Result<Option<Bytes>, BodyReadError> {
        loop {
            match decoder.decode(&mut self.buffer)? {
                BodyPart::Data(data) => return Ok(Some(data)),
                BodyPart::End => return Ok(None),
                BodyPart::Incomplete if self.read_more().await => {}
                BodyPart::Incomplete if decoder.ends_with_connection() => return Ok(None),
                BodyPart::Incomplete => return Err(BodyReadError::ConnectionEnded),
            }
        }
    }

    /// Whether, as far as this machine knows, no bytes have arrived and the peer has not closed the
    /// connection.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let result = self.stream.try_read(&mut byte);
        self.buffer.is_empty() && result.is_err_and(|error| would_block(&error))
    }

    /// Makes space for a read. Waits for the memory if the buffer is long.
    async fn make_space(&mut self) {
        if !self.try_make_space() {
            self.reservation = Some(self.memory.pool.reserve(RESERVED_CAPACITY).await);
            self.grow_buffer();
        }
    }

    /// Makes space for a read, and reserves the memory if the buffer is long. Returns `false` if the next read
    /// has to wait for that memory.
    pub fn try_make_space(&mut self) -> bool {
        if self.buffer.capacity() - self.buffer.len() >= MIN_READ_SIZE {
            return true;
        }
        if self.lacks_memory() {
            self.reservation = self.memory.pool.try_reserve(RESERVED_CAPACITY);
        }
        let has_memory = !self.lacks_memory();
        if has_memory {
            self.grow_buffer();
        }
        has_memory
    }

    fn grow_buffer(&mut self) {
        let capacity = if self.reservation.is_some() { RESERVED_CAPACITY } else { self.memory.unreserved };
        self.buffer.reserve(capacity.saturating_sub(self.buffer.len()).max(MIN_READ_SIZE));
    }

    /// Whether the buffer needs a reservation for the next read and has none.
    pub fn lacks_memory(&self) -> bool {
        self.reservation.is_none() && self.buffer.len() + MIN_READ_SIZE > self.memory.unreserved
    }

    /// Whether the buffer has reserved memory.
    pub fn holds_reservation(&self) -> bool {
        self.reservation.is_some()
    }

    /// Reads bytes that arrive ahead of a response; 0 bytes mean the end of the connection. They are kept in the
    /// buffer if `may_keep` and `pool` has memory for them, up to `max_length` bytes. Cancel-safe.
    ///
    /// # Errors
    /// As for [`BufferedSocket::read`].
    pub async fn read_ahead(
        &mut self,
        pool: &MemoryPool,
        max_length: usize,
        may_keep: bool,
    ) -> io::Result<AheadRead> {
        loop {
            self.yield_if_turn_is_over().await;
            self.stream.readable().await?;
            let result = if may_keep && self.make_space_ahead(pool, max_length) {
                self.stream.try_read_buf(&mut self.buffer).map(AheadRead::Kept)
            } else {
                self.stream.try_read(&mut [0; DROP_SIZE]).map(AheadRead::Dropped)
            };
            self.turn.record_read(result.as_ref().map_or(0, |read| read.length()));
            match result {
                Err(error) if would_block(&error) || is_interrupted(&error) => self.shrink_buffer(),
                Err(error) if lacks_memory(&error) => sleep(RETRY_DELAY).await,
                result => return result,
            }
        }
    }

    /// Reads bytes and drops them. Returns their number, or 0 at the end of the connection. Cancel-safe.
    ///
    /// # Errors
    /// As for [`BufferedSocket::read`].
    pub async fn read_and_drop(&mut self) -> io::Result<usize> {
        self.buffer = BytesMut::new();
        self.reservation = None;
        let pool = Arc::clone(&self.memory.pool);
        Ok(self.read_ahead(&pool, 0, false).await?.length())
    }

    /// Makes space for a read, if there is memory for it now and the buffer is shorter than `max_length`.
    fn make_space_ahead(&mut self, pool: &MemoryPool, max_length: usize) -> bool {
        let length = self.buffer.len();
        if self.buffer.capacity() - length >= MIN_READ_SIZE {
            return true;
        }
        let capacities = [self.memory.unreserved, RESERVED_CAPACITY, max_length + MIN_READ_SIZE];
        let Some(capacity) = capacities.into_iter().find(|capacity| length + MIN_READ_SIZE <= *capacity)
        else {
            return false;
        };
        if capacity > self.memory.unreserved {
            let Some(reservation) = pool.try_reserve(capacity) else { return false };
            // The buffer is copied to one of the new capacity at once: growing in steps would need more.
            let mut buffer = BytesMut::with_capacity(capacity);
            buffer.extend_from_slice(&self.buffer);
            self.buffer = buffer;
            self.reservation = Some(reservation);
        } else {
            self.buffer.reserve(capacity - length);
        }
        true
    }

    /// Frees memory that the bytes in the buffer do not need.
    pub fn shrink_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            self.reservation = None;
        } else if self.reservation.is_some() && self.buffer.len() + MIN_READ_SIZE <= self.memory.unreserved {
            let mut buffer = BytesMut::with_capacity(self.memory.unreserved);
            buffer.extend_from_slice(&self.buffer);
            self.buffer = buffer;
            self.reservation = None;
        }
    }
}

#[cfg(test)]
#[path = "buffered_socket_tests.rs"]
mod tests;
