//! The tokio shell: sockets, clocks and tasks around the core.
//!
//! One task, the owner, has the core and takes everything in order. Bounds, and what happens at them:
//!
//! | queue | bound | full |
//! | --- | --- | --- |
//! | requests to the owner | `limits/inbox` | the request is rejected at once |
//! | engines' frames to the owner | 1,024 batches | engines' connections are not read from |
//! | disconnected clients, to the owner | open requests | can't be: one message a request |
//! | events to one client | `limits/stream-buffer` | the client reads too slowly: its request ends as if it had disconnected |
//! | frames to one engine | 16,384 | the connection is closed, its attempts are reset |
//! | datagrams of other routers | the socket's own buffer | lost, as any may be |
//! | open requests, connections | `limits` | rejected; closed |

mod client;
mod engine;
mod fleet;
mod lag;
mod list;
mod ops;
mod owner;
mod storage;
mod write_timeout;

pub use fleet::{verify_record, FleetError};
pub use lag::{Lag, LagSummary};
pub use ops::{Disks, FleetDisks, OperationsError};

use crate::core::{Core, Counters};
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

/// Time for the last of the audit record to be written when the router ends.
const AUDIT_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Messages of other tasks that wait for the owner.
const CONTROL_QUEUE: usize = 64;
/// Interval at which the open requests are counted while the router drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the last responses to be written to clients' sockets.
const RESPONSE_FLUSH_TIME: Duration = Duration::from_millis(50);

