//! Accepts client connections.

use super::connection::Connection;
use super::idle_connections::IdleConnections;
use super::PERMIT_TIMEOUT;
use crate::descriptor_budget::DescriptorBudget;
use crate::shared_state::{Phase, SharedState};
use gaparch_scheduler::policy::turns::Turn;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit};
use tokio::task::yield_now;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// Delay after a failed `accept`, since errors such as a lack of descriptors persist.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Minimum interval between two log lines about such errors.
const ACCEPT_ERROR_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection has to be idle before it may be closed preemptively.
const MIN_IDLE_TIME: Duration = Duration::from_secs(2);
/// Interval between two checks for such connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for accepting the connections that are pending when the listener closes.
const LAST_ARRIVALS_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts connections until the router is closing.
pub(crate) async fn accept(listener: TcpListener, budget: DescriptorBudget, shared: Arc<SharedState>) {
    let mut acceptor =
        Acceptor { budget, shared, idle: Arc::new(IdleConnections::default()), error_logged_at: None };
    let mut phase = acceptor.shared.phase.subscribe();
    let mut turn = Turn::default();
    let mut idle_check = interval(IDLE_CHECK_INTERVAL);
    idle_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            () = until_closing(&mut phase) => break,
            _ = idle_check.tick() => acceptor.close_idle_preemptively(),
            accepted = listener.accept() => {
                acceptor.handle(accepted).await;
                turn.record_accept();
                if turn.take_over() {
                    yield_now().await;
                }
            }
        }
    }
    // Connections that are pending in the kernel would be reset when the listener closes. The timeout keeps
    // a flood of connections from delaying the shutdown.
    let _ = timeout(LAST_ARRIVALS_TIMEOUT, acceptor.accept_arrived(&listener)).await;
}

async fn until_closing(phase: &mut watch::Receiver<Phase>) {
    // An error means that the router has ended.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

/// Spawns a task for each accepted connection.
struct Acceptor {
    budget: DescriptorBudget,
    shared: Arc<SharedState>,
    idle: Arc<IdleConnections>,
    /// When an error of `accept` was last logged.
    error_logged_at: Option<Instant>,
}

impl Acceptor {
    /// Closes connections that have been idle for [`MIN_IDLE_TIME`] if fewer than half of the permits are
    /// free.
    fn close_idle_preemptively(&self) {
        if self.budget.clients.available_permits() < self.budget.max_clients / 2 {
            self.idle.close_older_than(MIN_IDLE_TIME);
        }
    }

    fn log_error(&mut self, error: &io::Error) {
        let is_due = self.error_logged_at.is_none_or(|at| at.elapsed() >= ACCEPT_ERROR_LOG_INTERVAL);
        if is_due {
            self.error_logged_at = Some(Instant::now());
            tracing::warn!(%error, "can't accept connections");
        }
    }

    /// Serves a connection in a task of its own if there is a permit for it.
    async fn handle(&mut self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let socket = match accepted {
            Ok((socket, _)) => socket,
            Err(error) => {
                self.log_error(&error);
                return sleep(ACCEPT_RETRY_DELAY).await;
            }
        };
        let Some(permit) = self.permit().await else { return };
        let connection = Connection::new(socket, Arc::clone(&self.shared), Arc::clone(&self.idle));
        tokio::spawn(async move {
            connection.serve().await;
            drop(permit);
        });
    }

    /// Returns a permit for a connection. If none is left, closes an idle connection, or busy ones after their
    /// response; returns `None` if no permit becomes free in time.
    async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        let permits = &self.budget.clients;
        if let Ok(permit) = Arc::clone(permits).try_acquire_owned() {
            self.idle.keep_busy();
            return Some(permit);
        }
        self.idle.close_next();
        timeout(PERMIT_TIMEOUT, Arc::clone(permits).acquire_owned()).await.ok()?.ok()
    }

    /// Accepts the pending connections without waiting for further ones.
    async fn accept_arrived(&mut self, listener: &TcpListener) {
        loop {
            // Yield so that the poller runs and notices connections that have just arrived.
            yield_now().await;
            tokio::select! {
                biased;
                accepted = listener.accept() => self.handle(accepted).await,
                () = std::future::ready(()) => return,
            }
        }
    }
}
