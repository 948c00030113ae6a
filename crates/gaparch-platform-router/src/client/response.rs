//! Writes the stream of a worker as the response to a client.

use super::connection::{AfterResponse, Connection, ConnectionEnd};
use super::request::RequestGuard;
use super::response_trace::ResponseTrace;
use crate::close_reason::CloseReason;
use crate::stream_queue::{ReceivedPart, StreamPart, StreamReceiver};
use bytes::BytesMut;
use gaparch_platform_protocol::body::{encode_chunk, LAST_CHUNK};
use gaparch_platform_protocol::head::event_stream_head;
use tokio::sync::mpsc::error::TryRecvError;

/// Stream parts are combined into one write up to about this many bytes.
const WRITE_SIZE: usize = 16 * 1024;
/// Status of a response that streams events.
const STREAM_STATUS: u16 = 200;

/// State of a stream after the last encoded part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamState {
    Continues,
    Complete,
    /// The worker's stream broke off.
    Broken,
}

impl Connection {
    /// Writes a stream as its parts arrive.
    pub(super) async fn write_stream(
        &mut self,
        mut parts: StreamReceiver,
        open: &mut RequestGuard,
        close: bool,
    ) -> Result<AfterResponse, ConnectionEnd> {
        let mut out = BytesMut::from(event_stream_head(close));
        // The last part may exceed this by half of a queue.
        let max_bytes = WRITE_SIZE.min(self.shared.memory.stream_queue_bytes / 2);
        loop {
            let part = self.while_connected(parts.recv()).await?;
            match encode_available(part, &mut parts, &mut out, max_bytes, &mut open.trace) {
                StreamState::Continues => {
                    self.write(&out, close).await?;
                    open.trace.record_write(STREAM_STATUS);
                    // A buffer that is kept for each stream would be more than all the others.
                    out = BytesMut::new();
                }
                StreamState::Complete => {
                    let after = self.write(&out, close).await?;
                    open.trace.record_write(STREAM_STATUS);
                    open.complete();
                    return Ok(after);
                }
                StreamState::Broken => {
                    // Closing the connection without the last chunk tells the client that the stream is
                    // incomplete.
                    open.complete();
                    self.reason_after_response = CloseReason::StreamBroken;
                    return self.write(&out, true).await;
                }
            }
        }
    }
}

/// Encodes a part and those queued behind it, up to about `max_bytes`. `None` means that the stream broke off.
fn encode_available(
    first: Option<ReceivedPart>,
    parts: &mut StreamReceiver,
    out: &mut BytesMut,
    max_bytes: usize,
    trace: &mut ResponseTrace,
) -> StreamState {
    let mut part = first;
    loop {
        let Some(ReceivedPart { part: received, queued }) = part else { return StreamState::Broken };
        trace.record_queued(queued);
        match received {
            StreamPart::Events(events) => encode_chunk(out, &events),
            StreamPart::End => {
                out.extend_from_slice(LAST_CHUNK);
                return StreamState::Complete;
            }
        }
        if out.len() >= max_bytes {
            return StreamState::Continues;
        }
        part = match parts.try_recv() {
            Ok(part) => Some(part),
            Err(TryRecvError::Empty) => return StreamState::Continues,
            Err(TryRecvError::Disconnected) => None,
        };
    }
}
