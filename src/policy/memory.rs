//! How the memory of a router in service is divided, and what happens when a part of it is used up.
//!
//! Half of the limit is for the endpoint list, a fixed part for the process and its tasks; the rest
//! holds the bytes of messages. Each kind of buffer has a part of its own, so that clients that send
//! large bodies or do not read can't take the memory that others need.
//!
//! Whatever has no memory waits, and its bytes stay in the kernel. What waits too long is rejected:
//! nothing of it was forwarded, so a retry is harmless. While others wait, a message that arrives too
//! slowly to be complete in time gives its memory back.

use crate::api::Nanos;

/// Share of the limit that is not for the endpoint list.
const SHARE_BESIDE_LIST: f64 = 0.5;
/// Bytes of the process at rest, of the tasks and of the buffers that every connection may have.
const FIXED_BYTES: usize = 8 * 1024 * 1024;
/// Least share of the limit for messages, however small the limit is.
const MIN_MESSAGE_SHARE: f64 = 0.125;

/// Shares of the bytes for messages. Their sum is 1.
const HEADS_SHARE: f64 = 1.0 / 16.0;
const AHEAD_SHARE: f64 = 2.0 / 16.0;
const BODIES_SHARE: f64 = 7.0 / 16.0;
const STREAMS_SHARE: f64 = 4.0 / 16.0;
const WORKER_SHARE: f64 = 2.0 / 16.0;

/// Parts of a stream's memory: the queue, the copy that is being written, which may have grown to twice
/// its length, and the events that wait for room in the queue.
const STREAM_PARTS: usize = 4;
/// Least and greatest number of bytes queued for one client.
const MIN_STREAM_QUEUE: usize = 1024;
const MAX_STREAM_QUEUE: usize = 64 * 1024;

/// While others wait, how often the progress of an incomplete message is checked.
pub const PROGRESS_INTERVAL: Nanos = 250_000_000;
/// Bytes that have to arrive in that time, or the rest of the message if it is shorter. A quarter of the
/// rate at which the largest body arrives just in time.
pub const MIN_PROGRESS: usize = 8 * 1024;

/// The bytes that a router may hold, by kind of buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShares {
    /// Heads of clients that are longer than usual.
    pub heads: usize,
    /// Bytes that clients send ahead of a response.
    pub ahead: usize,
    /// Request bodies, from their first byte until no attempt needs them any more.
    pub bodies: usize,
    /// Events queued for one client.
    pub stream_queue: usize,
    /// Long heads and long events of workers.
    pub worker_buffers: usize,
}

impl MemoryShares {
    /// Divides a limit of this many bytes among at most `max_clients` client connections.
    pub fn new(limit: usize, max_clients: usize) -> MemoryShares {
        let beside_list = share(limit, SHARE_BESIDE_LIST);
        let messages = beside_list.saturating_sub(FIXED_BYTES).max(share(limit, MIN_MESSAGE_SHARE));
        let stream_queue = share(messages, STREAMS_SHARE) / max_clients.max(1) / STREAM_PARTS;
        MemoryShares {
            heads: share(messages, HEADS_SHARE),
            ahead: share(messages, AHEAD_SHARE),
            bodies: share(messages, BODIES_SHARE),
            stream_queue: stream_queue.clamp(MIN_STREAM_QUEUE, MAX_STREAM_QUEUE),
            worker_buffers: share(messages, WORKER_SHARE),
        }
    }
}

fn share(bytes: usize, share: f64) -> usize {
    (bytes as f64 * share) as usize
}

/// Whether an incomplete message may keep its memory while others wait for some. `arrived` bytes of it
/// came in the last [`PROGRESS_INTERVAL`], and `missing` bytes were still missing before.
pub fn may_keep_memory(others_wait: bool, arrived: usize, missing: usize) -> bool {
    !others_wait || arrived >= MIN_PROGRESS.min(missing)
}
