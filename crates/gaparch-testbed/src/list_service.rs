//! A list service to stand in for a real one: it pushes changes, goes silent, or fails.

use crate::record::{Record, What};
use gaparch_net::{Clock, FrameReader};
use gaparch_protocol::frame::encode;
use gaparch_protocol::list::{ListEntry, ListFrame, Scope, VERSION, VERSION_EPOCHS};
use gaparch_protocol::DEFAULT_MAX_FRAME;
use gaparch_scheduler::api::ServerState;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinHandle;

/// Routers served at once; more are closed.
const MOST_ROUTERS: usize = 1024;
/// Changes kept for routers that missed some; one that missed more gets the whole list.
const HISTORY: usize = 1024;

#[derive(Clone, Debug, Default)]
struct State {
    epoch: u64,
    version: u64,
    entries: BTreeMap<String, ListEntry>,
    history: Vec<(u64, ListEntry)>,
    silent: bool,
    failing: bool,
}

/// A running list service. It ends when this is dropped.
#[derive(Debug)]
pub struct ListService {
    address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    accepting: JoinHandle<()>,
}

/// What changes a list service from elsewhere.
#[derive(Clone, Debug)]
pub struct ListShare(Arc<watch::Sender<State>>);

impl ListShare {
    /// As [`ListService::state`].
    pub fn state(&self) -> (u64, u64, Vec<ListEntry>) {
        let state = self.0.borrow();
        (state.epoch, state.version, state.entries.values().cloned().collect())
    }

    /// As [`ListService::set`].
    pub fn set(&self, entry: ListEntry) {
        self.0.send_modify(|s| s.change(entry));
    }
}

impl State {
    fn change(&mut self, entry: ListEntry) {
        self.version += 1;
        self.history.push((self.version, entry.clone()));
        if self.history.len() > HISTORY {
            self.history.remove(0);
        }
        match entry.state {
            ServerState::Removed => drop(self.entries.remove(&entry.engine)),
            _ => drop(self.entries.insert(entry.engine.clone(), entry)),
        }
    }
}

impl Drop for ListService {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl ListService {
    /// Starts with these entries.
    ///
    /// # Errors
    /// When the address can't be listened at.
    pub async fn start(
        address: SocketAddr,
        entries: Vec<ListEntry>,
        clock: Clock,
        record: Record,
    ) -> io::Result<ListService> {
        let entries = entries.into_iter().map(|e| (e.engine.clone(), e)).collect();
        let state = State { epoch: clock.now(), version: 1, entries, ..State::default() };
        ListService::run(address, state, clock, record).await
    }

    /// Another one that knows what this one knows, under the same count, and hears of no change from now on.
    ///
    /// # Errors
    /// When the address can't be listened at.
    pub async fn replica(&self, address: SocketAddr, clock: Clock) -> io::Result<ListService> {
        let state = self.state.borrow().clone();
        ListService::run(address, state, clock, Record::default()).await
    }

    async fn run(address: SocketAddr, state: State, clock: Clock, record: Record) -> io::Result<ListService> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(state));
        let shared = Arc::clone(&state);
        let accepting = tokio::spawn(async move {
            let room = Arc::new(Semaphore::new(MOST_ROUTERS));
            let mut connections = tokio::task::JoinSet::new();
            loop {
                while connections.try_join_next().is_some() {}
                let Ok((socket, _)) = listener.accept().await else {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                };
                let Ok(permit) = Arc::clone(&room).try_acquire_owned() else { continue };
                let (states, record) = (shared.subscribe(), record.clone());
                connections.spawn(async move {
                    // An error ends this connection only.
                    let _ = serve(socket, states, clock, record).await;
                    drop(permit);
                });
            }
        });
        Ok(ListService { address, state, accepting })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What changes it from elsewhere.
    pub fn share(&self) -> ListShare {
        ListShare(Arc::clone(&self.state))
    }

    /// Its epoch and version, and all it lists.
    pub fn state(&self) -> (u64, u64, Vec<ListEntry>) {
        self.share().state()
    }

