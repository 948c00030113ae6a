//! Accepts connections of clients.

use super::connection::Connection;
use super::idle_connections::IdleConnections;
use super::PERMIT_TIMEOUT;
use crate::descriptor_budget::DescriptorBudget;
use crate::shared_state::{Phase, SharedState};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit};
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// Delay after an error of `accept` that persists, as with no descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval between two log lines on such errors.
const ACCEPT_ERROR_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection has to be idle before it may be closed ahead of need.
const MIN_IDLE_TIME: Duration = Duration::from_secs(2);
/// Interval between two checks for such connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long connections are accepted that have arrived by the time at which the listener closes.
const LAST_ARRIVALS_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts connections until the router is closing.
pub(crate) async fn accept(listener: TcpListener, budget: DescriptorBudget, shared: Arc<SharedState>) {
    let mut acceptor =
        Acceptor { budget, shared, idle: Arc::new(IdleConnections::default()), error_logged_at: None };
    let mut phase = acceptor.shared.phase.subscribe();
    let mut idle_check = interval(IDLE_CHECK_INTERVAL);
    idle_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            () = until_closing(&mut phase) => break,
            _ = idle_check.tick() => acceptor.close_idle_ahead_of_need(),
            accepted = listener.accept() => acceptor.handle(accepted).await,
        }
    }
    // Connections that the kernel has accepted would be reset with the listener. A flood must not delay the shutdown.
    let _ = timeout(LAST_ARRIVALS_TIMEOUT, acceptor.accept_arrived(&listener)).await;
}

async fn until_closing(phase: &mut watch::Receiver<Phase>) {
    // An error says that the router has ended.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

/// Gives accepted connections their tasks.
struct Acceptor {
    budget: DescriptorBudget,
    shared: Arc<SharedState>,
    idle: Arc<IdleConnections>,
    /// When an error of `accept` was last logged.
    error_logged_at: Option<Instant>,
}

impl Acceptor {
    /// Closes connections that have been idle for long, so that half of the permits stay free.
    fn close_idle_ahead_of_need(&self) {
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

    /// Serves a connection on a task of its own, if there is a permit for it.
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

    /// Returns a permit for a connection. Where none is left, an idle connection is closed for it; `None` where that does
    /// not free one in time.
    async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        let permits = &self.budget.clients;
        if let Ok(permit) = Arc::clone(permits).try_acquire_owned() {
            return Some(permit);
        }
        self.idle.close_next();
        timeout(PERMIT_TIMEOUT, Arc::clone(permits).acquire_owned()).await.ok()?.ok()
    }

    /// Accepts the connections that have arrived, and waits for no others.
    async fn accept_arrived(&mut self, listener: &TcpListener) {
        loop {
            // Connections that have just arrived are not noticed before the poller runs once more.
            tokio::task::yield_now().await;
            tokio::select! {
                biased;
                accepted = listener.accept() => self.handle(accepted).await,
                () = std::future::ready(()) => return,
            }
        }
    }
}
