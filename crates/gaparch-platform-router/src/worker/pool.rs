//! The pool of idle connections to workers. The most recently used is reused first.

use crate::buffered_socket::BufferedSocket;
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

/// Most idle connections to one worker.
const MAX_IDLE_PER_WORKER: usize = 32;
/// Part of a worker's own idle time-out after which a connection is not reused: a request on it could end in a reset.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Idle time-out where the settings state none of the workers'.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long idle connections are not reused after one has broken under a request before any response. On a network that drops
/// them a quarter of the requests on them were reset, of those on new ones one in twenty.
const REUSE_BACKOFF: Duration = Duration::from_secs(2);
/// How long a connection is not reused after a request. Bytes that belong to no message may follow a response some
/// milliseconds late, and would be taken for the response to the next request.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// A worker that has not responded for so long is forgotten here; the endpoint list brings it back.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Capacity that the table of a worker without idle connections keeps.
const MIN_IDLE_CAPACITY: usize = 4;

/// One process of a worker. Another start or address is another process, whose connections are not these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct WorkerProcess {
    pub server: ServerId,
    pub address: SocketAddr,
    /// When it started, on the clock of the endpoint list.
    pub started_at: Nanos,
}

/// A connection with its permit of the descriptor budget.
#[derive(Debug)]
pub(crate) struct WorkerConnection {
    pub socket: BufferedSocket,
    pub process: WorkerProcess,
    /// How long it was idle before this use; `None` where it is new.
    pub idle_time: Option<Duration>,
    _permit: OwnedSemaphorePermit,
}

/// What the pool knows of a worker.
#[derive(Debug)]
struct Worker {
    process: WorkerProcess,
    last_response_at: Instant,
    /// In the order of their last use.
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
    /// When it may be reused.
    settled_at: Instant,
}

/// What the last exchange on a connection was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LastExchange {
    /// An attempt of a request, whose response may be followed by bytes some milliseconds late.
    Attempt(SendRisk),
    /// A call without a body, as a probe or a release.
    Call,
}

/// Connections to workers, within a budget of descriptors.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    workers: Mutex<HashMap<ServerId, Worker>>,
    permits: Arc<Semaphore>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    /// When an idle connection last broke under a request.
    last_break: Mutex<Option<Instant>>,
}

/// How many workers and idle connections the pool knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PoolSize {
    pub workers: usize,
    pub idle_connections: usize,
}

impl ConnectionPool {
    /// Creates a pool. `idle_close_ns` is the idle time-out of the workers.
    pub fn new(
        permits: Arc<Semaphore>,
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
            connect_timeout,
            idle_timeout,
            last_break: Mutex::default(),
        }
    }

    /// Returns a connection for what is sent: an idle one where that may be reused, else a new one.
    ///
    /// # Errors
    /// When a new connection can't be made.
    pub async fn get_for(
        &self,
        process: WorkerProcess,
        carries: SendRisk,
    ) -> Result<WorkerConnection, ConnectFailure> {
        if carries.may_reuse_connection() {
            self.get(process).await
        } else {
            self.connect(process).await
        }
    }

    /// Returns an idle connection that is still good, or a new one.
    ///
    /// # Errors
    /// When a new connection can't be made.
    pub async fn get(&self, process: WorkerProcess) -> Result<WorkerConnection, ConnectFailure> {
        if let Some(connection) = self.take_idle(process) {
            // A close or bytes that have arrived are not noticed before the poller runs once more.
            tokio::task::yield_now().await;
            if connection.socket.is_quiet() {
                return Ok(connection);
            }
        }
        self.connect(process).await
    }

    /// Makes a new connection. Where this machine lacks a descriptor, port or buffer it is retried within the connect time-out.
    ///
    /// # Errors
    /// When no connection was made within the time-out.
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

    /// Makes one attempt of a new connection, with a second one beside it if the first is slow.
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
        let socket = BufferedSocket::new(stream);
        Ok(WorkerConnection { socket, process, idle_time: None, _permit: permit })
    }

    /// Takes the most recently used idle connection that is still good; `None` where there is none, or while connections
    /// break elsewhere.
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
            if worker.idle[index].settled_at > Instant::now() {
                continue;
            }
            // One that is not good is dropped, and so closed.
            let IdleConnection { mut connection, since, .. } = worker.idle.remove(index);
            let idle_time = since.elapsed();
            if idle_time < self.idle_timeout && connection.socket.is_quiet() {
                connection.idle_time = Some(idle_time);
                return Some(connection);
            }
        }
        None
    }

    /// Returns a permit for a new connection. Where none is left, the connection that is idle for longest is closed for it.
    fn permit(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
            return Some(permit);
        }
        self.close_longest_idle()?;
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }

    /// Closes the connection that is idle for longest at any worker; `None` where there is none.
    fn close_longest_idle(&self) -> Option<()> {
        let mut workers = lock(&self.workers);
        let with_idle = workers.values_mut().filter(|worker| !worker.idle.is_empty());
        let worker = with_idle.min_by_key(|worker| worker.idle[0].since)?;
        drop(worker.idle.remove(0));
        Some(())
    }

    /// Notes that a connection has broken before any response to a request on it.
    pub fn record_break(&self, connection: &WorkerConnection) {
        if connection.idle_time.is_some() {
            *lock(&self.last_break) = Some(Instant::now());
        }
    }

    /// Notes that a worker has responded.
    pub fn record_response(&self, process: WorkerProcess) {
        let mut workers = lock(&self.workers);
        let now = Instant::now();
        let worker = workers.entry(process.server).or_insert_with(|| Worker::new(process, now));
        if worker.process != process && worker.process.started_at <= process.started_at {
            *worker = Worker::new(process, now);
        }
        // The response of a process that another one has replaced says nothing of that.
        if worker.process == process {
            worker.last_response_at = now;
        }
    }

    /// Takes back a connection after a response, if it can be reused. Bytes behind the response belong to no message: the
    /// connection is closed.
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
            LastExchange::Attempt(carries) => (carries.idle_connections(MAX_IDLE_PER_WORKER), SETTLE_TIME),
            LastExchange::Call => (MAX_IDLE_PER_WORKER, Duration::ZERO),
        };
        let surplus = (worker.idle.len() + 1).saturating_sub(max_idle);
        worker.idle.drain(..surplus);
        let since = Instant::now();
        worker.idle.push(IdleConnection { connection, since, settled_at: since + settle_time });
    }

    /// Returns when that process last responded to anything, if it is known.
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

    /// Closes connections that are idle for too long or closed at the other side, and forgets workers that have not responded
    /// for long.
    pub fn remove_expired(&self) {
        let is_usable = |idle: &IdleConnection| {
            idle.since.elapsed() < self.idle_timeout && idle.connection.socket.is_quiet()
        };
        lock(&self.workers).retain(|_, worker| {
            worker.idle.retain(is_usable);
            worker.idle.shrink_to(MIN_IDLE_CAPACITY);
            !worker.idle.is_empty() || worker.last_response_at.elapsed() < FORGET_AFTER
        });
    }

    /// Returns how many workers and idle connections are known.
    pub fn size(&self) -> PoolSize {
        let workers = lock(&self.workers);
        let idle_connections = workers.values().map(|worker| worker.idle.len()).sum();
        PoolSize { workers: workers.len(), idle_connections }
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
