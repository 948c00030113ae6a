//! The queue of stream parts from a worker exchange to a client connection, bounded in number and in bytes.

use bytes::Bytes;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{self, error::TryRecvError};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that a queued part needs beside its events.
const PART_OVERHEAD: usize = 64;

/// Part of a stream from a worker to a client.
#[derive(Debug)]
pub(crate) enum StreamPart {
    /// Bytes of one or more events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// A queued part with its room in the queue.
#[derive(Debug)]
struct QueuedPart {
    part: StreamPart,
    queued_at: Instant,
    _room: OwnedSemaphorePermit,
}

/// A part that was received.
#[derive(Debug)]
pub(crate) struct ReceivedPart {
    pub part: StreamPart,
    /// How long it was in the queue.
    pub queued: Duration,
}

impl From<QueuedPart> for ReceivedPart {
    fn from(queued: QueuedPart) -> ReceivedPart {
        ReceivedPart { part: queued.part, queued: queued.queued_at.elapsed() }
    }
}

/// The client no longer receives the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientGone;

/// The sending end, at the exchange.
#[derive(Debug)]
pub(crate) struct StreamSender {
    parts: mpsc::Sender<QueuedPart>,
    /// One permit for each byte.
    room: Arc<Semaphore>,
    /// Maximum number of bytes of one part. Half of the queue, so that the next part is queued while one is
    /// written.
    max_piece: usize,
}

/// The receiving end, at the client connection.
#[derive(Debug)]
pub(crate) struct StreamReceiver(mpsc::Receiver<QueuedPart>);

/// Creates a queue of at most `max_parts` parts and `max_bytes` bytes.
pub(crate) fn stream_queue(max_parts: usize, max_bytes: usize) -> (StreamSender, StreamReceiver) {
    let (parts, receiver) = mpsc::channel(max_parts);
    let max_bytes = max_bytes.clamp(4 * PART_OVERHEAD, u32::MAX as usize);
    let max_piece = max_bytes / 2 - PART_OVERHEAD;
    let sender = StreamSender { parts, room: Arc::new(Semaphore::new(max_bytes)), max_piece };
    (sender, StreamReceiver(receiver))
}

impl StreamSender {
    /// Queues events, and waits while the queue is full. Long events are sent in pieces.
    ///
    /// # Errors
    /// Returns an error if the client no longer receives the stream.
    pub async fn send_events(&self, events: &[u8]) -> Result<(), ClientGone> {
        for piece in events.chunks(self.max_piece) {
            let room = self.wait_for_room(piece.len() + PART_OVERHEAD).await?;
            // A copy of its own: a slice would keep all the memory that it is a part of.
            self.send(StreamPart::Events(Bytes::copy_from_slice(piece)), room).await?;
        }
        Ok(())
    }

    /// Queues the end of the stream.
    ///
    /// # Errors
    /// Returns an error if the client no longer receives the stream.
    pub async fn send_end(&self) -> Result<(), ClientGone> {
        let room = self.wait_for_room(PART_OVERHEAD).await?;
        self.send(StreamPart::End, room).await
    }

    async fn wait_for_room(&self, bytes: usize) -> Result<OwnedSemaphorePermit, ClientGone> {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        Arc::clone(&self.room).acquire_many_owned(bytes).await.map_err(|_| ClientGone)
    }

    async fn send(&self, part: StreamPart, room: OwnedSemaphorePermit) -> Result<(), ClientGone> {
        let queued = QueuedPart { part, queued_at: Instant::now(), _room: room };
        self.parts.send(queued).await.map_err(|_| ClientGone)
    }
}

impl StreamReceiver {
    /// Receives the next part; `None` if the stream broke off.
    pub async fn recv(&mut self) -> Option<ReceivedPart> {
        self.0.recv().await.map(ReceivedPart::from)
    }

    /// Receives a part that is queued already.
    ///
    /// # Errors
    /// Returns an error if the queue is empty, or the stream broke off.
    pub fn try_recv(&mut self) -> Result<ReceivedPart, TryRecvError> {
        self.0.try_recv().map(ReceivedPart::from)
    }
}

#[cfg(test)]
#[path = "stream_queue_tests.rs"]
mod tests;
