//! A TCP connection with the bytes that have been read from it and not yet decoded.

use crate::transient_errors::{is_interrupted, lacks_memory, would_block, RETRY_DELAY};
use bytes::{Bytes, BytesMut};
use gaparch_platform_protocol::body::{BodyDecoder, BodyError, BodyPart, Framing};
use gaparch_platform_protocol::head::{decode_response, HeadError, ResponseHead};
use gaparch_platform_protocol::worker::MAX_INTERIM_RESPONSES;
use std::io;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::coop;
use tokio::time::sleep;

/// Bytes of space for one read.
const READ_SIZE: usize = 8 * 1024;
/// An empty buffer that has grown beyond this for one large message is freed after it.
const MAX_IDLE_CAPACITY: usize = 32 * 1024;

/// A connection with its read buffer.
#[derive(Debug)]
pub(crate) struct BufferedSocket {
    pub stream: TcpStream,
    pub buffer: BytesMut,
}

/// Why the head of a response could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ResponseError {
    #[error("the connection ended before the response")]
    ConnectionEnded,
    #[error(transparent)]
    Head(#[from] HeadError),
    #[error("more than {MAX_INTERIM_RESPONSES} interim responses")]
    TooManyInterim,
}

/// Why a body could not be read. The text of some is sent to clients.
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
        // Small messages back and forth: waiting to fill a packet would only add latency.
        let _ = stream.set_nodelay(true);
        BufferedSocket { stream, buffer: BytesMut::new() }
    }

    /// Reads more bytes into the buffer and returns how many; 0 at the end of the connection. Nothing is lost where the
    /// future is dropped.
    ///
    /// # Errors
    /// When the connection is broken. A call that was interrupted, or lacked memory, is retried.
    pub async fn read(&mut self) -> io::Result<usize> {
        loop {
            // Many messages in the buffer must not keep other tasks waiting.
            coop::consume_budget().await;
            self.stream.readable().await?;
            self.buffer.reserve(READ_SIZE);
            // A read that fills less than its space does not say that nothing is left: only one that would block does.
            match self.stream.try_read_buf(&mut self.buffer) {
                Err(error) if would_block(&error) => {}
                Err(error) if is_interrupted(&error) => {}
                Err(error) if lacks_memory(&error) => sleep(RETRY_DELAY).await,
                result => return result,
            }
        }
    }

    /// Reads more bytes; `false` where there are none, since the connection has ended or is broken.
    pub async fn read_more(&mut self) -> bool {
        matches!(self.read().await, Ok(length) if length > 0)
    }

    /// Reads what has arrived by now, with the result of [`BufferedSocket::read`]; `None` where nothing has.
    pub async fn read_available(&mut self) -> Option<io::Result<usize>> {
        // Bytes that have arrived are not noticed before the poller runs once more.
        tokio::task::yield_now().await;
        tokio::select! {
            biased;
            result = self.read() => Some(result),
            () = std::future::ready(()) => None,
        }
    }

    /// Reads the head of the next response that is not an interim one.
    ///
    /// # Errors
    /// When the connection ends before it, or what comes is no head.
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
    /// When the body is longer or malformed, or the connection ends before it is complete.
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

    /// Whether nothing has come and the other side has not closed, as far as this machine knows.
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
