//! Client connections without an open request, in the order in which they make room for others.

use crate::shared::lock;
use gaparch_scheduler::policy::shutdown_intake::ConnectionHistory;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Its entries are connections, and those are bounded.
#[derive(Debug, Default)]
pub(super) struct Idle {
    waiting: Mutex<Waiting>,
}

#[derive(Debug, Default)]
struct Waiting {
    next: u64,
    /// In the order in which they make room for others.
    since: BTreeMap<Place, (Instant, Arc<Notify>)>,
}

type Place = (ConnectionHistory, u64);

/// A connection is idle for as long as it holds this.
#[derive(Debug)]
pub(super) struct Resting {
    idle: Arc<Idle>,
    place: Place,
    close: Arc<Notify>,
}

impl Idle {
    pub fn enter(self: &Arc<Idle>, carried: ConnectionHistory) -> Resting {
        let mut waiting = lock(&self.waiting);
        waiting.next += 1;
        let (place, close) = ((carried, waiting.next), Arc::new(Notify::new()));
        waiting.since.insert(place, (Instant::now(), Arc::clone(&close)));
        Resting { idle: Arc::clone(self), place, close }
    }

    /// Asks the connection whose turn it is to close.
    pub fn close_next(&self) {
        if let Some((_, (_, close))) = lock(&self.waiting).since.pop_first() {
            close.notify_one();
        }
    }

    /// Asks all that are idle for so long to close.
    pub fn close_older(&self, age: Duration) {
        lock(&self.waiting).since.retain(|_, (since, close)| {
            let stays = since.elapsed() < age;
            if !stays {
                close.notify_one();
            }
            stays
        });
    }
}

impl Resting {
    /// Waits until it is asked to close.
    pub async fn asked_to_close(&self) {
        self.close.notified().await;
    }
}

impl Drop for Resting {
    fn drop(&mut self) {
        lock(&self.idle.waiting).since.remove(&self.place);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn the_longest_idle_is_asked_first_and_who_asks_meanwhile_never() {
        let idle = Arc::new(Idle::default());
        let (first, second, third) = (
            idle.enter(ConnectionHistory::CarriedRequests),
            idle.enter(ConnectionHistory::CarriedRequests),
            idle.enter(ConnectionHistory::CarriedRequests),
        );
        drop(first);
        idle.close_next();
        second.asked_to_close().await;
        idle.close_older(Duration::from_secs(3600));
        assert!(tokio::time::timeout(Duration::from_millis(20), third.asked_to_close()).await.is_err());
        idle.close_older(Duration::ZERO);
        third.asked_to_close().await;
        drop((second, third));
        assert!(lock(&idle.waiting).since.is_empty());
    }

    #[tokio::test]
    async fn who_never_asked_is_asked_to_close_before_who_has() {
        let idle = Arc::new(Idle::default());
        let (used, unused) =
            (idle.enter(ConnectionHistory::CarriedRequests), idle.enter(ConnectionHistory::Unused));
        idle.close_next();
        unused.asked_to_close().await;
        idle.close_next();
        used.asked_to_close().await;
    }
}
