//! A catalogue that tells whole lists and changes, as the platform's protocol has it, and counts what that costs.

use super::super::layout;
use super::wire::{query, Connection};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::timeout;

/// A worker as the list names it.
#[derive(Clone, Debug)]
pub struct ListedWorker {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: &'static str,
    pub cell: usize,
    pub lifecycle: &'static str,
}

impl ListedWorker {
    /// The worker of that number, ready.
    pub fn new(number: usize, zones: usize, address: SocketAddr) -> ListedWorker {
        ListedWorker {
            id: ListedWorker::id_of(number),
            address,
            zone: layout::zone_name(layout::zone_of(number, zones)),
            kind: layout::KINDS[layout::kind_of(number)],
            cell: layout::cell_of(number),
            lifecycle: "ready",
        }
    }

    pub fn id_of(number: usize) -> String {
        format!("s-{:08x}", layout::digest(number))
    }

    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"{}\",\"cell\":{},\
             \"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":0}}",
            self.id, self.address, self.zone, self.kind, self.cell, self.lifecycle
        )
    }
}

/// The list, with the generation in which each entry last changed.
#[derive(Debug, Default)]
struct Table {
    generation: u64,
    entries: BTreeMap<String, (u64, ListedWorker)>,
    /// Changes before that one are not known any more: the whole list tells.
    since: u64,
    bytes: u64,
    calls: u64,
    whole_lists: u64,
    /// When a connection first said that it knows a generation, by connection.
    known: BTreeMap<u64, (u64, Instant)>,
    connections: u64,
    /// The text of the whole list in a generation.
    whole: Option<(u64, Arc<str>)>,
}

/// What the catalogue has told so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct CatalogueCounts {
    pub bytes: u64,
    pub calls: u64,
    pub whole_lists: u64,
}

/// The catalogue. Dropped, it stops with all its connections.
#[derive(Debug)]
pub struct ScaleCatalogue {
    pub address: SocketAddr,
    table: Arc<Mutex<Table>>,
    changed: watch::Sender<u64>,
    serving: JoinHandle<()>,
}

impl Drop for ScaleCatalogue {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

fn lock(table: &Mutex<Table>) -> MutexGuard<'_, Table> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ScaleCatalogue {
    /// # Errors
    /// When no address is to be had.
    pub async fn start(workers: Vec<ListedWorker>) -> io::Result<ScaleCatalogue> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let entries = workers.into_iter().map(|worker| (worker.id.clone(), (1, worker))).collect();
        let table = Arc::new(Mutex::new(Table { generation: 1, since: 1, entries, ..Table::default() }));
        let changed = watch::Sender::new(1);
        let (of_task, signal) = (Arc::clone(&table), changed.clone());
        let serving = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(stream, Arc::clone(&of_task), signal.subscribe()));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(ScaleCatalogue { address, table, changed, serving })
    }

    /// Sets the lifecycle of some workers, all in one generation; which one that is.
    pub fn set(&self, workers: &[String], lifecycle: &'static str) -> u64 {
        let mut table = lock(&self.table);
        table.generation += 1;
        let generation = table.generation;
        for id in workers {
            if let Some((changed, worker)) = table.entries.get_mut(id) {
                (*changed, worker.lifecycle) = (generation, lifecycle);
            }
        }
        drop(table);
        self.changed.send_replace(generation);
        generation
    }

    /// Forgets its changes, as after an outage: every watch is told the whole list next.
    pub fn forget_changes(&self) -> u64 {
        let mut table = lock(&self.table);
        table.generation += 1;
        table.since = table.generation;
        let generation = table.generation;
        drop(table);
        self.changed.send_replace(generation);
        generation
    }

    pub fn counts(&self) -> CatalogueCounts {
        let table = lock(&self.table);
        CatalogueCounts { bytes: table.bytes, calls: table.calls, whole_lists: table.whole_lists }
    }

    /// Bytes of the whole list.
    pub fn whole_bytes(&self) -> usize {
        lock(&self.table).whole_text().len()
    }

    /// Waits until so many routers have asked for what is newer than a generation, and so know it; when the last did.
    pub async fn known_by(&self, generation: u64, routers: usize, within: Duration) -> Option<Instant> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let known: Vec<Instant> = {
                let table = lock(&self.table);
                let of = table.known.values().filter(|(known, _)| *known >= generation);
                of.map(|(_, at)| *at).collect()
            };
            if known.len() >= routers {
                return known.into_iter().max();
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        None
    }
}

