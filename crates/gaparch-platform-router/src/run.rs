//! Start, signals and end.

use crate::budget::Budget;
use crate::client;
use crate::discovery::{self, Wanted};
use crate::owner::Owner;
use crate::peers::{self, PeerSocket};
use crate::settings::{connect_within, core_config};
use crate::shared::{Message, Phase, Shared};
use crate::transient::connect_failure;
use crate::worker::Pool;
use gaparch_net::{Clock, Signal, Signals};
use gaparch_platform_protocol::config::{ConfigError, NodeConfig};
use gaparch_scheduler::policy::connect::ConnectFailure;
use gaparch_scheduler::policy::shutdown_intake::{ACCEPT_CONNECTIONS_FOR, ACCEPT_REQUESTS_FOR};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// For what runs when nothing new is taken any more. Whoever ends the process does so when he will; a stream may take a minute.
const FINISH: Duration = Duration::from_secs(90);
/// For clients' connections to end after the last answer was given, however late that was.
const LAST_WORDS: Duration = Duration::from_millis(500);

/// How long a configuration that can't be read is tried, and how often. The old catalogue closes 1.5 s after the order.
const RELOAD_FOR: Duration = Duration::from_secs(3);
const RELOAD_AGAIN: Duration = Duration::from_millis(100);
/// How long an address that can't be listened at is tried as a router starts, and how often.
const LISTEN_FOR: Duration = Duration::from_secs(5);
const LISTEN_AGAIN: Duration = Duration::from_millis(50);
/// Between two questions whether anything is open yet.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Why a router can't start.
#[derive(Debug, Error)]
pub enum NodeError {
    #[error("{file}: {source}")]
    Read { file: String, source: io::Error },
    #[error("{file}: {source}")]
    Config { file: String, source: ConfigError },
    #[error("can't listen at {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    #[error("signals: {0}")]
    Signals(io::Error),
    #[error("the task that decides has ended{}", .0.as_ref().map(|why| format!(": {why}")).unwrap_or_default())]
    NoOwner(Option<String>),
}

fn load(file: &Path) -> Result<NodeConfig, NodeError> {
    let name = file.display().to_string();
    let text = std::fs::read(file).map_err(|source| NodeError::Read { file: name.clone(), source })?;
    let fallback = |field: &str| std::env::var(format!("ROUTER_{}", field.to_uppercase())).ok();
    NodeConfig::read(&text, fallback).map_err(|source| NodeError::Config { file: name, source })
}

/// What whoever started a router tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Read the configuration again, as on SIGHUP.
    Reload,
    /// Finish what is open and end, as on SIGTERM.
    End,
}

/// Runs a router by the platform's configuration until the process is told to end.
///
/// # Errors
/// When the file can't be used or an address can't be listened at.
pub async fn run(file: PathBuf) -> Result<(), NodeError> {
    // Before anybody can hear that this router is ready, a signal must not end it.
    let signals = Signals::hear(&[Signal::Terminate, Signal::Hangup]).map_err(NodeError::Signals)?;
    let (orders, taken) = mpsc::channel(4);
    tokio::spawn(async move {
        loop {
            let order = match signals.next().await {
                Signal::Hangup => Order::Reload,
                Signal::Terminate | Signal::Interrupt => Order::End,
            };
            if orders.send(order).await.is_err() {
                return;
            }
        }
    });
    serve(file, taken).await
}

/// Runs a router by the platform's configuration until it is ordered to end, or nobody is left who could.
///
/// # Errors
/// When the file can't be used or an address can't be listened at.
pub async fn serve(file: PathBuf, mut orders: mpsc::Receiver<Order>) -> Result<(), NodeError> {
    let config = load(&file)?;
    let no_listener = |address| move |source| NodeError::Listen { address, source };
    let listener = listen(config.listen).await.map_err(no_listener(config.listen))?;
    let peer_socket = match config.peers.clone().filter(|_| config.site.settings.can_gossip) {
        Some(peers) => {
            let address = peers.listen;
            Some(PeerSocket::bind(peers).await.map_err(no_listener(address))?)
        }
        None => None,
    };
    let budget = Budget::of(config.sockets);
    tracing::info!(
        name = %config.name,
        listen = %config.listen,
        sockets = config.sockets,
        clients = budget.most_clients,
        workers = budget.most_workers,
        "starting"
    );
    config.odd.iter().for_each(|line| tracing::warn!("{line}"));
    let connect_within = connect_within(&config.site.settings);
    let pool = Arc::new(Pool::new(Arc::clone(&budget.workers), connect_within, config.idle_close_ns));
    let (owner, messages) = mpsc::unbounded_channel();
    let core = core_config(&config);
    let discovery = watch::Sender::new(config.discovery);
    let shared = Arc::new(Shared::new(config, Clock::default(), owner, budget.most_clients));
    let (said, heard) = mpsc::channel(peers::WAITING);
    if let Some(peers) = &peer_socket {
        tokio::spawn(Arc::clone(peers).hear(said));
    }
    let wanted = watch::Sender::new(Wanted::default());
    tokio::spawn(discovery::follow(discovery.subscribe(), wanted.subscribe(), Arc::clone(&shared)));
    let owner = Owner::new(core, Arc::clone(&shared), pool, peer_socket, wanted);
    let mut deciding = tokio::spawn(owner.run(messages, heard));
    let clients = Arc::clone(&budget.clients);
    let most_clients = budget.most_clients;
    let accepting = tokio::spawn(client::accept(listener, budget, Arc::clone(&shared)));
    let mut reload = Reload { file, shared: Arc::clone(&shared), discovery, until: None };
    loop {
        let order = tokio::select! {
            order = next_order(&mut orders, &mut deciding) => order?,
            () = reload.due() => {
                reload.read();
                continue;
            }
        };
        match order {
            Order::Reload => reload.order(),
            Order::End => break,
        }
    }
    let told_to_end = Instant::now();
    // By the clock, whatever keeps this task busy until then.
    shared.tell(Message::StopAt(
        shared.clock.at((told_to_end + Duration::from_nanos(ACCEPT_REQUESTS_FOR)).into_std()),
    ));
    shared.phase.send_replace(Phase::Leaving);
    tracing::info!("ending: what is open is finished");
    sleep_until(told_to_end + Duration::from_nanos(ACCEPT_CONNECTIONS_FOR)).await;
    shared.phase.send_replace(Phase::Closing);
    let _ = accepting.await;
    finish(&shared, &clients, most_clients).await;
    tracing::info!("ended");
    Ok(())
}

