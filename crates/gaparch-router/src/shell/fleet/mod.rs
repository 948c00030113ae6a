//! The connection to the other routers of the site: membership, replication of the endpoint list and of
//! orders, and the audit record.
//!
//! The [`task`] owns the state and waits neither for the owner nor for a disk. It passes values for the owner
//! and for the disks through watch channels, which hold only the latest value, to tasks that may wait.

mod audit_queries;
mod audit_record;
mod handle;
mod incarnation_store;
mod latest_value;
mod list_versions;
mod order_store;
mod owner_updates;
mod replication;
mod send_recorder;
mod task;
mod views;

pub use audit_record::verify as verify_record;
pub(super) use audit_record::{AuditMessage, AUDIT_INBOX};
pub(super) use handle::FleetHandle;
pub(super) use list_versions::{AdoptedList, ListVersions, LocalListState, OwnerPorts, UpdateAction};
pub(super) use owner_updates::{LocalOrder, LOCAL_ORDER_QUEUE};

use super::ops::{BroadcasterMessage, FleetDisks};
use super::owner::Control;
use super::storage::StorageReporter;
use audit_record::{AuditStore, SharedAuditRecord};
use gaparch_audit::{self as audit, ListFollower};
use gaparch_config::{Config, Fleet};
use gaparch_membership::{Membership, Settings, SiteKey};
use gaparch_net::{read_key, Clock, KeyError};
use gaparch_protocol::engine::RouterRun;
use gaparch_protocol::ops::view::{Event, Severity};
use handle::FleetRequest;
use incarnation_store::IncarnationStore;
use latest_value::store_latest;
use order_store::{FleetOrderStore, FleetOrders};
use owner_updates::{apply_remote_orders, forward_latest, REMOTE_ORDER_QUEUE};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use task::FleetTask;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

/// Capacity of the queue of requests to the fleet's task.
const REQUEST_QUEUE: usize = 16;
/// Time limit for sending the last messages when the router leaves the fleet.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a router can't join a fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The listen address can't be bound.
    #[error("can't listen at {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The task that reads the state folder panicked.
    #[error("reading the state folder: {0}")]
    State(#[from] tokio::task::JoinError),
}

/// Why the fleet's key can't be used.
#[derive(Debug, Error)]
enum FleetKeyError {
    #[error(transparent)]
    File(#[from] KeyError),
    #[error("it is empty")]
    Empty,
}

/// The channels between the fleet's tasks and the rest of the router.
pub(super) struct Ports {
    pub control: mpsc::Sender<Control>,
    pub messages: mpsc::Sender<BroadcasterMessage>,
    /// The endpoint list that the owner uses.
    pub local_list: watch::Receiver<LocalListState>,
    /// Orders given at this router, to be replicated.
    pub local_orders: mpsc::Receiver<LocalOrder>,
    /// Send counts for the audit record.
    pub audit: mpsc::Receiver<AuditMessage>,
}

/// The fleet's running tasks. They are aborted when this is dropped.
#[derive(Debug)]
pub(super) struct Running {
    pub address: SocketAddr,
    requests: mpsc::Sender<FleetRequest>,
    tasks: Vec<JoinHandle<()>>,
}

impl Running {
    pub fn handle(&self) -> FleetHandle {
        FleetHandle(self.requests.clone())
    }