impl Table {
    /// The whole list, made once a generation.
    fn whole_text(&mut self) -> Arc<str> {
        if let Some((_, text)) = self.whole.as_ref().filter(|(generation, _)| *generation == self.generation)
        {
            return Arc::clone(text);
        }
        let text: Arc<str> = self.text(None).into();
        self.whole = Some((self.generation, Arc::clone(&text)));
        text
    }

    /// A connection asks for what is newer than a generation.
    fn note_known(&mut self, connection: u64, generation: u64) {
        let known = self.known.entry(connection).or_insert((0, Instant::now()));
        if generation > known.0 {
            *known = (generation, Instant::now());
        }
    }

    /// The answer to a call that knows so much, and whether it is the whole list.
    fn answer(&mut self, after: Option<u64>) -> (Arc<str>, bool) {
        match after.filter(|after| *after >= self.since) {
            Some(after) => (self.text(Some(after)).into(), false),
            None => (self.whole_text(), true),
        }
    }

    fn text(&self, after: Option<u64>) -> String {
        let mut text =
            format!("{{\"generation\":{},\"reset\":{},\"instances\":[", self.generation, after.is_none());
        let told = self.entries.values().filter(|(changed, worker)| match after {
            Some(after) => *changed > after,
            None => worker.lifecycle != "gone",
        });
        for (number, (_, worker)) in told.enumerate() {
            // Writing to a text does not fail.
            let _ = write!(text, "{}{}", if number > 0 { "," } else { "" }, worker.json());
        }
        text.push_str("]}");
        text
    }
}

async fn serve(stream: TcpStream, table: Arc<Mutex<Table>>, mut changed: watch::Receiver<u64>) {
    let mut connection = Connection::new(stream);
    let number = {
        let mut table = lock(&table);
        table.connections += 1;
        table.connections
    };
    while let Some(head) = connection.head().await {
        let target = head.first_line.split_whitespace().nth(1).unwrap_or_default().to_owned();
        let after = query(&target, "after");
        if let Some(after) = after {
            lock(&table).note_known(number, after);
            let wait = Duration::from_millis(query(&target, "wait_ms").unwrap_or(0));
            let _ = timeout(wait, changed.wait_for(|generation| *generation > after)).await;
        }
        let text = {
            let mut table = lock(&table);
            let (text, whole) = table.answer(after);
            table.calls += 1;
            table.bytes += text.len() as u64;
            table.whole_lists += u64::from(whole);
            text
        };
        if connection.answer("200 OK", &text).await.is_none() {
            break;
        }
    }
    lock(&table).known.remove(&number);
}

/// One hollow watcher: takes the whole list, then watches for as long as the catalogue stays.
pub async fn watch_once(address: SocketAddr) {
    let Ok(stream) = TcpStream::connect(address).await else { return };
    let mut connection = Connection::new(stream);
    let mut call = "GET /catalog/members HTTP/1.1\r\nHost: c\r\n\r\n".to_owned();
    loop {
        if connection.write(call.as_bytes()).await.is_none() {
            return;
        }
        let Some(head) = connection.head().await else { return };
        let Some(body) = connection.body(head.length).await else { return };
        let text = String::from_utf8_lossy(&body[..body.len().min(64)]).into_owned();
        let digits = text.split("\"generation\":").nth(1).unwrap_or_default();
        let generation: String = digits.chars().take_while(char::is_ascii_digit).collect();
        call = format!("GET /catalog/members?after={generation}&wait_ms=20000 HTTP/1.1\r\nHost: c\r\n\r\n");
    }
}
