//! Frames in and out of a socket.

use bytes::BytesMut;
use gaparch_protocol::frame::{encode, Frame};
use gaparch_protocol::{FrameDecoder, FrameError};
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Bytes reserved for one read.
const READ_CAPACITY: usize = 16 * 1024;
/// Frames written with one call.
const BATCH: usize = 128;
/// A write buffer larger than this, in bytes, is freed after use.
const MAX_KEPT_BUFFER: usize = 256 * 1024;

/// Why no more frames come.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The peer closed the connection.
    #[error("closed by the peer")]
    Closed,
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The bytes are no frames.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// Reads frames from one socket.
#[derive(Debug)]
pub struct FrameReader<R> {
    socket: R,
    decoder: FrameDecoder,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// A reader of frames of at most `max` bytes.
    pub fn new(socket: R, max: usize) -> Self {
        FrameReader { socket, decoder: FrameDecoder::new(max) }
    }

    /// Waits for bytes and appends all the frames that are whole then; at least one.
    ///
    /// # Errors
    /// When the connection ended or its bytes make no sense. Frames before the error are in `frames`.
    pub async fn read<F: Frame>(&mut self, frames: &mut Vec<F>) -> Result<(), ReadError> {
        let before = frames.len();
        loop {
            while let Some(frame) = self.decoder.next_frame()? {
                frames.push(frame);
            }
            if frames.len() > before {
                return Ok(());
            }
            let buffer = self.decoder.buffer();
            buffer.reserve(READ_CAPACITY);
            if self.socket.read_buf(buffer).await? == 0 {
                return Err(ReadError::Closed);
            }
        }
    }

    /// Waits for one frame. Only before [`read`](Self::read) is used: it leaves the others for later.
    ///
    /// # Errors
    /// As for [`read`](Self::read).
    pub async fn read_one<F: Frame>(&mut self) -> Result<F, ReadError> {
        loop {
            if let Some(frame) = self.decoder.next_frame()? {
                return Ok(frame);
            }
            let buffer = self.decoder.buffer();
            buffer.reserve(READ_CAPACITY);
            if self.socket.read_buf(buffer).await? == 0 {
                return Err(ReadError::Closed);
            }
        }
    }
}

/// Writes what comes through a channel until it is closed, as many frames with one call as there are.
///
/// # Errors
/// What the socket said, or that it took no bytes for as long as `within`.
pub async fn write_frames<F: Frame, W: AsyncWrite + Unpin>(
    socket: &mut W,
    frames: &mut mpsc::Receiver<F>,
    within: Duration,
) -> io::Result<()> {
    let mut waiting = Vec::with_capacity(BATCH);
    let mut bytes = BytesMut::new();
    while frames.recv_many(&mut waiting, BATCH).await > 0 {
        waiting.drain(..).for_each(|frame| encode(&frame, &mut bytes));
        timeout(within, socket.write_all(&bytes)).await.map_err(|_| io::ErrorKind::TimedOut)??;
        bytes.clear();
        if bytes.capacity() > MAX_KEPT_BUFFER {
            bytes = BytesMut::new();
        }
    }
    socket.shutdown().await
}
