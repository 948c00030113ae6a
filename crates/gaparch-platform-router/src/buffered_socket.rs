//! A TCP connection with a buffer for bytes that were read but not yet decoded.

use crate::transient_errors::{is_interrupted, lacks_memory, would_block, RETRY_DELAY};
use bytes::{BufMut, Bytes, BytesMut};
use gaparch_platform_protocol::body::{BodyDecoder, BodyError, BodyPart, Framing};
use gaparch_platform_protocol::head::{decode_response, HeadError, ResponseHead};
use gaparch_platform_protocol::worker::MAX_INTERIM_RESPONSES;
use std::io;
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::coop;
use tokio::time::sleep;

/// Minimum free buffer space for one read, in bytes.
const READ_SIZE: usize = 8 * 1024;
/// An empty buffer that a large message made grow beyond this capacity is freed.
const MAX_IDLE_CAPACITY: usize = 32 * 1024;

/// A connection with its read buffer.
#[derive(Debug)]
pub(crate) struct BufferedSocket {
    pub stream: TcpStream,
    pub buffer: BytesMut,
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

impl BufferedSocket {
    pub fn new(stream: TcpStream) -> BufferedSocket {
        // Messages are small and alternate between the sides: Nagle's algorithm would only add latency.
        let _ = stream.set_nodelay(true);
        BufferedSocket { stream, buffer: BytesMut::new() }
    }

    /// Reads more bytes into the buffer and returns their number, or 0 at the end of the connection.
    /// Cancel-safe.
    ///
    /// # Errors
    /// Returns an error if the connection is broken. Interrupted calls and lack of memory are retried.
    pub async fn read(&mut self) -> io::Result<usize> {
        loop {
            // A connection that always has data must not starve other tasks.
            coop::consume_budget().await;
            self.stream.readable().await?;
            self.buffer.reserve(READ_SIZE);
            // A short read does not mean that nothing is left; only `WouldBlock` does.
            match self.stream.try_read_buf(&mut self.buffer) {
                Err(error) if would_block(&error) => {}
                Err(error) if is_interrupted(&error) => {}
                Err(error) if lacks_memory(&error) => sleep(RETRY_DELAY).await,
                result => return result,
            }
        }
    }

    /// Reads bytes past the buffer into `target`, which grows to at most `max_length` bytes. Returns their number,
    /// or 0 at the end of the connection. Cancel-safe.
    ///
    /// # Errors
    /// As for [`BufferedSocket::read`].
    pub async fn read_into(&self, target: &mut BytesMut, max_length: usize) -> io::Result<usize> {
        loop {
            coop::consume_budget().await;
            self.stream.readable().await?;
            let missing = max_length.saturating_sub(target.len());
            match self.stream.try_read_buf(&mut target.limit(missing)) {
                Err(error) if would_block(&error) || is_interrupted(&error) => {}
                Err(error) if lacks_memory(&error) => sleep(RETRY_DELAY).await,
                result => return result,
            }
        }
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

    /// Reads a complete body of at most `max_length` bytes.
    ///
    /// # Errors
    /// Returns an error if the body is longer or malformed, or the connection ends before it is complete.
    pub async fn read_body(&mut self, framing: Framing, max_length: usize) -> Result<Bytes, BodyReadError> {
        if matches!(framing, Framing::Length(length) if length > max_length as u64) {
            return Err(BodyReadError::TooLong);
        }
        let mut decoder = BodyDecoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            match decoder.decode(&mut self.buffer)? {
                BodyPart::Data(data) if body.len() + data.len() > max_length => {
                    return Err(BodyReadError::TooLong);
                }
                BodyPart::Data(data) => body.extend_from_slice(&data),
                BodyPart::End => return Ok(body.freeze()),
                BodyPart::Incomplete if self.read_more().await => {}
                BodyPart::Incomplete if decoder.ends_with_connection() => return Ok(body.freeze()),
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

    /// Frees the buffer if it is empty and large.
    pub fn shrink_buffer(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE_CAPACITY {
            self.buffer = BytesMut::new();
        }
    }
}

#[cfg(test)]
#[path = "buffered_socket_tests.rs"]
mod tests;
