//! Connections to workers that carry nothing now, the most recently used first.

use crate::link::Link;
use crate::shared::lock;
use crate::transient::connect_failure;
use gaparch_platform_protocol::head::AnswerHead;
use gaparch_scheduler::api::{Nanos, ServerId};
use gaparch_scheduler::policy::connect::{hedge_connection_after, ConnectFailure, SendRisk, RETRY_INTERVAL};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};

/// Idle connections to one worker.
const MOST_IDLE: usize = 32;
/// Of the time in which a worker closes an idle one: used later, a request on it could end in a reset.
const IDLE_SHARE: f64 = 0.6;
/// Where the settings do not tell that time.
const IDLE: Duration = Duration::from_secs(5);
/// After a kept connection has broken under a request before any answer, kept ones are left alone for so long: on a
/// network that drops them a quarter of the requests on them were reset, of those on new ones one in twenty.
const DISTRUST: Duration = Duration::from_secs(2);
/// Bytes that belong to nobody may follow an answer some milliseconds late. Read on a connection used again by then, they
/// would pass for the answer to the next request.
const SETTLE: Duration = Duration::from_millis(20);
/// A worker not heard from for so long is forgotten here; the list brings it back.
const FORGET: Duration = Duration::from_secs(60);

/// One process of a worker: another start or address is another process, whose connections are not these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Target {
    pub server: ServerId,
    pub address: SocketAddr,
    pub started: Nanos,
}

/// A connection with its place in the budget.
#[derive(Debug)]
pub(crate) struct Conn {
    pub link: Link,
    pub target: Target,
    /// How long it had stood idle; `None`: it is new.
    pub idle: Option<Duration>,
    _place: OwnedSemaphorePermit,
}

#[derive(Debug)]
struct Worker {
    target: Target,
    heard: Instant,
    idle: Vec<Kept>,
}

/// A connection that carries nothing now.
#[derive(Debug)]
struct Kept {
    conn: Conn,
    since: Instant,
    /// What may follow its last answer has come by then.
    settled_at: Instant,
}

/// What the last exchange on a connection was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LastExchange {
    /// An attempt of a request, whose answer may be followed by another some milliseconds late.
    Attempt(SendRisk),
    /// A call without a body, as a probe or a release.
    Call,
}

/// Connections to workers, and the places for them.
#[derive(Debug)]
pub(crate) struct Pool {
    workers: Mutex<HashMap<ServerId, Worker>>,
    places: Arc<Semaphore>,
    connect_within: Duration,
    idle_for: Duration,
    broke: Mutex<Option<Instant>>,
}

impl Pool {
    pub fn new(places: Arc<Semaphore>, connect_within: Duration, idle_close_ns: Option<u64>) -> Pool {
        let idle_for = idle_close_ns.map_or(IDLE, |ns| Duration::from_nanos(ns).mul_f64(IDLE_SHARE));
        Pool { workers: Mutex::default(), places, connect_within, idle_for, broke: Mutex::default() }
    }

    /// A connection to that process: an idle one that is still good, if one may be used, else a new one.
    pub async fn get_for(&self, target: Target, carries: SendRisk) -> Result<Conn, ConnectFailure> {
        if carries.may_reuse_connection() {
            self.get(target).await
        } else {
            self.fresh(target).await
        }
    }

    /// The same for what any connection will do.
    pub async fn get(&self, target: Target) -> Result<Conn, ConnectFailure> {
        if let Some(conn) = self.idle(target) {
            // Until the poller has been asked once more, a close or bytes that have arrived are not known of.
            tokio::task::yield_now().await;
            if conn.link.is_quiet() {
                return Ok(conn);
            }
        }
        self.fresh(target).await
    }

    /// A new connection. Where this machine has none to give it is waited for, as long as a connection may take.
    pub async fn fresh(&self, target: Target) -> Result<Conn, ConnectFailure> {
        let mut last = ConnectFailure::Remote;
        let tries = async {
            loop {
                last = match self.connect(target).await {
                    Err(failure) if failure.is_retryable() => failure,
                    done => return done,
                };
                sleep(Duration::from_nanos(RETRY_INTERVAL)).await;
            }
        };
        let done = timeout(self.connect_within, tries).await;
        done.unwrap_or(Err(last))
    }

    /// One try of a new connection, with a second one beside it if the first is slow to come up.
    async fn connect(&self, target: Target) -> Result<Conn, ConnectFailure> {
        let first = self.connect_once(target);
        tokio::pin!(first);
        let patience = hedge_connection_after(self.connect_within.as_nanos() as Nanos);
        tokio::select! {
            biased;
            done = &mut first => return done,
            () = sleep(Duration::from_nanos(patience)) => {}
        }
        let second = self.connect_once(target);
        tokio::pin!(second);
        tokio::select! {
            biased;
            done = &mut first => match done {
                Ok(conn) => Ok(conn),
                Err(failure) => second.await.map_err(|_| failure),
            },
            done = &mut second => match done {
                Ok(conn) => Ok(conn),
                Err(_) => first.await,
            },
        }
    }

