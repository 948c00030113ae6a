//! Reads frames from a socket and writes them to it.

use bytes::BytesMut;
use gaparch_protocol::frame::{encode, Frame};
use gaparch_protocol::{FrameDecoder, FrameError};
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Buffer capacity reserved for one read, in bytes.
const READ_CAPACITY: usize = 16 * 1024;
/// Maximum number of frames written with one call.
const MAX_BATCH_FRAMES: usize = 128;
/// A write buffer with a larger capacity than this, in bytes, is freed after a write.
const MAX_RETAINED_BUFFER_BYTES: usize = 256 * 1024;

/// Why no more frames can be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The peer closed the connection.
    #[error("closed by the peer")]
    Closed,
    /// Reading from the socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The received bytes are not a valid frame.
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
    /// Creates a reader that accepts frames of at most `max_frame_bytes` bytes.
    pub fn new(socket: R, max_frame_bytes: usize) -> Self {
        FrameReader { socket, decoder: FrameDecoder::new(max_frame_bytes) }
    }

    /// Waits until at least one frame is complete, and appends all complete frames to `frames`.
    ///
    /// # Errors
    /// When the connection has ended or a frame is invalid. Frames decoded before the error are in `frames`.
    pub async fn read<F: Frame>(&mut self, frames: &mut Vec<F>) -> Result<(), ReadError> {
        let initial_len = frames.len();
        loop {
            while let Some(frame) = self.decoder.next_frame()? {
                frames.push(frame);
            }
            if frames.len() > initial_len {
                return Ok(());
            }
            let buffer = self.decoder.buffer();
            buffer.reserve(READ_CAPACITY);
            if self.socket.read_buf(buffer).await? == 0 {
                return Err(ReadError::Closed);
            }
        }
    }

    /// Waits for one frame, for a handshake that precedes [`read`](Self::read); later frames stay buffered.
    ///
    /// # Errors
    /// When the connection has ended or the frame is invalid.
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

/// Writes the frames from a channel to a socket until the channel is closed, then shuts the socket down.
/// Frames that are queued in the channel are written in batches.
///
/// # Errors
/// When the socket reports an error, or the write of a batch takes longer than `write_timeout`.
pub async fn write_frames<F: Frame, W: AsyncWrite + Unpin>(
    socket: &mut W,
    frames: &mut mpsc::Receiver<F>,
    write_timeout: Duration,
) -> io::Result<()> {
    let mut batch = Vec::with_capacity(MAX_BATCH_FRAMES);
    let mut bytes = BytesMut::new();
    while frames.recv_many(&mut batch, MAX_BATCH_FRAMES).await > 0 {
        batch.drain(..).for_each(|frame| encode(&frame, &mut bytes));
        timeout(write_timeout, socket.write_all(&bytes)).await.map_err(|_| io::ErrorKind::TimedOut)??;
        bytes.clear();
        if bytes.capacity() > MAX_RETAINED_BUFFER_BYTES {
            bytes = BytesMut::new();
        }
    }
    socket.shutdown().await
}
