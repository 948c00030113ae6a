//! The tokio shell: sockets, clocks and tasks around the core.
//!
//! One task, the owner, owns the core and handles all inputs in order. Every queue is bounded:
//!
//! | queue | bound | when full |
//! | --- | --- | --- |
//! | requests to the owner | `limits/inbox` | the request is rejected at once |
//! | engines' frames to the owner | 1,024 batches | engine connections are not read |
//! | notices of disconnected clients to the owner | open requests | not possible: one message per request |
//! | events to one client | `limits/stream-buffer` | slow client: the request ends as if it disconnected |
//! | frames to one engine | 16,384 | the connection is closed and its attempts are reset |
//! | datagrams of other routers | the socket's receive buffer | dropped, as UDP may |
//! | request bodies and prompts, in bytes | `limits/body-memory` | the body waits in the kernel, for `body-time` at most |
//! | open requests | `limits` | the request is rejected |
//! | connections | `limits` | the connection is closed |

mod client;
mod client_socket;
mod engine;
mod fleet;
mod lag;
mod list;
mod ops;
mod owner;
mod storage;

pub use fleet::{verify_record, FleetError};
pub use lag::{Lag, LagSummary};
pub use ops::{Disks, FleetDisks, OperationsError};

use crate::core::{Core, Counters};
use crate::memory::MemoryPool;
use fleet::ListVersions;
use gaparch_config::{Config, Fleet as FleetSettings};
use gaparch_net::Clock;
use gaparch_protocol::engine::RouterRun;
use owner::{Control, Owner, Ports};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::task::JoinHandle;

/// Time limit for writing the end of the audit record when the router shuts down.
const AUDIT_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Capacity of the queue of other tasks' messages to the owner.
const CONTROL_QUEUE: usize = 64;
/// Interval at which the number of open requests is polled while the router drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time allowed for writing the last responses to clients' sockets.
const RESPONSE_FLUSH_TIME: Duration = Duration::from_millis(50);

