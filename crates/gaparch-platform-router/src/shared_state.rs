//! State that the tasks of a router share.

use crate::client::ClientStatistics;
use crate::close_reason::CloseCounts;
use crate::event_loop::EventLoopDelay;
use crate::memory_pools::MemoryPools;
use crate::messages::OwnerMessage;
use crate::ready_workers::ReadyWorkers;
use crate::sync::lock;
use crate::used_transactions::{IdConflict, UsedTransactions};
use gaparch_net::Clock;
use gaparch_platform_protocol::client_request::TransactionId;
use gaparch_platform_protocol::config::RouterConfig;
use gaparch_scheduler::api::RequestId;
use gaparch_scheduler::policy::send_guards::{Denial, Denials};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{mpsc, watch, Semaphore};

/// Capacity that an empty table keeps.
pub(crate) const IDLE_TABLE_CAPACITY: usize = 64;

/// Lifecycle of a router, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The router is not ready: no endpoint list has arrived yet.
    Starting,
    /// Requests are accepted.
    Serving,
    /// Shutdown has begun, but new connections are still accepted.
    Draining,
    /// No new connections are accepted; open requests are being finished.
    Closing,
}

/// State that the tasks of a router share. Its tables are bounded by the number of client connections and the
/// size of the endpoint list.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub config: RouterConfig,
    pub clock: Clock,
    pub phase: watch::Sender<Phase>,
    pub ready_workers: ReadyWorkers,
    /// Slots for requests in the owner's queue. Without this limit, clients that connect and disconnect
    /// faster than the owner handles their requests would exhaust memory.
    pub request_queue: Arc<Semaphore>,
    /// Memory for the bytes of messages.
    pub memory: MemoryPools,
    /// Counts of closed client connections by reason.
    pub closes: CloseCounts,
    /// Counts of what clients send and of how late they were answered.
    pub client_statistics: Arc<ClientStatistics>,
    /// How late the event loop runs tasks.
    pub event_loop_delay: EventLoopDelay,
    owner: mpsc::UnboundedSender<OwnerMessage>,
    next_request_id: AtomicU64,
    transactions: Mutex<UsedTransactions>,
    /// Counts of attempts that were stopped just before their first byte.
    denials: Mutex<Denials>,
}

impl SharedState {
    /// Creates the state of a router with at most `max_clients` client connections, each of which may have a
    /// request that waits for the owner.
    pub fn new(
        config: RouterConfig,
        clock: Clock,
        owner: mpsc::UnboundedSender<OwnerMessage>,
        max_clients: usize,
    ) -> SharedState {
        SharedState {
            memory: MemoryPools::new(config.memory_bytes, max_clients),
            config,
            clock,
            phase: watch::Sender::new(Phase::Starting),
            ready_workers: ReadyWorkers::default(),
            request_queue: Arc::new(Semaphore::new(max_clients)),
            closes: CloseCounts::default(),
            client_statistics: Arc::default(),
            event_loop_delay: EventLoopDelay::default(),
            owner,
            next_request_id: AtomicU64::new(1),
            transactions: Mutex::default(),
            denials: Mutex::default(),
        }
    }

    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Reports that the router is ready. Returns whether it was starting until now: there is no effect once it
    /// is ready or shutdown has begun.
    pub fn start_serving(&self) -> bool {
        self.phase.send_if_modified(|phase| {
            let is_starting = *phase == Phase::Starting;
            if is_starting {
                *phase = Phase::Serving;
            }
            is_starting
        })
    }

    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends a message to the owner; the message is discarded if the owner has ended.
    pub fn notify_owner(&self, message: OwnerMessage) {
        let _ = self.owner.send(message);
    }

    /// Counts an attempt that was stopped just before its first byte.
    pub fn count_denial(&self, denial: Denial) {
        lock(&self.denials).count(denial);
    }

    /// Returns the counts of attempts that were stopped just before their first byte, by reason.
    pub fn denials(&self) -> Denials {
        *lock(&self.denials)
    }

    /// Registers a transaction id until the owner unregisters it.
    ///
    /// # Errors
    /// Returns an error if a request with this id is open, or must not be run again.
    pub fn register_transaction(&self, transaction: &TransactionId) -> Result<(), IdConflict> {
        lock(&self.transactions).register(transaction, self.clock.now())
    }

    /// Frees the transaction id of a request that has no running attempts any more.
    pub fn unregister_transaction(&self, transaction: &TransactionId) {
        lock(&self.transactions).unregister(transaction);
    }

    /// Keeps the id of a request that may have run from being run again.
    pub fn remember_transaction(&self, transaction: &TransactionId) {
        lock(&self.transactions).remember(transaction, self.clock.now());
    }
}