    /// Changes the state of an engine, or adds one.
    pub fn set(&self, entry: ListEntry) {
        self.share().set(entry);
    }

    /// Changes the state of an engine that is listed; false if it is not.
    pub fn set_state(&self, engine: &str, state: ServerState) -> bool {
        let entry = self.state.borrow().entries.get(engine).cloned();
        let known = entry.is_some();
        entry.into_iter().for_each(|entry| self.set(ListEntry { state, ..entry }));
        known
    }

    /// Says nothing any more while silent; then all at once.
    pub fn silent(&self, silent: bool) {
        self.state.send_modify(|s| s.silent = silent);
    }

    /// Counts from one again, as a service that lost what it had and was given its entries anew.
    pub fn restart(&self, clock: Clock) {
        self.state.send_modify(|s| {
            (s.epoch, s.version) = (clock.now(), 1);
            s.history.clear();
        });
    }

    /// Answers every call with a failure while failing.
    pub fn failing(&self, failing: bool) {
        self.state.send_modify(|s| s.failing = failing);
    }
}

async fn serve(
    socket: TcpStream,
    mut states: watch::Receiver<State>,
    clock: Clock,
    record: Record,
) -> Result<(), gaparch_net::ReadError> {
    socket.set_nodelay(true)?;
    let (read_half, mut writer) = socket.into_split();
    let mut reader = FrameReader::new(read_half, DEFAULT_MAX_FRAME);
    let (version, name) = match reader.read_one().await? {
        ListFrame::Hello { version, name, .. } if (VERSION..=VERSION_EPOCHS).contains(&version) => {
            (version, name)
        }
        _ => return Ok(()),
    };
    let mut bytes = bytes::BytesMut::new();
    let epoch = states.borrow_and_update().epoch;
    encode(&ListFrame::Hello { version, name: "list".to_owned(), epoch }, &mut bytes);
    writer.write_all(&bytes).await?;
    let (mut watching, mut told) = (false, 0);
    let mut frames = Vec::new();
    loop {
        let mut answers = Vec::new();
        tokio::select! {
            read = reader.read(&mut frames) => {
                read?;
                for frame in frames.drain(..) {
                    let state = states.borrow_and_update().clone();
                    match frame {
                        ListFrame::Watch(_) | ListFrame::Fetch if state.failing => {
                            answers.push(ListFrame::Failed { reason: "too busy".to_owned() });
                        }
                        ListFrame::Watch(on) => {
                            watching = on;
                            answers.push(since(&state, told));
                            told = state.version;
                        }
                        ListFrame::Fetch => {
                            answers.push(since(&state, 0));
                            told = state.version;
                        }
                        ListFrame::Bye { .. } => return Ok(()),
                        _ => return Ok(()),
                    }
                }
            }
            changed = states.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
            }
        }
        let state = states.borrow_and_update().clone();
        if state.epoch != epoch {
            // It has restarted: its connections went with it.
            return Ok(());
        }
        if state.silent {
            answers.clear();
        } else if watching && told < state.version {
            answers.push(since(&state, told));
            told = state.version;
        }
        for answer in answers {
            if let ListFrame::Update { entries, .. } = &answer {
                for entry in entries {
                    let (router, engine) = (name.clone(), entry.engine.clone());
                    record.add(clock.now(), What::Listed { router, engine, state: entry.state });
                }
            }
            bytes.clear();
            encode(&answer, &mut bytes);
            writer.write_all(&bytes).await?;
        }
    }
}

/// What has changed since a version: one change alone is a delta, anything else the whole list.
fn since(state: &State, told: u64) -> ListFrame {
    match state.history.last() {
        Some((version, entry)) if told > 0 && told + 1 == state.version && *version == state.version => {
            ListFrame::Update { scope: Scope::Delta, version: state.version, entries: vec![entry.clone()] }
        }
        _ => ListFrame::Update {
            scope: Scope::Full,
            version: state.version,
            entries: state.entries.values().cloned().collect(),
        },
    }
}
