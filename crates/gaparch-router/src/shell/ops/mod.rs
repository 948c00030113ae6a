//! The operations side of a running router.
//!
//! The owner of the core carries out orders and reports the router's state four times a second; other tasks
//! do the rest. The [`order_store`] writes orders to disk and the [`history_writer`] events and request
//! outcomes, the [`event_broadcaster`] keeps both in memory and updates subscribers, and each [`session`]
//! serves one console or script. None of them can block the owner:
//!
//! | queue | bound | when full |
//! | --- | --- | --- |
//! | orders to the order store | 256 | the order is denied and not carried out |
//! | messages to the event broadcaster | 16,384 | dropped and counted |
//! | updates to one subscriber | 64 | dropped; the subscriber is told and sent a new snapshot |
//! | batches to the history writer | 4 | the broadcaster buffers up to 1 MiB |
//! | records in that buffer | 1 MiB | new records are dropped and counted |
//! | sessions | `operations/sessions` | the connection is closed with a reason |

mod disks;
mod event_broadcaster;
mod handle;
mod history_writer;
mod listener;
mod messages;
mod operators;
mod order_store;
mod pending_history;
mod queries;
mod session;
mod session_queries;
mod subscribers;

pub use disks::{Disks, FleetDisks};
pub(super) use handle::{OperationsHandle, RejectionReporter};
pub(super) use messages::{BroadcasterMessage, OrderOutcome, OrderReply, StatusReport};

use super::fleet;
use super::owner::Control;
use event_broadcaster::{EventBroadcaster, RouterIdentity};
use gaparch_config::{Config, Operations};
use gaparch_net::Clock;
use gaparch_ops::{EventLog, OrderRegistry, OutcomeLog, OutcomeLogLimits};
use gaparch_protocol::engine::RouterRun;
use gaparch_protocol::ops::view::Setting;
use gaparch_store::StoreError;
use history_writer::HistoryWriter;
use operators::Operators;
use order_store::OrderStore;
use session::SessionContext;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, UnixListener};
use tokio::sync::{mpsc, oneshot, Notify, Semaphore};
use tokio::task::JoinHandle;

