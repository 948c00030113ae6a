//! Clients: connections are accepted within their part of the descriptors, each is a task of its own.

mod closes;
mod connection;
mod idle;

use crate::budget::Budget;
use crate::shared::{lock, Phase, Shared};
use bytes::Bytes;
pub(crate) use closes::Closes;
use connection::Connection;
use gaparch_platform_protocol::body::MOST_BODY;
use idle::Idle;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit};
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// Runs of events that wait for one client.
pub(crate) const PIECES: usize = 32;
/// Bytes kept that a client sends ahead of an answer: one more request of any size.
pub(crate) const AHEAD: usize = MOST_BODY + 32 * 1024;
/// For a place to come free, once an idle connection was told to close.
const PLACE: Duration = Duration::from_millis(200);
/// After an error of accepting that does not go away by trying again at once, as with no descriptors left.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// Between two lines in the log on that.
const COMPLAIN_EVERY: Duration = Duration::from_secs(1);
/// A connection without an open request may be closed from then on.
const IDLE_AT_LEAST: Duration = Duration::from_secs(2);
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// For taking what has arrived by the time at which the listener closes.
const LAST_ARRIVALS: Duration = Duration::from_millis(500);

/// A run of whole events, or the word that there are no more.
#[derive(Debug)]
pub(crate) enum Piece {
    Events(Bytes),
    Whole,
}

/// Accepts until nothing new comes any more.
pub(crate) async fn accept(listener: TcpListener, budget: Budget, shared: Arc<Shared>) {
    let clients = Clients { budget, shared, idle: Arc::new(Idle::default()), complained: Mutex::default() };
    let mut phase = clients.shared.phase.subscribe();
    let mut look = interval(LOOK_EVERY);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            () = until_closing(&mut phase) => break,
            _ = look.tick() => clients.shed_early(),
            accepted = listener.accept() => clients.take(accepted).await,
        }
    }
    // What this machine has taken for us by now would be reset with the listener. A flood must not hold up the end.
    let _ = timeout(LAST_ARRIVALS, clients.take_waiting(&listener)).await;
}

async fn until_closing(phase: &mut watch::Receiver<Phase>) {
    // Without a sender there is no router any more.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

/// Where accepted connections go.
struct Clients {
    budget: Budget,
    shared: Arc<Shared>,
    idle: Arc<Idle>,
    /// When it was last said that accepting fails.
    complained: Mutex<Option<Instant>>,
}

impl Clients {
    /// Before there is need: half the places stay free for those who want to ask.
    fn shed_early(&self) {
        if self.budget.clients.available_permits() < self.budget.most_clients / 2 {
            self.idle.close_older(IDLE_AT_LEAST);
        }
    }

    /// Says that accepting fails, not more often than somebody could read it.
    fn complain(&self, error: &io::Error) {
        let mut complained = lock(&self.complained);
        if complained.is_none_or(|at| at.elapsed() >= COMPLAIN_EVERY) {
            *complained = Some(Instant::now());
            tracing::warn!(%error, "can't accept");
        }
    }

    /// Serves a connection on a task of its own, if there is a place for it.
    async fn take(&self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let socket = match accepted {
            Ok((socket, _)) => socket,
            Err(error) => {
                self.complain(&error);
                return sleep(ACCEPT_AGAIN).await;
            }
        };
        let Some(place) = self.place().await else { return };
        let connection = Connection::new(socket, Arc::clone(&self.shared), Arc::clone(&self.idle));
        tokio::spawn(async move {
            connection.serve().await;
            drop(place);
        });
    }

    /// Where all places are taken the resting connection whose turn it is makes room, else the new one goes.
    async fn place(&self) -> Option<OwnedSemaphorePermit> {
        let places = &self.budget.clients;
        if let Ok(place) = Arc::clone(places).try_acquire_owned() {
            return Some(place);
        }
        self.idle.close_next();
        timeout(PLACE, Arc::clone(places).acquire_owned()).await.ok()?.ok()
    }

    /// Takes the connections that wait to be accepted, and waits for no others.
    async fn take_waiting(&self, listener: &TcpListener) {
        loop {
            // Until the poller has been asked once more, those that have just come are not known of.
            tokio::task::yield_now().await;
            tokio::select! {
                biased;
                accepted = listener.accept() => self.take(accepted).await,
                () = std::future::ready(()) => return,
            }
        }
    }
}
