//! The pool of idle connections to workers. The most recently used connection is reused first.

use crate::buffered_socket::{BufferMemory, BufferedSocket};
use crate::sync::lock;
use crate::transient_errors::connect_failure;
use gaparch_platform_protocol::head::ResponseHead;
use gaparch_scheduler::api::{Nanos, ServerId};
use gaparch_scheduler::policy::connect::{hedge_connection_after, ConnectFailure, SendRisk, RETRY_INTERVAL};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};

/// Maximum number of idle connections to one worker.
const MAX_IDLE_PER_WORKER: usize = 32;
/// Share of a worker's own idle timeout after which a connection is no longer reused, since a request on it
/// could be reset.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Idle timeout if the settings do not specify that of the workers.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long idle connections are not reused after one has broken before the response to a request. On a
/// network that drops idle connections, a quarter of the requests on them were reset, compared with one in
/// twenty on new connections.
const REUSE_BACKOFF: Duration = Duration::from_secs(2);
/// How long a connection is not reused after a request. Stray bytes may follow a response some milliseconds
/// later and would be taken for the response to the next request.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// A worker without a response for this long is removed from the pool, unless it has idle connections. It is
/// added again when it next responds.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// One process of a worker. A different start time or address means a different process, with connections of
/// its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct WorkerProcess {
    pub server: ServerId,
    pub address: SocketAddr,
    /// When the process started, according to the endpoint list.
    pub started_at: Nanos,
}

/// A connection with its permit from the descriptor budget.
#[derive(Debug)]
pub(crate) struct WorkerConnection {
    pub socket: BufferedSocket,
    pub process: WorkerProcess,
    /// How long the connection was idle before this use; `None` if it is new.
    pub idle_time: Option<Duration>,
    _permit: OwnedSemaphorePermit,
}

/// A worker known to the pool.
#[derive(Debug)]
struct Worker {
    process: WorkerProcess,
    last_response_at: Instant,
    /// In order of last use.
    idle: Vec<IdleConnection>,
}

impl Worker {
    fn new(process: WorkerProcess, last_response_at: Instant) -> Worker {
        Worker { process, last_response_at, idle: Vec::new() }
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: WorkerConnection,
    since: Instant,
    /// When the connection may be reused.
    reusable_at: Instant,
}

/// The kind of the last exchange on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LastExchange {
    /// An attempt, whose response may be followed by stray bytes some milliseconds later.
    Attempt(SendRisk),
    /// A call without a body, such as a probe or a release.
    Call,
}

/// Connections to workers, within a descriptor budget.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    workers: Mutex<HashMap<ServerId, Worker>>,
    permits: Arc<Semaphore>,
    buffer_memory: BufferMemory,
    connect_timeout: Duration,
    idle_timeout: Duration,
    /// When a reused connection last broke before the response to a request.
    last_break: Mutex<Option<Instant>>,
}

/// Numbers of workers and idle connections in the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PoolSize {
    pub workers: usize,
    pub idle_connections: usize,
}