/// Capacity of the queue of messages to the event broadcaster.
const BROADCASTER_INBOX: usize = 16_384;
/// Capacity of the queue of orders to the order store.
const ORDER_STORE_INBOX: usize = 256;
/// Time limit for writing the last events when the router shuts down.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Why the operations side can't start.
#[derive(Debug, Error)]
pub enum OperationsError {
    /// The state folder can't be opened or its content can't be read.
    #[error("the state folder: {0}")]
    Store(#[from] StoreError),
    /// A listener can't be opened, or the task that reads the state folder panicked.
    #[error("{what}: {source}")]
    Io {
        /// The failed operation.
        what: String,
        /// The system's error.
        source: std::io::Error,
    },
}

/// The restored state, before any task is started.
pub(super) struct Prepared {
    pub orders: OrderRegistry,
    order_store: OrderStore,
    history_writer: HistoryWriter,
    event_log: EventLog,
    outcome_log: OutcomeLog,
    operators: Operators,
    settings: Operations,
    pub fleet: Option<FleetDisks>,
}

/// Reads the state folder, so that operators' orders are known before the first request arrives.
pub(super) async fn prepare(settings: Operations, disks: Option<Disks>) -> Result<Prepared, OperationsError> {
    let panicked = |error: tokio::task::JoinError| OperationsError::Io {
        what: "reading the state folder".to_owned(),
        source: std::io::Error::other(error),
    };
    tokio::task::spawn_blocking(move || restore(settings, disks)).await.map_err(panicked)?
}

fn restore(settings: Operations, disks: Option<Disks>) -> Result<Prepared, OperationsError> {
    let operators = Operators::read(&settings);
    let disks = match disks {
        Some(disks) => disks,
        None => Disks::open(&settings)?,
    };
    let (order_store, orders) = OrderStore::open(disks.intents)?;
    let mut outcome_log = OutcomeLog::new(OutcomeLogLimits { max_bytes: settings.refusals });
    let mut event_log = EventLog::default();
    let history_writer = HistoryWriter::open(
        disks.events,
        disks.outcomes,
        settings.history as u64,
        &mut event_log,
        &mut outcome_log,
    )?;
    let fleet = Some(disks.fleet);
    Ok(Prepared { orders, order_store, history_writer, event_log, outcome_log, operators, settings, fleet })
}

/// The running tasks of the operations side.
#[derive(Debug)]
pub(super) struct Running {
    pub address: Option<SocketAddr>,
    pub socket: Option<PathBuf>,
    /// Notified when an operator stops the router.
    pub stop: Arc<Notify>,
    messages: mpsc::Sender<BroadcasterMessage>,
    tasks: Vec<JoinHandle<()>>,
}

impl Running {
    /// Writes the last events to disk, within a time limit.
    pub async fn flush(&self) {
        let (written, wait) = oneshot::channel();
        let flushed = async {
            if self.messages.send(BroadcasterMessage::Flush(written)).await.is_ok() {
                // An error means that the broadcaster or the history writer has ended.
                let _ = wait.await;
            }
        };
        if tokio::time::timeout(FLUSH_TIMEOUT, flushed).await.is_err() {
            tracing::warn!("the last events could not be written to disk in time");
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        if let Some(socket) = &self.socket {
            // If this fails, the next start replaces the socket.
            let _ = std::fs::remove_file(socket);
        }
    }
}

/// The channels between the tasks.
pub(super) struct Channels {
    pub control: mpsc::Sender<Control>,
    pub messages: mpsc::Sender<BroadcasterMessage>,
    pub inbox: mpsc::Receiver<BroadcasterMessage>,
    pub fleet: Option<fleet::FleetHandle>,
}

/// Creates the queue of the event broadcaster.
pub(super) fn broadcaster_channel() -> (mpsc::Sender<BroadcasterMessage>, mpsc::Receiver<BroadcasterMessage>)
{
    mpsc::channel(BROADCASTER_INBOX)
}

/// Starts the order store, the history writer, the event broadcaster and the listeners.
pub(super) async fn start(
    prepared: Prepared,
    config: &Config,
    run: RouterRun,
    clock: Clock,
    settings: Vec<Setting>,
    channels: Channels,
) -> Result<(OperationsHandle, Running), OperationsError> {
    let Channels { control, messages, inbox, fleet } = channels;
    let (order_store, orders_rx) = mpsc::channel(ORDER_STORE_INBOX);
    let (history, history_rx) = mpsc::channel(history_writer::INBOX);
    let context = Arc::new(SessionContext {
        router: config.router.clone(),
        run,
        operators: prepared.operators.known,
        sessions: Arc::new(Semaphore::new(prepared.settings.sessions)),
        control,
        messages: messages.clone(),
        fleet,
    });
    let mut listeners = Vec::new();
    let mut tcp_address = None;
    if let Some(address) = prepared.settings.address {
        let (listener, local_address) = listen_tcp(address).await?;
        tcp_address = Some(local_address);
        listeners.push(tokio::spawn(listener::accept_tcp(listener, Arc::clone(&context))));
    }
    if let Some(path) = &prepared.settings.socket {
        let listener = listen_unix(path)?;
        listeners.push(tokio::spawn(listener::accept_unix(listener, Arc::clone(&context))));
    }
    let broadcaster = EventBroadcaster::new(
        RouterIdentity { router: config.router.clone(), run: run.0, started_at: clock.now(), settings },
        prepared.orders,
        prepared.event_log,
        prepared.outcome_log,
        history,
    );
    let mut tasks = vec![
        tokio::spawn(prepared.order_store.run(orders_rx, messages.clone())),
        tokio::spawn(prepared.history_writer.run(history_rx, messages.clone())),
        tokio::spawn(broadcaster.run(inbox, clock, prepared.operators.key_errors)),
    ];
    tasks.append(&mut listeners);
    let stop = Arc::new(Notify::new());
    let running = Running {
        address: tcp_address,
        socket: prepared.settings.socket,
        stop: Arc::clone(&stop),
        messages: messages.clone(),
        tasks,
    };
    let rejections = Arc::new(RejectionReporter::new(messages.clone(), run, clock));
    Ok((OperationsHandle { messages, rejections, order_store, dropped: 0, stop }, running))
}

async fn listen_tcp(address: SocketAddr) -> Result<(TcpListener, SocketAddr), OperationsError> {
    let listen_error = |source| OperationsError::Io { what: format!("can't listen at {address}"), source };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let local_address = listener.local_addr().map_err(listen_error)?;
    Ok((listener, local_address))
}

fn listen_unix(path: &Path) -> Result<UnixListener, OperationsError> {
    let listen_error =
        |source| OperationsError::Io { what: format!("can't listen at {}", path.display()), source };
    // The lock on the state folder ensures that no running router listens on this socket.
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => return Err(listen_error(error)),
        _ => {}
    }
    let listener = UnixListener::bind(path).map_err(listen_error)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(listen_error)?;
    Ok(listener)
}
