//! The memory for messages, divided by kind of buffer.

use crate::memory_pool::MemoryPool;
use gaparch_scheduler::policy::memory::MemoryShares;
use std::sync::Arc;

/// The memory pools of a router.
#[derive(Debug)]
pub(crate) struct MemoryPools {
    /// For request bodies.
    pub bodies: Arc<MemoryPool>,
}

impl MemoryPools {
    /// Divides a memory limit in bytes among the buffers of at most `max_clients` client connections and of
    /// the connections to workers.
    pub fn new(limit: usize, max_clients: usize) -> MemoryPools {
        let shares = MemoryShares::new(limit, max_clients);
        MemoryPools { bodies: MemoryPool::new(shares.bodies) }
    }
}