    async fn connect_once(&self, target: Target) -> Result<Conn, ConnectFailure> {
        let place = self.place().ok_or(ConnectFailure::Local)?;
        let stream = TcpStream::connect(target.address).await.map_err(|error| connect_failure(&error))?;
        Ok(Conn { link: Link::new(stream), target, idle: None, _place: place })
    }

    /// An idle connection that is still good; none while they break elsewhere.
    pub fn idle(&self, target: Target) -> Option<Conn> {
        if lock(&self.broke).is_some_and(|at| at.elapsed() < DISTRUST) {
            return None;
        }
        let mut workers = lock(&self.workers);
        let worker = workers.get_mut(&target.server).filter(|w| w.target == target)?;
        // The most recently used first; what has come or closed meanwhile takes its connection with it.
        let mut at = worker.idle.len();
        while at > 0 {
            at -= 1;
            if worker.idle[at].settled_at > Instant::now() {
                continue;
            }
            let Kept { mut conn, since, .. } = worker.idle.remove(at);
            let idle_for = since.elapsed();
            if idle_for < self.idle_for && conn.link.is_quiet() {
                conn.idle = Some(idle_for);
                return Some(conn);
            }
        }
        None
    }

    /// A place for a new connection; where there is none, the one idle for longest anywhere is closed for it.
    fn place(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(place) = Arc::clone(&self.places).try_acquire_owned() {
            return Some(place);
        }
        let mut workers = lock(&self.workers);
        let oldest = workers.values_mut().filter(|w| !w.idle.is_empty()).min_by_key(|w| w.idle[0].since)?;
        drop(oldest.idle.remove(0));
        drop(workers);
        Arc::clone(&self.places).try_acquire_owned().ok()
    }

    /// A connection has broken before any answer to a request on it.
    pub fn broke(&self, conn: &Conn) {
        if conn.idle.is_some() {
            *lock(&self.broke) = Some(Instant::now());
        }
    }

    /// A worker has answered on this connection.
    pub fn heard(&self, target: Target) {
        let mut workers = lock(&self.workers);
        let now = Instant::now();
        let worker =
            workers.entry(target.server).or_insert_with(|| Worker { target, heard: now, idle: Vec::new() });
        if worker.target != target && worker.target.started <= target.started {
            *worker = Worker { target, heard: now, idle: Vec::new() };
        }
        // The answer of a process that another has replaced says nothing of that.
        worker.heard = if worker.target == target { now } else { worker.heard };
    }

    /// Takes back a connection after an answer, if it can be used again: what follows an answer belongs to nobody, and
    /// the connection goes with it.
    pub fn put(&self, mut conn: Conn, last: &AnswerHead, exchange: LastExchange) {
        if last.close || !conn.link.buf.is_empty() {
            return;
        }
        conn.link.trim();
        let mut workers = lock(&self.workers);
        let Some(worker) = workers.get_mut(&conn.target.server).filter(|w| w.target == conn.target) else {
            return;
        };
        let (most, settle) = match exchange {
            LastExchange::Attempt(carries) => (carries.idle_connections(MOST_IDLE), SETTLE),
            LastExchange::Call => (MOST_IDLE, Duration::ZERO),
        };
        let over = (worker.idle.len() + 1).saturating_sub(most);
        worker.idle.drain(..over);
        let since = Instant::now();
        let settled_at = since + settle;
        worker.idle.push(Kept { conn, since, settled_at });
    }

    /// When that process last answered anything, if it is still known.
    pub fn heard_at(&self, target: Target) -> Option<Instant> {
        lock(&self.workers).get(&target.server).filter(|w| w.target == target).map(|w| w.heard)
    }

    pub fn close_idle(&self, server: ServerId) {
        if let Some(worker) = lock(&self.workers).get_mut(&server) {
            worker.idle.clear();
        }
    }

    /// Closes what is idle for too long or closed at the other side, and forgets workers long not heard from.
    pub fn tidy(&self) {
        let idle_for = self.idle_for;
        lock(&self.workers).retain(|_, worker| {
            worker.idle.retain(|kept| kept.since.elapsed() < idle_for && kept.conn.link.is_quiet());
            worker.idle.shrink_to(4);
            !worker.idle.is_empty() || worker.heard.elapsed() < FORGET
        });
    }

    /// Workers known here, and idle connections.
    pub fn sizes(&self) -> (usize, usize) {
        let workers = lock(&self.workers);
        (workers.len(), workers.values().map(|w| w.idle.len()).sum())
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
