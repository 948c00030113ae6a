//! Clients: connections are accepted within their part of the descriptors, each is a task of its own.

mod connection;
mod idle;

use crate::budget::Budget;
use crate::shared::{Phase, Shared};
use bytes::Bytes;
use connection::Connection;
use gaparch_platform::body::MOST_BODY;
use idle::Idle;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// Runs of events that wait for one client.
pub(crate) const PIECES: usize = 32;
/// Bytes kept that a client sends ahead of an answer: one more request of any size.
pub(crate) const AHEAD: usize = MOST_BODY + 32 * 1024;
/// For a place to come free, once an idle connection was told to close.
const PLACE: Duration = Duration::from_millis(200);
/// After an error of accepting that does not go away by trying again at once, as with no descriptors left.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// A connection without an open request may be closed from then on.
const IDLE_AT_LEAST: Duration = Duration::from_secs(2);
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// A run of whole events, or the word that there are no more.
#[derive(Debug)]
pub(crate) enum Piece {
    Events(Bytes),
    Whole,
}

/// Accepts until nothing new comes any more.
pub(crate) async fn accept(listener: TcpListener, budget: Budget, shared: Arc<Shared>) {
    let idle = Arc::new(Idle::default());
    let mut phase = shared.phase.subscribe();
    let mut look = interval(LOOK_EVERY);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
            _ = look.tick() => {
                // Before there is need: half the places stay free for those who want to ask.
                if budget.clients.available_permits() < budget.most_clients / 2 {
                    idle.close_older(IDLE_AT_LEAST);
                }
                continue;
            }
        };
        let socket = match accepted {
            Ok((socket, _)) => socket,
            Err(error) => {
                tracing::warn!(%error, "can't accept");
                sleep(ACCEPT_AGAIN).await;
                continue;
            }
        };
        let place = match Arc::clone(&budget.clients).try_acquire_owned() {
            Ok(place) => place,
            Err(_) => {
                // Full: the one that is idle for longest makes room, else the new one goes.
                idle.close_longest();
                match timeout(PLACE, Arc::clone(&budget.clients).acquire_owned()).await {
                    Ok(Ok(place)) => place,
                    _ => continue,
                }
            }
        };
        let connection = Connection::new(socket, Arc::clone(&shared), Arc::clone(&idle));
        tokio::spawn(async move {
            connection.serve().await;
            drop(place);
        });
    }
}