/// Why a router can't start.
#[derive(Debug, Error)]
pub enum ServeError {
    /// An address for clients can't be bound.
    #[error("can't listen at {address}: {source}")]
    Listen {
        /// The address of the settings.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The operations side can't start.
    #[error("operations: {0}")]
    Operations(#[from] OperationsError),
    /// The fleet can't start.
    #[error("fleet: {0}")]
    Fleet(#[from] FleetError),
}

/// A running router. It ends abruptly when this is dropped.
#[derive(Debug)]
pub struct RouterHandle {
    addresses: Vec<SocketAddr>,
    control: mpsc::Sender<Control>,
    lag: Arc<Lag>,
    accepting: Vec<JoinHandle<()>>,
    owner: JoinHandle<()>,
    operations: Option<ops::Running>,
    fleet: Option<fleet::Running>,
    /// Where what was sent is recorded.
    audit: Option<mpsc::Sender<fleet::AuditMessage>>,
    shutdown: Duration,
}

impl RouterHandle {
    /// The addresses for clients, in the order of the settings.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// The address for operators, if there is one.
    pub fn operations_address(&self) -> Option<SocketAddr> {
        self.operations.as_ref().and_then(|o| o.address)
    }

    /// The local socket for operators, if there is one.
    pub fn operations_socket(&self) -> Option<&Path> {
        self.operations.as_ref().and_then(|o| o.socket.as_deref())
    }

    /// Where the other routers reach it.
    pub fn fleet_address(&self) -> Option<SocketAddr> {
        self.fleet.as_ref().map(|f| f.address)
    }

    /// Waits until an operator orders a stop; without an operations side for ever.
    pub async fn asked_to_stop(&self) {
        match &self.operations {
            Some(operations) => operations.stop.notified().await,
            None => std::future::pending().await,
        }
    }

    /// What was counted so far; `None` once the router has ended.
    pub async fn counts(&self) -> Option<Counters> {
        let (answer, wait) = oneshot::channel();
        self.control.send(Control::Counters(answer)).await.ok()?;
        wait.await.ok()
    }

    /// How late the owner was, from the start or from the last time this was asked.
    pub fn lag(&self) -> LagSummary {
        self.lag.take()
    }

    /// Shuts down gracefully: no new requests are accepted, open ones have the time of the settings, and
    /// those that are left then are failed or rejected. Returns what was counted.
    pub async fn stop(self) -> Option<Counters> {
        self.accepting.iter().for_each(JoinHandle::abort);
        self.control.send(Control::Stop).await.ok()?;
        // The others learn that it goes, and need not find it dead.
        if let Some(fleet) = &self.fleet {
            fleet.leave().await;
        }
        let deadline = tokio::time::Instant::now() + self.shutdown;
        loop {
            let (answer, wait) = oneshot::channel();
            self.control.send(Control::OpenRequestCount(answer)).await.ok()?;
            if wait.await.ok()? == 0 || tokio::time::Instant::now() >= deadline {
                break;
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.control.send(Control::StopNow).await.ok()?;
        let counts = self.counts().await;
        // The last answers are on their way to the clients' tasks: they get a moment to be written.
        tokio::time::sleep(RESPONSE_FLUSH_TIME).await;
        if let Some(audit) = &self.audit {
            let (written, wait) = oneshot::channel();
            let finish = async {
                if audit.send(fleet::AuditMessage::Finish(written)).await.is_ok() {
                    // Dropped unsent, its task has ended.
                    let _ = wait.await;
                }
            };
            // Without its last segment the record shows a gap, as it should.
            let _ = tokio::time::timeout(AUDIT_FLUSH_TIMEOUT, finish).await;
        }
        if let Some(operations) = &self.operations {
            operations.flush().await;
        }
        counts
    }
}

impl Drop for RouterHandle {
    fn drop(&mut self) {
        self.accepting.iter().for_each(JoinHandle::abort);
        self.owner.abort();
    }
}

/// Starts a router.
///
/// # Errors
/// When an address can't be listened at, or the state folder can't be opened.
pub async fn serve(config: Config) -> Result<RouterHandle, ServeError> {
    serve_on(config, None, Clock::default()).await
}

/// Starts a router whose state is on other disks than the folder of the settings, or whose clock is wrong,
/// for tests.
///
/// # Errors
/// As for [`serve`].
pub async fn serve_on(
    config: Config,
    disks: Option<Disks>,
    clock: Clock,
) -> Result<RouterHandle, ServeError> {
    // Orders of operators are in force before the first request can arrive.
    let prepared = match &config.operations {
        Some(settings) => Some(ops::prepare(settings.clone(), disks).await?),
        None => None,
    };
    // Runs have different numbers: an engine must not take the KV caches of one run for those of another.
    let run = RouterRun(clock.now() ^ (u64::from(std::process::id()) << 32) ^ run_number());
    let mut listeners = Vec::new();
    for listener in &config.listeners {
        let wrong = |source| ServeError::Listen { address: listener.address, source };
        let socket = TcpListener::bind(listener.address).await.map_err(wrong)?;
        listeners.push((socket.local_addr().map_err(wrong)?, socket, Arc::clone(&listener.dialect)));
    }
    let (requests, requests_in) = mpsc::channel(config.limits.inbox);
    let (disconnected, disconnected_in) = mpsc::unbounded_channel();
    let (control, control_in) = mpsc::channel(CONTROL_QUEUE);
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
        connections: Arc::new(Semaphore::new(config.limits.connections)),
        rejections: operations_handle.as_ref().map(ops::OperationsHandle::rejection_reporter),
        config: config.clone(),
    });
    let ports = Ports { requests: requests_in, disconnected: disconnected_in, control: control_in };
    let owner =
        Owner::new(core, clock, config.clone(), Arc::clone(&lag), operations_handle, replication.versions);
    let owner = tokio::spawn(owner.run(ports, out));
    let addresses = listeners.iter().map(|(address, ..)| *address).collect();
    let accepting = listeners
        .into_iter()
        .map(|(_, socket, dialect)| tokio::spawn(client::accept(socket, dialect, Arc::clone(&context))))
        .collect();
    let shutdown = config.limits.shutdown.duration();
    Ok(RouterHandle {
        addresses,
        control,
        lag,
        accepting,
        owner,
        operations,
        fleet: replication.fleet,
        audit: replication.audit,
        shutdown,
    })
}

/// What is started of the fleet, if there is one.
#[derive(Default)]
struct Replication {
    fleet: Option<fleet::Running>,
    /// The owner's side of the replicated list, where lists are replicated.
    versions: Option<ListVersions>,
    /// Where what was sent is recorded.
    audit: Option<mpsc::Sender<fleet::AuditMessage>>,
}

/// What a fleet is started by.
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
    let (local_list, local_list_in) = watch::channel(fleet::LocalListState::default());
    let (local_orders, local_orders_in) = mpsc::channel(fleet::LOCAL_ORDER_QUEUE);
    let (audit, sent) = mpsc::channel(fleet::AUDIT_INBOX);
    let ports =
        fleet::Ports { control, messages, local_list: local_list_in, local_orders: local_orders_in, sent };
    let running = fleet::start(settings, config, run, clock, disks, ports).await?;
    let Some(confirm) = settings.confirm.filter(|_| running.is_some()) else {
        return Ok(Replication { fleet: running, versions: None, audit: None });
    };
    let owner_ports = fleet::OwnerPorts { local_list, local_orders, audit: audit.clone() };
    let versions = ListVersions::new(config.module.poll_endpoints, confirm, owner_ports);
    Ok(Replication { fleet: running, versions: Some(versions), audit: Some(audit) })
}

/// Two routers of one process never have the same run.
fn run_number() -> u64 {
    static RUNS: AtomicU64 = AtomicU64::new(0);
    RUNS.fetch_add(1, Ordering::Relaxed)
}