/// The configuration that is to be read again.
struct Reload {
    file: PathBuf,
    shared: Arc<Shared>,
    discovery: watch::Sender<SocketAddr>,
    /// Until when it is tried, while it is ordered and could not be read.
    until: Option<Instant>,
}

impl Reload {
    /// It is ordered: whatever an earlier order has left is this one's.
    fn order(&mut self) {
        self.until = Some(Instant::now() + RELOAD_FOR);
        self.read();
    }

    /// Waits for the next try, if there is to be one.
    async fn due(&self) {
        match self.until {
            Some(_) => sleep(RELOAD_AGAIN).await,
            None => std::future::pending().await,
        }
    }

    /// Reads it. One that can't be read now, or is still being written, may be sound in a moment: where it is not, the
    /// last one stays in force.
    fn read(&mut self) {
        match load(&self.file) {
            Ok(new) => {
                self.until = None;
                self.take(new);
            }
            Err(error) if self.until.is_none_or(|until| Instant::now() >= until) => {
                self.until = None;
                tracing::error!(%error, "the configuration stays as it was");
            }
            Err(error) => tracing::debug!(%error, "the configuration is read again"),
        }
    }

    fn take(&self, new: NodeConfig) {
        tracing::info!(discovery = %new.discovery, "a new configuration");
        if new.site.settings != self.shared.config.site.settings {
            tracing::warn!("the settings have changed: they are taken at the next start");
            new.odd.iter().for_each(|line| tracing::warn!("{line}"));
        }
        self.discovery.send_replace(new.discovery);
    }
}

/// Listens at an address, which may be taken, or not be there, for a moment as a router starts.
async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let until = Instant::now() + LISTEN_FOR;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if connect_failure(&error) == ConnectFailure::Local && Instant::now() < until => {
                sleep(LISTEN_AGAIN).await;
            }
            done => return done,
        }
    }
}

/// The next order; the end where nobody is left who could give one.
///
/// # Errors
/// When the task that decides has ended: without it no request can be answered, and whoever watches the process has to
/// hear of it.
async fn next_order(
    orders: &mut mpsc::Receiver<Order>,
    deciding: &mut JoinHandle<()>,
) -> Result<Order, NodeError> {
    tokio::select! {
        order = orders.recv() => Ok(order.unwrap_or(Order::End)),
        ended = deciding => Err(NodeError::NoOwner(ended.err().map(|error| error.to_string()))),
    }
}

/// Waits for all that is open, within bounds: requests, what is held for them, and the answers on their way to clients.
async fn finish(shared: &Shared, clients: &Semaphore, most_clients: usize) {
    // What comes from now on is refused, and what came before is waited for.
    shared.tell(Message::StopAt(shared.clock.now()));
    let until = Instant::now() + FINISH;
    if timeout_at(until, nothing_open(shared)).await.is_err() {
        shared.tell(Message::StopNow);
    }
    // The last answers are with the clients' tasks, which may still be writing them, and take what comes on connections
    // that they have ended: unread bytes would reset these. Each of them has its own bounds.
    let until = until.max(Instant::now() + LAST_WORDS);
    let _ = timeout_at(until, clients.acquire_many(most_clients as u32)).await;
    // What was ended by force has left something behind.
    let _ = timeout_at(Instant::now() + LAST_WORDS, nothing_open(shared)).await;
}

/// Waits until no request and no release is open. Without an owner nothing is.
async fn nothing_open(shared: &Shared) {
    loop {
        let (reply, answer) = oneshot::channel();
        shared.tell(Message::Open(reply));
        if answer.await.unwrap_or(0) == 0 {
            return;
        }
        sleep(LOOK_EVERY).await;
    }
}

#[cfg(test)]
#[path = "run_tests.rs"]
mod tests;