impl ConnectionPool {
    /// Creates a pool. `idle_close_ns` is the idle timeout of the workers.
    pub fn new(
        permits: Arc<Semaphore>,
        buffer_memory: BufferMemory,
        connect_timeout: Duration,
        idle_close_ns: Option<u64>,
    ) -> ConnectionPool {
        let idle_timeout = match idle_close_ns {
            Some(nanos) => Duration::from_nanos(nanos).mul_f64(IDLE_TIMEOUT_SHARE),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        ConnectionPool {
            workers: Mutex::default(),
            permits,
            buffer_memory,
            connect_timeout,
            idle_timeout,
            last_break: Mutex::default(),
        }
    }

    /// Returns a connection for a message with this risk: an idle one if it may be reused, otherwise a new
    /// one.
    ///
    /// # Errors
    /// Returns an error if a new connection can't be established.
    pub async fn get_for(
        &self,
        process: WorkerProcess,
        send_risk: SendRisk,
    ) -> Result<WorkerConnection, ConnectFailure> {
        if send_risk.may_reuse_connection() {
            self.get(process).await
        } else {
            self.connect(process).await
        }
    }

    /// Returns a usable idle connection, or a new one.
    ///
    /// # Errors
    /// Returns an error if a new connection can't be established.
    pub async fn get(&self, process: WorkerProcess) -> Result<WorkerConnection, ConnectFailure> {
        if let Some(connection) = self.take_idle(process) {
            // Yield so that the poller runs and notices a close or stray bytes that have already arrived.
            tokio::task::yield_now().await;
            if connection.socket.is_quiet() {
                return Ok(connection);
            }
        }
        self.connect(process).await
    }

    /// Establishes a new connection. If this machine lacks a descriptor, port or buffer, it is retried within
    /// the connect timeout.
    ///
    /// # Errors
    /// Returns an error if no connection is established within the timeout.
    pub async fn connect(&self, process: WorkerProcess) -> Result<WorkerConnection, ConnectFailure> {
        let mut last_failure = ConnectFailure::Remote;
        let attempts = async {
            loop {
                last_failure = match self.connect_hedged(process).await {
                    Err(failure) if failure.is_retryable() => failure,
                    result => return result,
                };
                sleep(Duration::from_nanos(RETRY_INTERVAL)).await;
            }
        };
        let result = timeout(self.connect_timeout, attempts).await;
        result.unwrap_or(Err(last_failure))
    }

    /// Tries to connect, and starts a second attempt in parallel if the first one is slow.
    async fn connect_hedged(&self, process: WorkerProcess) -> Result<WorkerConnection, ConnectFailure> {
        let first = self.connect_once(process);
        tokio::pin!(first);
        let hedge_delay = hedge_connection_after(self.connect_timeout.as_nanos() as Nanos);
        tokio::select! {
            biased;
            result = &mut first => return result,
            () = sleep(Duration::from_nanos(hedge_delay)) => {}
        }
        let second = self.connect_once(process);
        tokio::pin!(second);
        tokio::select! {
            biased;
            result = &mut first => match result {
                Ok(connection) => Ok(connection),
                Err(failure) => second.await.map_err(|_| failure),
            },
            result = &mut second => match result {
                Ok(connection) => Ok(connection),
                Err(_) => first.await,
            },
        }
    }

    async fn connect_once(&self, process: WorkerProcess) -> Result<WorkerConnection, ConnectFailure> {
        let permit = self.permit().ok_or(ConnectFailure::Local)?;
        let stream = TcpStream::connect(process.address).await.map_err(|error| connect_failure(&error))?;
        let socket = BufferedSocket::new(stream, self.buffer_memory.clone());
        Ok(WorkerConnection { socket, process, idle_time: None, _permit: permit })
    }

    /// Takes the most recently used idle connection that is still usable. Returns `None` if there is none, or
    /// if a reused connection to any worker broke recently.
    pub fn take_idle(&self, process: WorkerProcess) -> Option<WorkerConnection> {
        let broke_recently = lock(&self.last_break).is_some_and(|at| at.elapsed() < REUSE_BACKOFF);
        if broke_recently {
            return None;
        }
        let mut workers = lock(&self.workers);
        let worker = workers.get_mut(&process.server).filter(|worker| worker.process == process)?;
        let mut index = worker.idle.len();
        while index > 0 {
            index -= 1;
            if worker.idle[index].reusable_at > Instant::now() {
                continue;
            }
            // An unusable connection is dropped, which closes it.
            let IdleConnection { mut connection, since, .. } = worker.idle.remove(index);
            let idle_time = since.elapsed();
            if idle_time < self.idle_timeout && connection.socket.is_quiet() {
                connection.idle_time = Some(idle_time);
                return Some(connection);
            }
        }
        None
    }

    /// Returns a permit for a new connection. If none is left, closes the connection that has been idle
    /// longest.
    fn permit(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
            return Some(permit);
        }
        self.close_longest_idle()?;
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }

