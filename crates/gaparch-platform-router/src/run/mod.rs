//! Startup, signal handling and shutdown of a router.

mod reload;
mod shutdown;

use crate::client;
use crate::core_config::core_config;
use crate::descriptor_budget::DescriptorBudget;
use crate::discovery::{self, Subscription};
use crate::event_loop;
use crate::gossip::{self, GossipSocket};
use crate::owner::Owner;
use crate::shared_state::SharedState;
use crate::timeouts::connect_timeout;
use crate::transient_errors::connect_failure;
use crate::worker::ConnectionPool;
use gaparch_net::{Clock, Signal, Signals};
use gaparch_platform_protocol::config::{ConfigError, RouterConfig};
use gaparch_scheduler::policy::connect::ConnectFailure;
use reload::Reload;
use shutdown::shut_down;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

/// How long binding an address is retried at startup.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between two attempts to bind an address.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Capacity of the channel from the signal handler to the router.
const COMMAND_QUEUE_LENGTH: usize = 4;

/// Why a router can't start or continue.
#[derive(Debug, Error)]
pub enum RouterError {
    /// The configuration file can't be read.
    #[error("{file}: {source}")]
    Read {
        /// Path of the file.
        file: String,
        /// The operating system error.
        source: io::Error,
    },
    /// The configuration file has an invalid field.
    #[error("{file}: {source}")]
    Config {
        /// Path of the file.
        file: String,
        /// The field and what is invalid about it.
        source: ConfigError,
    },
    /// An address can't be bound.
    #[error("can't listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system error.
        source: io::Error,
    },
    /// The signal handlers can't be installed.
    #[error("can't install signal handlers: {0}")]
    Signals(io::Error),
    /// The task that owns the scheduler has ended, so no request can be answered.
    #[error("the scheduler task has ended{}", .0.as_ref().map(|reason| format!(": {reason}")).unwrap_or_default())]
    OwnerEnded(Option<String>),
}

/// A command to a running router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Reload the configuration, as on SIGHUP.
    Reload,
    /// Finish open requests and exit, as on SIGTERM.
    Shutdown,
}

/// Runs a router with the configuration in `file` until the process receives SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error if the file can't be used, an address can't be bound, or the scheduler task ends.
pub async fn run(file: PathBuf) -> Result<(), RouterError> {
    // Signals must be handled before the router reports that it is ready: a signal must not kill it from then
    // on.
    let signals = Signals::install(&[Signal::Terminate, Signal::Hangup]).map_err(RouterError::Signals)?;
    let (commands, receiver) = mpsc::channel(COMMAND_QUEUE_LENGTH);
    tokio::spawn(async move {
        loop {
            let command = match signals.next().await {
                Signal::Hangup => Command::Reload,
                Signal::Terminate | Signal::Interrupt => Command::Shutdown,
            };
            if commands.send(command).await.is_err() {
                return;
            }
        }
    });
    serve(file, receiver).await
}

/// Runs a router with the configuration in `file` until it receives [`Command::Shutdown`] or all senders are
/// gone. Reload commands are carried out until it has shut down.
///
/// # Errors
/// Returns an error if the file can't be used, an address can't be bound, or the scheduler task ends.
pub async fn serve(file: PathBuf, mut commands: mpsc::Receiver<Command>) -> Result<(), RouterError> {
    let started_at = Instant::now();
    let config = load_config(&file)?;
    let mut router = Router::start(config, started_at).await?;
    let mut reload = Reload::new(file, Arc::clone(&router.shared), router.discovery.clone());
    loop {
        tokio::select! {
            command = next_command(&mut commands, &mut router.owner) => match command? {
                Command::Reload => reload.start(),
                Command::Shutdown => break,
            },
            () = reload.next_attempt_due() => reload.attempt(),
        }
    }
    tokio::select! {
        () = shut_down(router) => {}
        never = reload.follow(commands) => match never {},
    }
    Ok(())
}

fn load_config(file: &Path) -> Result<RouterConfig, RouterError> {
    let name = file.display().to_string();
    let json = std::fs::read(file).map_err(|source| RouterError::Read { file: name.clone(), source })?;
    let fallback = |field: &str| std::env::var(format!("ROUTER_{}", field.to_uppercase())).ok();
    RouterConfig::from_json(&json, fallback).map_err(|source| RouterError::Config { file: name, source })
}

