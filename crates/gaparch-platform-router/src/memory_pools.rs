//! The memory for messages, divided by kind of buffer.

use crate::buffered_socket::BufferMemory;
use gaparch_router::memory::MemoryPool;
use gaparch_scheduler::policy::memory::MemoryShares;
use std::sync::Arc;

/// Capacity of a client's read buffer without reservation: enough for the usual head.
const CLIENT_BUFFER_BYTES: usize = 2 * 1024;
/// Capacity of a worker's read buffer without reservation: enough for the usual events.
const WORKER_BUFFER_BYTES: usize = 4 * 1024;
/// Capacity of the read buffer for endpoint lists, of which there is only one.
const DISCOVERY_BUFFER_BYTES: usize = 16 * 1024;

/// The memory pools of a router.
#[derive(Debug)]
pub(crate) struct MemoryPools {
    /// For long heads of clients.
    pub client_buffers: BufferMemory,
    /// For bytes that clients send ahead of a response.
    pub ahead: Arc<MemoryPool>,
    /// For request bodies.
    pub bodies: Arc<MemoryPool>,
    /// Maximum number of bytes queued for one client's stream.
    pub stream_queue_bytes: usize,
    /// For long heads and long events of workers.
    pub worker_buffers: BufferMemory,
    /// For the connection to the discovery service.
    pub discovery_buffer: BufferMemory,
}

impl MemoryPools {
    /// Divides a memory limit in bytes among the buffers of at most `max_clients` client connections and of
    /// the connections to workers.
    pub fn new(limit: usize, max_clients: usize) -> MemoryPools {
        let shares = MemoryShares::new(limit, max_clients);
        let buffers = |unreserved, bytes| BufferMemory { unreserved, pool: MemoryPool::new(bytes) };
        MemoryPools {
            client_buffers: buffers(CLIENT_BUFFER_BYTES, shares.heads),
            ahead: MemoryPool::new(shares.ahead),
            bodies: MemoryPool::new(shares.bodies),
            stream_queue_bytes: shares.stream_queue,
            worker_buffers: buffers(WORKER_BUFFER_BYTES, shares.worker_buffers),
            discovery_buffer: buffers(DISCOVERY_BUFFER_BYTES, DISCOVERY_BUFFER_BYTES),
        }
    }
}
