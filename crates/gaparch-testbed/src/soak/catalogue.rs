//! The list of workers, told to each router by an agent of its own, which can fall silent.

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

/// A worker as it is listed.
#[derive(Clone, Debug)]
pub struct Listed {
    pub address: SocketAddr,
    pub kind: &'static str,
    pub lifecycle: &'static str,
    /// Unix time of its process's start in milliseconds; 0: long ago.
    pub started_at_ms: u64,
}

/// A state of one worker that one router was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    pub at_ns: u64,
    pub router: usize,
    pub worker: String,
    pub lifecycle: &'static str,
    pub started_at_ms: u64,
}

#[derive(Debug, Default)]
struct Table {
    generation: u64,
    entries: BTreeMap<String, (u64, Listed)>,
    /// Agents that say nothing.
    silent: Vec<bool>,
    told: Vec<Told>,
    whole_lists: bool,
}

/// The catalogue. Dropped, it stops.
#[derive(Debug)]
pub struct Catalogue {
    /// Of each router's agent.
    pub addresses: Vec<SocketAddr>,
    table: Arc<Mutex<Table>>,
    changed: watch::Sender<u64>,
    serving: Vec<JoinHandle<()>>,
}

impl Drop for Catalogue {
    fn drop(&mut self) {
        self.serving.iter().for_each(JoinHandle::abort);
    }
}

fn lock(table: &Mutex<Table>) -> MutexGuard<'_, Table> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Catalogue {
    /// # Errors
    /// When no addresses are to be had.
    pub async fn start(workers: BTreeMap<String, Listed>, routers: usize) -> io::Result<Catalogue> {
        let entries = workers.into_iter().map(|(name, listed)| (name, (1, listed))).collect();
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
        Ok(Catalogue { addresses, table, changed, serving })
    }

    /// Changes the entry of a worker.
    pub fn set(&self, worker: &str, change: impl FnOnce(&mut Listed)) {
        let mut table = lock(&self.table);
        table.generation += 1;
        let generation = table.generation;
        if let Some((changed, listed)) = table.entries.get_mut(worker) {
            *changed = generation;
            change(listed);
        }
        drop(table);
        self.changed.send_replace(generation);
    }

    /// The agent of a router says nothing from now on, or speaks again.
    pub fn silence(&self, router: usize, silent: bool) {
        lock(&self.table).silent[router] = silent;
        // Whoever waits looks again.
        self.changed.send_modify(|_| {});
    }

    /// Changes are told as whole lists.
    pub fn tell_whole_lists(&self, whole: bool) {
        lock(&self.table).whole_lists = whole;
    }

    pub fn told(&self) -> Vec<Told> {
        lock(&self.table).told.clone()
    }
}

impl Table {
    /// The answer to a call that knows so much, and what it tells.
    fn answer(&self, router: usize, after: Option<u64>) -> (String, Vec<Told>) {
        let after = after.filter(|after| !self.whole_lists || *after == self.generation);
        let mut text =
            format!("{{\"generation\":{},\"reset\":{},\"instances\":[", self.generation, after.is_none());
        let mut told = Vec::new();
        for (name, (changed, listed)) in &self.entries {
            if after.is_some_and(|after| *changed <= after) {
                continue;
            }
            let comma = if told.is_empty() { "" } else { "," };
            // Writing to a text does not fail.
            let _ = write!(
                text,
                "{comma}{{\"instanceId\":\"{name}\",\"hostPort\":\"{}\",\"zone\":\"a\",\"machineType\":\"{}\",\
                 \"cell\":1,\"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{}}}",
                listed.address, listed.kind, listed.lifecycle, listed.started_at_ms
            );
            told.push(Told {
                at_ns: 0,
                router,
                worker: name.clone(),
                lifecycle: listed.lifecycle,
                started_at_ms: listed.started_at_ms,
            });
        }
        text.push_str("]}");
        (text, told)
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
            // A connection on which it fell silent stays silent until it speaks again.
            changed.changed().await.ok()?;
        }
        let (text, mut told) = lock(&table).answer(router, after);
        connection.answer("200 OK", &text).await?;
        let at_ns = monotonic_ns();
        told.iter_mut().for_each(|told| told.at_ns = at_ns);
        lock(&table).told.extend(told);
    }
}
