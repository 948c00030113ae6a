//! The file descriptor budget, split once at startup between clients and workers.

use std::sync::Arc;
use tokio::sync::Semaphore;

/// Descriptors set aside for the standard streams, the poller, listeners, signals, discovery, gossip, and one
/// accepted connection that waits for its permit.
const RESERVED_DESCRIPTORS: usize = 24;

/// Permits for sockets: every open socket holds one.
#[derive(Clone, Debug)]
pub(crate) struct DescriptorBudget {
    pub clients: Arc<Semaphore>,
    pub workers: Arc<Semaphore>,
    /// Total number of `clients` permits.
    pub max_clients: usize,
    /// Total number of `workers` permits.
    pub max_workers: usize,
}

impl DescriptorBudget {
    /// Splits the budget in half, since an open request has one client and one worker connection.
    pub fn new(sockets: usize) -> DescriptorBudget {
        let available = sockets.saturating_sub(RESERVED_DESCRIPTORS).max(2);
        let max_clients = available / 2;
        let max_workers = available - max_clients;
        DescriptorBudget {
            clients: Arc::new(Semaphore::new(max_clients)),
            workers: Arc::new(Semaphore::new(max_workers)),
            max_clients,
            max_workers,
        }
    }
}