/// Why a router can't start.
#[derive(Debug, Error)]
pub enum ServeError {
    /// A listen address for clients can't be bound.
    #[error("can't listen at {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The operations side can't start.
    #[error("operations: {0}")]
    Operations(#[from] OperationsError),
    /// The fleet can't start.
    #[error("fleet: {0}")]
    Fleet(#[from] FleetError),
}

/// A running router. Dropping the handle stops it without draining.
#[derive(Debug)]
pub struct RouterHandle {
    addresses: Vec<SocketAddr>,
    control: mpsc::Sender<Control>,
    lag: Arc<Lag>,
    acceptors: Vec<JoinHandle<()>>,
    owner: JoinHandle<()>,
    operations: Option<ops::Running>,
    fleet: Option<fleet::Running>,
    /// The queue of the audit record's task.
    audit: Option<mpsc::Sender<fleet::AuditMessage>>,
    shutdown_timeout: Duration,
}

impl RouterHandle {
    /// The listen addresses for clients, in the order of the settings.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// The TCP address for operators, if there is one.
    pub fn operations_address(&self) -> Option<SocketAddr> {
        self.operations.as_ref().and_then(|o| o.address)
    }

    /// The Unix domain socket for operators, if there is one.
    pub fn operations_socket(&self) -> Option<&Path> {
        self.operations.as_ref().and_then(|o| o.socket.as_deref())
    }

    /// The address for the other routers, if there is a fleet.
    pub fn fleet_address(&self) -> Option<SocketAddr> {
        self.fleet.as_ref().map(|f| f.address)
    }

    /// Waits until an operator orders a stop; never returns if the router has no operations side.
    pub async fn asked_to_stop(&self) {
        match &self.operations {
            Some(operations) => operations.stop.notified().await,
            None => std::future::pending().await,
        }
    }

    /// The counters so far; `None` once the router has ended.
    pub async fn counts(&self) -> Option<Counters> {
        let (reply, wait) = oneshot::channel();
        self.control.send(Control::Counters(reply)).await.ok()?;
        wait.await.ok()
    }

    /// The owner's lag since the start or the last call.
    pub fn lag(&self) -> LagSummary {
        self.lag.take()
    }

    /// Shuts down gracefully: accepts no new requests, waits for open ones up to the configured shutdown
    /// time, and then fails or rejects those that remain. Returns the final counters.
    pub async fn stop(self) -> Option<Counters> {
        self.acceptors.iter().for_each(JoinHandle::abort);
        self.control.send(Control::Stop).await.ok()?;
        // Announces the departure, so that the other routers need not detect it as a failure.
        if let Some(fleet) = &self.fleet {
            fleet.leave().await;
        }
        let deadline = tokio::time::Instant::now() + self.shutdown_timeout;
        loop {
            let (reply, wait) = oneshot::channel();
            self.control.send(Control::OpenRequestCount(reply)).await.ok()?;
            if wait.await.ok()? == 0 || tokio::time::Instant::now() >= deadline {
                break;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.control.send(Control::StopNow).await.ok()?;
        let counters = self.counts().await;
        // The last responses have been sent to the clients' tasks, which need a moment to write them.
        tokio::time::sleep(RESPONSE_FLUSH_TIME).await;
        if let Some(audit) = &self.audit {
            let (written, wait) = oneshot::channel();
            let finish = async {
                if audit.send(fleet::AuditMessage::Finish(written)).await.is_ok() {
                    // An error means that the audit record's task has ended.
                    let _ = wait.await;
                }
            };
            // If the last segment is not written, the record shows a gap in its place.
            let _ = tokio::time::timeout(AUDIT_FLUSH_TIMEOUT, finish).await;
        }
        if let Some(operations) = &self.operations {
            operations.flush().await;
        }
        counters
    }
}

impl Drop for RouterHandle {
    fn drop(&mut self) {
        self.acceptors.iter().for_each(JoinHandle::abort);
        self.owner.abort();
    }
}

/// Starts a router.
///
/// # Errors
/// If an address can't be bound, or the state folder can't be opened.
pub async fn serve(config: Config) -> Result<RouterHandle, ServeError> {
    serve_on(config, None, Clock::default()).await
}

/// Starts a router with other disks than the configured state folder, or with a clock that is offset, for
/// tests.
///
/// # Errors
/// As for [`serve`].
pub async fn serve_on(
    config: Config,
    disks: Option<Disks>,
    clock: Clock,
) -> Result<RouterHandle, ServeError> {
    // Restores operators' orders before the first request can arrive.
    let prepared = match &config.operations {
        Some(settings) => Some(ops::prepare(settings.clone(), disks).await?),
        None => None,
    };
    // Each run needs its own id, so that an engine never confuses KV caches of different runs.
    let run = RouterRun(clock.now() ^ (u64::from(std::process::id()) << 32) ^ run_number());
    let mut listeners = Vec::new();
    for listener in &config.listeners {
        let listen_error = |source| ServeError::Listen { address: listener.address, source };
        let socket = TcpListener::bind(listener.address).await.map_err(listen_error)?;
        listeners.push((socket.local_addr().map_err(listen_error)?, socket, Arc::clone(&listener.dialect)));
    }
    let (requests, requests_rx) = mpsc::channel(config.limits.inbox);
    let (disconnected, disconnected_rx) = mpsc::unbounded_channel();
    let (control, control_rx) = mpsc::channel(CONTROL_QUEUE);
    let lag = Arc::new(Lag::default());
    let mut out = Vec::new();
    let orders = prepared.as_ref().map(|p| p.orders.clone()).unwrap_or_default();
    let core = Core::new(config.clone(), orders, run, clock.now(), &mut out);
    let mut replication = Replication::default();
    let (operations_handle, operations) = match prepared {
        Some(mut prepared) => {
            let (messages, inbox) = ops::broadcaster_channel();
            if let (Some(settings), Some(disks)) = (&config.fleet, prepared.fleet.take()) {
                let start = FleetStart { settings, config: &config, run, clock, disks };
                replication = start_fleet(start, control.clone(), messages.clone()).await?;
            }
            let fleet = replication.fleet.as_ref().map(fleet::Running::handle);
            let channels = ops::Channels { control: control.clone(), messages, inbox, fleet };
            let (handle, running) =
                ops::start(prepared, &config, run, clock, core.settings_listing(), channels).await?;
            (Some(handle), Some(running))
        }
        None => (None, None),
    };
    let context = Arc::new(client::ClientContext {
        run,
        requests,
        disconnected,
        next_id: AtomicU64::new(1),
        open_requests: Arc::new(Semaphore::new(config.limits.open_requests)),
        body_memory: MemoryPool::new(config.limits.body_memory),
        connections: Arc::new(Semaphore::new(config.limits.connections)),
        rejections: operations_handle.as_ref().map(ops::OperationsHandle::rejection_reporter),
        config: config.clone(),
    });
    let ports = Ports { requests: requests_rx, disconnected: disconnected_rx, control: control_rx };
    let owner =
        Owner::new(core, clock, config.clone(), Arc::clone(&lag), operations_handle, replication.versions);
    let owner = tokio::spawn(owner.run(ports, out));
    let addresses = listeners.iter().map(|(address, ..)| *address).collect();
    let acceptors = listeners
        .into_iter()
        .map(|(_, socket, dialect)| tokio::spawn(client::accept(socket, dialect, Arc::clone(&context))))
        .collect();
    let shutdown_timeout = config.limits.shutdown.duration();
    Ok(RouterHandle {
        addresses,
        control,
        lag,
        acceptors,
        owner,
        operations,
        fleet: replication.fleet,
        audit: replication.audit,
        shutdown_timeout,
    })
}

/// The started parts of the fleet, if there is one.
#[derive(Default)]
struct Replication {
    fleet: Option<fleet::Running>,
    /// The owner's side of list replication, if it is enabled.
    versions: Option<ListVersions>,
    /// The queue of the audit record's task.
    audit: Option<mpsc::Sender<fleet::AuditMessage>>,
}

/// The arguments of [`start_fleet`].
struct FleetStart<'a> {
    settings: &'a FleetSettings,
    config: &'a Config,
    run: RouterRun,
    clock: Clock,
    disks: FleetDisks,
}

async fn start_fleet(
    start: FleetStart<'_>,
    control: mpsc::Sender<Control>,
    messages: mpsc::Sender<ops::BroadcasterMessage>,
) -> Result<Replication, FleetError> {
    let FleetStart { settings, config, run, clock, disks } = start;
    let (local_list, local_list_rx) = watch::channel(fleet::LocalListState::default());
    let (local_orders, local_orders_rx) = mpsc::channel(fleet::LOCAL_ORDER_QUEUE);
    let (audit, audit_rx) = mpsc::channel(fleet::AUDIT_INBOX);
    let ports = fleet::Ports {
        control,
        messages,
        local_list: local_list_rx,
        local_orders: local_orders_rx,
        audit: audit_rx,
    };
    let running = fleet::start(settings, config, run, clock, disks, ports).await?;
    let Some(confirm) = settings.confirm.filter(|_| running.is_some()) else {
        return Ok(Replication { fleet: running, versions: None, audit: None });
    };
    let owner_ports = fleet::OwnerPorts { local_list, local_orders, audit: audit.clone() };
    let versions = ListVersions::new(config.scheduler.poll_endpoints, confirm, owner_ports);
    Ok(Replication { fleet: running, versions: Some(versions), audit: Some(audit) })
}

/// Differs between routers of the same process, so that their run ids do too.
fn run_number() -> u64 {
    static RUNS: AtomicU64 = AtomicU64::new(0);
    RUNS.fetch_add(1, Ordering::Relaxed)
}