    /// Closes the connection that has been idle longest at any worker; returns `None` if there is no idle
    /// connection.
    fn close_longest_idle(&self) -> Option<()> {
        let mut workers = lock(&self.workers);
        let with_idle = workers.values_mut().filter(|worker| !worker.idle.is_empty());
        let worker = with_idle.min_by_key(|worker| worker.idle[0].since)?;
        drop(worker.idle.remove(0));
        Some(())
    }

    /// Records that a connection broke before the response to a request.
    pub fn record_break(&self, connection: &WorkerConnection) {
        if connection.idle_time.is_some() {
            *lock(&self.last_break) = Some(Instant::now());
        }
    }

    /// Records that a worker responded.
    pub fn record_response(&self, process: WorkerProcess) {
        let mut workers = lock(&self.workers);
        let now = Instant::now();
        let worker = workers.entry(process.server).or_insert_with(|| Worker::new(process, now));
        if worker.process != process && worker.process.started_at <= process.started_at {
            *worker = Worker::new(process, now);
        }
        // A response from a replaced process says nothing about its successor.
        if worker.process == process {
            worker.last_response_at = now;
        }
    }

    /// Returns a connection to the pool after a response if it can be reused. A connection with stray bytes
    /// behind the response is closed.
    pub fn put(&self, mut connection: WorkerConnection, response: &ResponseHead, exchange: LastExchange) {
        if response.close || !connection.socket.buffer.is_empty() {
            return;
        }
        connection.socket.shrink_buffer();
        let process = connection.process;
        let mut workers = lock(&self.workers);
        let worker = workers.get_mut(&process.server).filter(|worker| worker.process == process);
        let Some(worker) = worker else { return };
        let (max_idle, settle_time) = match exchange {
            LastExchange::Attempt(send_risk) => {
                (send_risk.idle_connections(MAX_IDLE_PER_WORKER), SETTLE_TIME)
            }
            LastExchange::Call => (MAX_IDLE_PER_WORKER, Duration::ZERO),
        };
        let surplus = (worker.idle.len() + 1).saturating_sub(max_idle);
        worker.idle.drain(..surplus);
        let since = Instant::now();
        worker.idle.push(IdleConnection { connection, since, reusable_at: since + settle_time });
    }

    /// Returns when this process last responded, if it is known.
    pub fn last_response_at(&self, process: WorkerProcess) -> Option<Instant> {
        let workers = lock(&self.workers);
        let worker = workers.get(&process.server).filter(|worker| worker.process == process)?;
        Some(worker.last_response_at)
    }

    /// Closes the idle connections to a worker.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(worker) = lock(&self.workers).get_mut(&server) {
            worker.idle.clear();
        }
    }

    /// Closes connections that have been idle too long or were closed by the worker. Removes workers that are no
    /// longer listed, and those without idle connections that have not responded for [`FORGET_AFTER`].
    pub fn remove_expired(&self, is_listed: impl Fn(ServerId) -> bool) {
        let is_usable = |idle: &IdleConnection| {
            idle.since.elapsed() < self.idle_timeout && idle.connection.socket.is_quiet()
        };
        let mut workers = lock(&self.workers);
        workers.retain(|server, worker| {
            worker.idle.retain(is_usable);
            // Few of many workers have idle connections: the others need no memory for them.
            worker.idle.shrink_to_fit();
            let is_recent = !worker.idle.is_empty() || worker.last_response_at.elapsed() < FORGET_AFTER;
            is_recent && is_listed(*server)
        });
    }

    /// Returns the numbers of workers and idle connections.
    pub fn size(&self) -> PoolSize {
        let workers = lock(&self.workers);
        let idle_connections = workers.values().map(|worker| worker.idle.len()).sum();
        PoolSize { workers: workers.len(), idle_connections }
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
