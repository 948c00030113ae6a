//! What the tasks of a router share.

use crate::client::{Closes, Piece};
use crate::ready_workers::ReadyWorkers;
use gaparch_net::Clock;
use gaparch_platform_protocol::ask::{Ask, Txn};
use gaparch_platform_protocol::config::NodeConfig;
use gaparch_router::core::ListUpdate;
use gaparch_scheduler::api::{AttemptNumber, AttemptStatus, Nanos, RequestId, ServerId};
use gaparch_scheduler::policy::send_guards::{Denial, Denials};
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{mpsc, oneshot, watch, OwnedSemaphorePermit, Semaphore};

/// How far a router is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// No list yet.
    Starting,
    Serving,
    /// Told to end; new connections may still arrive.
    Leaving,
    /// Nothing new comes: what is open is finished.
    Closing,
}

/// A client's request as it goes to workers, for all attempts.
#[derive(Debug)]
pub(crate) struct Forward {
    pub target: String,
    pub txn: Txn,
    pub body: bytes::Bytes,
    gone: AtomicBool,
}

impl Forward {
    pub fn new(target: String, txn: Txn, body: bytes::Bytes) -> Forward {
        Forward { target, txn, body, gone: AtomicBool::new(false) }
    }

    /// Its client has left.
    pub fn leave(&self) {
        self.gone.store(true, Ordering::Relaxed);
    }

    /// Whether its client has left: nothing more may be sent for it.
    pub fn is_left(&self) -> bool {
        self.gone.load(Ordering::Relaxed)
    }
}

/// The first that a client hears of its request.
#[derive(Debug)]
pub(crate) enum Answer {
    Stream(mpsc::Receiver<Piece>),
    Refused { over_share: bool, retry_after: Nanos },
    Failed,
}

/// What an exchange with a worker tells.
#[derive(Debug)]
pub(crate) enum Seen {
    /// The first event is there; where the stream may go is sent back, if anybody still wants it.
    Begun(oneshot::Sender<mpsc::Sender<Piece>>),
    Read {
        kept: u32,
    },
    Ended {
        status: AttemptStatus,
        note: u64,
    },
    Reserved {
        held: bool,
    },
}

#[derive(Debug)]
pub(crate) enum Message {
    Ask {
        id: RequestId,
        ask: Box<Ask>,
        forward: Arc<Forward>,
        began: Nanos,
        answer: oneshot::Sender<Answer>,
        /// Its place in the owner's queue, free again once it is taken.
        place: OwnedSemaphorePermit,
    },
    Gone(RequestId),
    Worker {
        server: ServerId,
        id: RequestId,
        no: AttemptNumber,
        at: Nanos,
        seen: Seen,
    },
    Probed {
        server: ServerId,
        nonce: u64,
        at: Nanos,
        status: AttemptStatus,
    },
    List(ListUpdate),
    ListDown,
    /// How many requests and releases are open.
    Open(oneshot::Sender<usize>),
    /// Nothing new is taken from that time on.
    StopAt(Nanos),
    /// What still runs is ended.
    StopNow,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub config: NodeConfig,
    pub clock: Clock,
    pub owner: mpsc::UnboundedSender<Message>,
    pub phase: watch::Sender<Phase>,
    pub ready_workers: ReadyWorkers,
    /// Places of requests in the owner's queue: clients that come and leave faster than it takes them would fill the
    /// memory otherwise.
    pub asks: Arc<Semaphore>,
    next_id: AtomicU64,
    open: Mutex<HashSet<Txn>>,
    /// How connections of clients have ended.
    pub closes: Closes,
    /// Attempts that were stopped just before their first byte.
    denials: Mutex<Denials>,
}

impl Shared {
    /// `asks`: requests that may wait for the owner.
    pub fn new(
        config: NodeConfig,
        clock: Clock,
        owner: mpsc::UnboundedSender<Message>,
        asks: usize,
    ) -> Shared {
        let phase = watch::Sender::new(Phase::Starting);
        Shared {
            config,
            clock,
            owner,
            phase,
            ready_workers: ReadyWorkers::default(),
            asks: Arc::new(Semaphore::new(asks)),
            next_id: AtomicU64::new(1),
            open: Mutex::default(),
            closes: Closes::default(),
            denials: Mutex::default(),
        }
    }

    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// There is a list: clients may come, unless the router is on its way out.
    pub fn serving(&self) {
        self.phase.send_if_modified(|phase| {
            let first = *phase == Phase::Starting;
            *phase = if first { Phase::Serving } else { *phase };
            first
        });
    }

    /// The catalogue is silent: where a list was last held, clients may come by that.
    pub fn serve_known_list(&self) {
        if self.config.known.is_some() {
            self.serving();
        }
    }

    pub fn next_id(&self) -> RequestId {
        RequestId(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Tells the owner; one that has ended needs to know nothing.
    pub fn tell(&self, message: Message) {
        let _ = self.owner.send(message);
    }

    /// An attempt was stopped just before its first byte.
    pub fn denied(&self, id: RequestId, denial: Denial) {
        tracing::debug!(target: "gaparch_platform_router::wire", request = id.0, why = denial.name(), "not sent");
        lock(&self.denials).count(denial);
    }

    /// How many attempts were stopped just before their first byte, by reason.
    pub fn denials(&self) -> Denials {
        *lock(&self.denials)
    }

    /// Takes an id until the owner gives it back, when nothing of its request is out any more; `false` if it is taken.
    pub fn take(&self, txn: &Txn) -> bool {
        lock(&self.open).insert(txn.clone())
    }

    pub fn give_back(&self, txn: &Txn) {
        let mut open = lock(&self.open);
        open.remove(txn);
        if open.is_empty() {
            open.shrink_to(64);
        }
    }
}

/// A table's lock; whoever panicked with it has left it whole: each change is one step.
pub(crate) fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
