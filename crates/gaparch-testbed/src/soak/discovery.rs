//! A stand-in discovery service: an agent for each router, which can fall silent.

use crate::scale::real::wire::{query, Connection};
use crate::soak::worker::monotonic_ns;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// The entry of a worker in the list.
#[derive(Clone, Debug)]
pub struct ListedWorker {
    pub address: SocketAddr,
    pub kind: &'static str,
    pub lifecycle: &'static str,
    /// When its process started, as Unix time in milliseconds; 0 if long ago.
    pub started_at_ms: u64,
}

/// An entry of the list that was sent to a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeliveredEntry {
    /// When it was sent, on the monotonic clock of the machine in nanoseconds.
    pub at_ns: u64,
    pub router: usize,
    pub worker: String,
    pub lifecycle: &'static str,
    pub started_at_ms: u64,
}

#[derive(Debug, Default)]
struct Table {
    generation: u64,
    /// The workers by name, each with the generation of its last change.
    entries: BTreeMap<String, (u64, ListedWorker)>,
    /// Whether the agent of each router is silent.
    silent: Vec<bool>,
    delivered: Vec<DeliveredEntry>,
    /// Whether changes are sent as full lists.
    full_lists_only: bool,
}

/// A running discovery service. It stops when it is dropped.
#[derive(Debug)]
pub struct DiscoveryService {
    /// The address of each router's agent.
    pub addresses: Vec<SocketAddr>,
    table: Arc<Mutex<Table>>,
    changed: watch::Sender<u64>,
    serving: Vec<JoinHandle<()>>,
}

impl Drop for DiscoveryService {
    fn drop(&mut self) {
        self.serving.iter().for_each(JoinHandle::abort);
    }
}

fn lock(table: &Mutex<Table>) -> MutexGuard<'_, Table> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DiscoveryService {
    /// Starts an agent for each router.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(
        workers: BTreeMap<String, ListedWorker>,
        routers: usize,
    ) -> io::Result<DiscoveryService> {
        let entries = workers.into_iter().map(|(name, worker)| (name, (1, worker))).collect();
        let silent = vec![false; routers];
        let table = Arc::new(Mutex::new(Table { generation: 1, entries, silent, ..Table::default() }));
        let changed = watch::Sender::new(1);
        let (mut addresses, mut serving) = (Vec::new(), Vec::new());
        for router in 0..routers {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            let (table, changed) = (Arc::clone(&table), changed.clone());
            serving.push(tokio::spawn(async move {
                loop {
                    let Ok((stream, _)) = listener.accept().await else { continue };
                    tokio::spawn(serve(stream, router, Arc::clone(&table), changed.subscribe()));
                }
            }));
        }
        Ok(DiscoveryService { addresses, table, changed, serving })
    }

    /// Changes the entry of a worker.
    pub fn set(&self, worker: &str, change: impl FnOnce(&mut ListedWorker)) {
        let mut table = lock(&self.table);
        table.generation += 1;
        let generation = table.generation;
        if let Some((changed, worker)) = table.entries.get_mut(worker) {
            *changed = generation;
            change(worker);
        }
        drop(table);
        self.changed.send_replace(generation);
    }

    /// Sets whether the agent of a router is silent.
    pub fn set_silent(&self, router: usize, is_silent: bool) {
        lock(&self.table).silent[router] = is_silent;
        // Wakes the pending requests, which check whether the agent is silent.
        self.changed.send_modify(|_| {});
    }

    /// Sets whether changes are sent as full lists.
    pub fn send_full_lists(&self, full_lists_only: bool) {
        lock(&self.table).full_lists_only = full_lists_only;
    }

    /// Returns all entries that were sent so far.
    pub fn delivered(&self) -> Vec<DeliveredEntry> {
        lock(&self.table).delivered.clone()
    }
}

impl Table {
    /// Returns the body of the response to a router that has the generation `after`, and the entries in it.
    fn response(&self, router: usize, after: Option<u64>) -> (String, Vec<DeliveredEntry>) {
        let after = after.filter(|after| !self.full_lists_only || *after == self.generation);
        let mut text =
            format!("{{\"generation\":{},\"reset\":{},\"instances\":[", self.generation, after.is_none());
        let mut delivered = Vec::new();
        for (name, (changed, worker)) in &self.entries {
            if after.is_some_and(|after| *changed <= after) {
                continue;
            }
            let comma = if delivered.is_empty() { "" } else { "," };
            // Writing to a text does not fail.
            let _ = write!(
                text,
                "{comma}{{\"instanceId\":\"{name}\",\"hostPort\":\"{}\",\"zone\":\"a\",\"machineType\":\"{}\",\
                 \"cell\":1,\"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{}}}",
                worker.address, worker.kind, worker.lifecycle, worker.started_at_ms
            );
            delivered.push(DeliveredEntry {
                at_ns: 0,
                router,
                worker: name.clone(),
                lifecycle: worker.lifecycle,
                started_at_ms: worker.started_at_ms,
            });
        }
        text.push_str("]}");
        (text, delivered)
    }
}

async fn serve(
    stream: TcpStream,
    router: usize,
    table: Arc<Mutex<Table>>,
    mut changed: watch::Receiver<u64>,
) -> Option<()> {
    let mut connection = Connection::new(stream);
    loop {
        let head = connection.head().await?;
        let target = head.first_line.split_whitespace().nth(1).unwrap_or_default().to_owned();
        let after = query(&target, "after");
        if let Some(after) = after {
            let wait = Duration::from_millis(query(&target, "wait_ms").unwrap_or(0));
            let _ = timeout(wait, changed.wait_for(|generation| *generation > after)).await;
        }
        while lock(&table).silent[router] {
            // A request that is pending when the agent falls silent is answered once it is no longer silent.
            changed.changed().await.ok()?;
        }
        let (text, mut delivered) = lock(&table).response(router, after);
        connection.answer("200 OK", &text).await?;
        let at_ns = monotonic_ns();
        delivered.iter_mut().for_each(|delivered| delivered.at_ns = at_ns);
        lock(&table).delivered.extend(delivered);
    }
}
