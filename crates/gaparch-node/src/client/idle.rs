//! Client connections without an open request, the one idle for longest first.

use crate::shared::lock;
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
    since: BTreeMap<u64, (Instant, Arc<Notify>)>,
}

/// A connection is idle for as long as it holds this.
#[derive(Debug)]
pub(super) struct Resting {
    idle: Arc<Idle>,
    number: u64,
    close: Arc<Notify>,
}

impl Idle {
    pub fn enter(self: &Arc<Idle>) -> Resting {
        let mut waiting = lock(&self.waiting);
        waiting.next += 1;
        let (number, close) = (waiting.next, Arc::new(Notify::new()));
        waiting.since.insert(number, (Instant::now(), Arc::clone(&close)));
        Resting { idle: Arc::clone(self), number, close }
    }

    /// Asks the connection that is idle for longest to close.
    pub fn close_longest(&self) {
        if let Some((_, (_, close))) = lock(&self.waiting).since.pop_first() {
            close.notify_one();
        }
    }

    /// Asks all that are idle for so long to close.
    pub fn close_older(&self, age: Duration) {
        let mut waiting = lock(&self.waiting);
        while let Some(entry) = waiting.since.first_entry() {
            if entry.get().0.elapsed() < age {
                return;
            }
            entry.remove().1.notify_one();
        }
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
        lock(&self.idle.waiting).since.remove(&self.number);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn the_longest_idle_is_asked_first_and_who_asks_meanwhile_never() {
        let idle = Arc::new(Idle::default());
        let (first, second, third) = (idle.enter(), idle.enter(), idle.enter());
        drop(first);
        idle.close_longest();
        second.asked_to_close().await;
        idle.close_older(Duration::from_secs(3600));
        assert!(tokio::time::timeout(Duration::from_millis(20), third.asked_to_close()).await.is_err());
        idle.close_older(Duration::ZERO);
        third.asked_to_close().await;
        drop((second, third));
        assert!(lock(&idle.waiting).since.is_empty());
    }
}