/// A running router.
struct Router {
    shared: Arc<SharedState>,
    /// The address of the discovery service.
    discovery: watch::Sender<SocketAddr>,
    /// The task that owns the scheduler.
    owner: JoinHandle<()>,
    /// The task that accepts client connections.
    listener: JoinHandle<()>,
    /// Permits for client connections; each connection holds one.
    client_permits: Arc<Semaphore>,
    max_clients: usize,
}

impl Router {
    /// Binds the addresses and starts all tasks.
    async fn start(config: RouterConfig, started_at: Instant) -> Result<Router, RouterError> {
        let listener = bind(config.listen)
            .await
            .map_err(|source| RouterError::Listen { address: config.listen, source })?;
        let gossip_socket = bind_gossip(&config).await?;
        let budget = DescriptorBudget::new(config.sockets);
        log_start(&config, &budget);

        let connect_timeout = connect_timeout(&config.settings.scheduler);
        let idle_close_ns = config.idle_close_ns;
        let core_config = core_config(&config);
        let discovery = watch::Sender::new(config.discovery);
        let (owner_sender, messages) = mpsc::unbounded_channel();
        let shared = Arc::new(SharedState::new(config, Clock::default(), owner_sender, budget.max_clients));
        let pool = Arc::new(ConnectionPool::new(
            Arc::clone(&budget.workers),
            shared.memory.worker_buffers.clone(),
            connect_timeout,
            idle_close_ns,
        ));

        let (gossip_sender, gossip_messages) = mpsc::channel(gossip::QUEUE_LENGTH);
        if let Some(socket) = &gossip_socket {
            tokio::spawn(Arc::clone(socket).receive(gossip_sender));
        }
        tokio::spawn(event_loop::monitor(Arc::clone(&shared)));
        let subscription = watch::Sender::new(Subscription::default());
        let following =
            discovery::follow(discovery.subscribe(), subscription.subscribe(), Arc::clone(&shared));
        tokio::spawn(following);
        tokio::spawn(discovery::report_ready_without_list(started_at, Arc::clone(&shared)));
        let owner = Owner::new(core_config, Arc::clone(&shared), pool, gossip_socket, subscription);
        Ok(Router {
            owner: tokio::spawn(owner.run(messages, gossip_messages)),
            client_permits: Arc::clone(&budget.clients),
            max_clients: budget.max_clients,
            listener: tokio::spawn(client::accept(listener, budget, Arc::clone(&shared))),
            shared,
            discovery,
        })
    }
}

fn log_start(config: &RouterConfig, budget: &DescriptorBudget) {
    tracing::info!(
        name = %config.name,
        listen = %config.listen,
        sockets = config.sockets,
        clients = budget.max_clients,
        workers = budget.max_workers,
        "starting"
    );
    log_diagnostics(config);
}

fn log_diagnostics(config: &RouterConfig) {
    for diagnostic in &config.diagnostics {
        tracing::warn!("{diagnostic}");
    }
}

/// Binds an address. It may briefly be in use or not exist yet at startup, so this is retried.
async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let until = Instant::now() + LISTEN_TIMEOUT;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if connect_failure(&error) == ConnectFailure::Local && Instant::now() < until => {
                sleep(LISTEN_RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

/// Binds the gossip address if the settings allow gossip.
async fn bind_gossip(config: &RouterConfig) -> Result<Option<Arc<GossipSocket>>, RouterError> {
    let addresses = config.gossip.clone().filter(|_| config.settings.scheduler.can_gossip);
    let Some(addresses) = addresses else { return Ok(None) };
    let address = addresses.listen;
    let socket = GossipSocket::bind(addresses).await;
    socket.map(Some).map_err(|source| RouterError::Listen { address, source })
}

/// Returns the next command, or [`Command::Shutdown`] once all senders are gone.
///
/// # Errors
/// Returns an error if the owner has ended: without it no request can be answered, and the process supervisor
/// has to notice.
async fn next_command(
    commands: &mut mpsc::Receiver<Command>,
    owner: &mut JoinHandle<()>,
) -> Result<Command, RouterError> {
    tokio::select! {
        command = commands.recv() => Ok(command.unwrap_or(Command::Shutdown)),
        ended = owner => Err(RouterError::OwnerEnded(ended.err().map(|error| error.to_string()))),
    }
}

#[cfg(test)]
#[path = "run_tests.rs"]
mod tests;
