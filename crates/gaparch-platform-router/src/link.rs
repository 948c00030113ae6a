//! A socket with what has been read from it and not yet understood.

use crate::transient::{is_interrupted, lacks_memory, would_block, PAUSE};
use bytes::{Bytes, BytesMut};
use gaparch_platform_protocol::body::{Body, BodyError, Framing, Part};
use gaparch_platform_protocol::head::{take_answer, AnswerHead, HeadError};
use gaparch_platform_protocol::worker::MOST_INTERIM;
use std::io;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::coop;
use tokio::time::sleep;

/// Read at once.
const READ: usize = 8 * 1024;
/// A buffer that has grown beyond this for one large message is given back after it.
const KEPT: usize = 32 * 1024;

#[derive(Debug)]
pub(crate) struct Link {
    pub stream: TcpStream,
    pub buf: BytesMut,
}

/// Why there is no answer's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum NoAnswer {
    #[error("the connection ended")]
    Ended,
    /// Noise, or a head without end.
    #[error(transparent)]
    Unreadable(#[from] HeadError),
    #[error("more than {MOST_INTERIM} interim answers")]
    Interim,
}

/// Why there is no whole body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum NoBody {
    #[error("the connection ended")]
    Ended,
    #[error("too long")]
    TooLong,
    #[error(transparent)]
    Unreadable(#[from] BodyError),
}

impl Link {
    pub fn new(stream: TcpStream) -> Link {
        // Small messages back and forth: waiting to fill a packet would only add time.
        let _ = stream.set_nodelay(true);
        Link { stream, buf: BytesMut::new() }
    }

    /// Reads more; 0 at the end. Nothing is lost where this is dropped.
    ///
    /// # Errors
    /// When the connection is broken: a call that was interrupted, or short of memory, is made again.
    pub async fn read(&mut self) -> io::Result<usize> {
        loop {
            // Many messages at hand must not keep other tasks waiting.
            coop::consume_budget().await;
            self.stream.readable().await?;
            self.buf.reserve(READ);
            // A read that brings less than there was room for does not say that nothing is left: only one that would
            // block does.
            match self.stream.try_read_buf(&mut self.buf) {
                Err(error) if would_block(&error) => {}
                Err(error) if is_interrupted(&error) => {}
                Err(error) if lacks_memory(&error) => sleep(PAUSE).await,
                done => return done,
            }
        }
    }

    /// Reads more; whether there was any.
    pub async fn more(&mut self) -> bool {
        matches!(self.read().await, Ok(n) if n > 0)
    }

    /// What has come by now and was not yet noticed, as [`Link::read`] tells it; `None`: nothing.
    pub async fn at_hand(&mut self) -> Option<io::Result<usize>> {
        // Until the poller has been asked once more, bytes that have arrived are not known of.
        tokio::task::yield_now().await;
        tokio::select! {
            biased;
            read = self.read() => Some(read),
            () = std::future::ready(()) => None,
        }
    }

    /// The next answer's head that is no interim one.
    pub async fn answer(&mut self) -> Result<AnswerHead, NoAnswer> {
        let mut interim = 0;
        loop {
            match take_answer(&mut self.buf)? {
                Some(head) if !head.is_interim() => return Ok(head),
                Some(_) if interim == MOST_INTERIM => return Err(NoAnswer::Interim),
                Some(_) => interim += 1,
                None if self.more().await => {}
                None => return Err(NoAnswer::Ended),
            }
        }
    }

    /// A whole body of at most so many bytes.
    pub async fn body(&mut self, framing: Framing, most: usize) -> Result<Bytes, NoBody> {
        if matches!(framing, Framing::Length(n) if n > most as u64) {
            return Err(NoBody::TooLong);
        }
        let mut body = Body::new(framing);
        let mut whole = BytesMut::new();
        loop {
            match body.next(&mut self.buf)? {
                Part::Data(data) if whole.len() + data.len() > most => return Err(NoBody::TooLong),
                Part::Data(data) => whole.extend_from_slice(&data),
                Part::End => return Ok(whole.freeze()),
                Part::Wait if self.more().await => {}
                Part::Wait if body.ends_with_connection() => return Ok(whole.freeze()),
                Part::Wait => return Err(NoBody::Ended),
            }
        }
    }

    /// Nothing has come and the other side has not closed, as far as this machine knows.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let nothing = self.stream.try_read(&mut byte);
        self.buf.is_empty() && nothing.is_err_and(|error| would_block(&error))
    }

    /// Gives a large empty buffer back.
    pub fn trim(&mut self) {
        if self.buf.is_empty() && self.buf.capacity() > KEPT {
            self.buf = BytesMut::new();
        }
    }
}

#[cfg(test)]
#[path = "link_tests.rs"]
mod tests;