    /// Tells the other routers that this router leaves the fleet.
    pub async fn leave(&self) {
        let (reply, wait) = oneshot::channel();
        let leave = async {
            if self.requests.send(FleetRequest::Leave(reply)).await.is_ok() {
                // An error means that the task has ended.
                let _ = wait.await;
            }
        };
        let _ = tokio::time::timeout(LEAVE_TIMEOUT, leave).await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// The state restored from the fleet's disks.
struct Restored {
    incarnation_store: IncarnationStore,
    /// The incarnation of the last start; 0 if there was none.
    last_incarnation: u64,
    order_store: FleetOrderStore,
    orders: Vec<audit::FleetOrder>,
    audit_store: AuditStore,
    audit_record: audit::AuditLog,
}

impl Restored {
    fn read(disks: FleetDisks, run: RouterRun) -> Restored {
        let (audit_store, audit_record) = AuditStore::open(disks.audit, disks.audit_mark, run.0);
        let (incarnation_store, last_incarnation) = IncarnationStore::open(disks.incarnation);
        let (order_store, orders) = FleetOrderStore::open(disks.orders);
        Restored { incarnation_store, last_incarnation, order_store, orders, audit_store, audit_record }
    }
}

fn read_site_key(fleet: &Fleet) -> Result<SiteKey, FleetKeyError> {
    let key = read_key(&fleet.key_file)?;
    SiteKey::new(key.as_bytes()).ok_or(FleetKeyError::Empty)
}

fn membership_settings(fleet: &Fleet, config: &Config, run: RouterRun, incarnation: u64) -> Settings {
    let zone = config.scheduler.zone.and_then(|zone| config.names.zones.get(zone.0));
    Settings {
        name: config.router.clone(),
        zone: zone.cloned().unwrap_or_default(),
        build: env!("CARGO_PKG_VERSION").to_owned(),
        address: fleet.address,
        run_id: run.0,
        incarnation,
        seeds: fleet.seeds.clone(),
        max_routers: config.scheduler.router_count,
        probe_interval: fleet.period,
        dead_hold: fleet.hold,
        seed: config.scheduler.seed,
        use_extensions: fleet.refined,
    }
}

/// Reads the stored state, binds the socket and starts the tasks. Without a usable key there is no fleet: the
/// result is `None` and an event reports the reason.
///
/// A disk that can't be read does not prevent the router from starting: the other routers know its
/// incarnation and the orders.
///
/// # Errors
/// If the address can't be bound, or reading the state panicked.
pub(super) async fn start(
    fleet: &Fleet,
    config: &Config,
    run: RouterRun,
    clock: Clock,
    disks: FleetDisks,
    ports: Ports,
) -> Result<Option<Running>, FleetError> {
    let key = match read_site_key(fleet) {
        Ok(key) => key,
        Err(error) => {
            // A missing key must not prevent the router from starting.
            let file = fleet.key_file.display();
            let text = format!("this router knows of no other: the fleet's key file {file}: {error}");
            let event = Event { at: clock.now(), severity: Severity::Fault, engine: None, text };
            // The broadcaster has not started yet; its queue is empty, so this succeeds.
            let _ = ports.messages.try_send(BroadcasterMessage::Event(event));
            return Ok(None);
        }
    };
    let listen_error = |source| FleetError::Listen { address: fleet.listen, source };
    let socket = UdpSocket::bind(fleet.listen).await.map_err(listen_error)?;
    let restored = tokio::task::spawn_blocking(move || Restored::read(disks, run)).await?;
    let incarnation = restored.last_incarnation.saturating_add(1);
    let audit_record: SharedAuditRecord = Arc::new(Mutex::new(restored.audit_record));
    let mut out = Vec::new();
    let settings = membership_settings(fleet, config, run, incarnation);
    let membership = Membership::new(settings, clock.now(), &mut out);
    let seed = config.scheduler.seed ^ run.0;
    let list_replication = fleet.confirm.map(|confirm| {
        let settings =
            audit::FollowerSettings { router: config.router.clone(), confirm_within: confirm, seed };
        ListFollower::new(settings, clock.now())
    });
    let order_replication = fleet
        .confirm
        .map(|_| audit::FleetOrders::new(&config.router, incarnation, seed, restored.orders, clock.now()));
    let (requests, requests_rx) = mpsc::channel(REQUEST_QUEUE);
    let (router_count, router_count_rx) = watch::channel(config.scheduler.router_count);
    let (incarnation_tx, incarnation_rx) = watch::channel(0);
    let (adopted_list, adopted_list_rx) = watch::channel(AdoptedList::default());
    let (remote_orders, remote_orders_rx) = mpsc::channel(REMOTE_ORDER_QUEUE);
    let (applied, applied_rx) = mpsc::channel(REMOTE_ORDER_QUEUE);
    let (orders_to_store, orders_to_store_rx) = watch::channel(FleetOrders::default());
    let (stored_orders, stored_orders_rx) = watch::channel(FleetOrders::default());
    let task = FleetTask {
        membership,
        socket,
        key,
        clock,
        dropped: views::DroppedDatagrams::default(),
        messages: ports.messages.clone(),
        router_count,
        incarnation: incarnation_tx,
        requests: requests_rx,
        unsupported_version_reported: false,
        list_replication,
        local_list: ports.local_list,
        adopted_list,
        order_replication,
        local_orders: ports.local_orders,
        remote_orders,
        applied_orders: applied_rx,
        orders_to_store,
        stored_orders: stored_orders_rx,
        audit_record: Arc::clone(&audit_record),
        audit_queries: Vec::new(),
        next_nonce: 0,
    };
    let reporter = |store| StorageReporter::new(store, ports.messages.clone());
    let mut tasks = vec![
        tokio::spawn(task.run(out)),
        tokio::spawn(forward_latest(router_count_rx, ports.control.clone(), Control::RouterCount)),
        tokio::spawn(store_latest(
            restored.incarnation_store,
            incarnation_rx,
            reporter("incarnations"),
            drop,
        )),
    ];
    // The remaining tasks are only needed with list replication.
    if fleet.confirm.is_some() {
        let on_stored = move |orders| drop(stored_orders.send_replace(orders));
        tasks.extend([
            tokio::spawn(forward_latest(adopted_list_rx, ports.control.clone(), Control::AdoptList)),
            tokio::spawn(apply_remote_orders(remote_orders_rx, ports.control, applied)),
            tokio::spawn(audit_record::run(
                restored.audit_store,
                audit_record,
                ports.audit,
                clock,
                reporter("the audit's record"),
            )),
            tokio::spawn(store_latest(
                restored.order_store,
                orders_to_store_rx,
                reporter("orders of the fleet"),
                on_stored,
            )),
        ]);
    }
    Ok(Some(Running { address: fleet.listen, requests, tasks }))
}
