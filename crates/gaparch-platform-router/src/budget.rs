//! Descriptors are one budget, split once.

use std::sync::Arc;
use tokio::sync::Semaphore;

/// Held back for standard streams, the poller, listeners, signals, the catalogue, peers, and one accepted connection
/// that waits for its place.
const RESERVE: usize = 24;

/// Places for sockets.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    pub clients: Arc<Semaphore>,
    pub workers: Arc<Semaphore>,
    pub most_clients: usize,
    pub most_workers: usize,
}

impl Budget {
    /// An open request has one client and one worker: half each.
    pub fn of(sockets: usize) -> Budget {
        let rest = sockets.saturating_sub(RESERVE).max(2);
        let (clients, workers) = (rest / 2, rest - rest / 2);
        Budget {
            clients: Arc::new(Semaphore::new(clients)),
            workers: Arc::new(Semaphore::new(workers)),
            most_clients: clients,
            most_workers: workers,
        }
    }
}
