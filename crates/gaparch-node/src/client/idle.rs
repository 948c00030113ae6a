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
    /// Connections that never carried a request: who opens one to ask does so at once.
    unused: BTreeMap<u64, (Instant, Arc<Notify>)>,
    used: BTreeMap<u64, (Instant, Arc<Notify>)>,
}

/// What a connection has carried by now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Use {
    Unused,
    Used,
}

/// A connection is idle for as long as it holds this.
#[derive(Debug)]
pub(super) struct Resting {
    idle: Arc<Idle>,
    number: u64,
    close: Arc<Notify>,
}

impl Idle {
    pub fn enter(self: &Arc<Idle>, carried: Use) -> Resting {
        let mut waiting = lock(&self.waiting);
        waiting.next += 1;
        let (number, close) = (waiting.next, Arc::new(Notify::new()));
        let entry = (Instant::now(), Arc::clone(&close));
        match carried {
            Use::Unused => waiting.unused.insert(number, entry),
            Use::Used => waiting.used.insert(number, entry),
        };
        Resting { idle: Arc::clone(self), number, close }
    }

    /// Asks the connection that is idle for longest to close: one that was never used, if there is any.
    pub fn close_longest(&self) {
        let mut waiting = lock(&self.waiting);
        let longest = waiting.unused.pop_first().or_else(|| waiting.used.pop_first());
        if let Some((_, (_, close))) = longest {
            close.notify_one();
        }
    }

    /// Asks all that are idle for so long to close.
    pub fn close_older(&self, age: Duration) {
        let waiting = &mut *lock(&self.waiting);
        for connections in [&mut waiting.unused, &mut waiting.used] {
            while let Some(entry) = connections.first_entry() {
                if entry.get().0.elapsed() < age {
                    break;
                }
                entry.remove().1.notify_one();
            }
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
        let mut waiting = lock(&self.idle.waiting);
        waiting.unused.remove(&self.number);
        waiting.used.remove(&self.number);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn the_longest_idle_is_asked_first_and_who_asks_meanwhile_never() {
        let idle = Arc::new(Idle::default());
        let (first, second, third) = (idle.enter(Use::Used), idle.enter(Use::Used), idle.enter(Use::Used));
        drop(first);
        idle.close_longest();
        second.asked_to_close().await;
        idle.close_older(Duration::from_secs(3600));
        assert!(tokio::time::timeout(Duration::from_millis(20), third.asked_to_close()).await.is_err());
        idle.close_older(Duration::ZERO);
        third.asked_to_close().await;
        drop((second, third));
        assert!(lock(&idle.waiting).used.is_empty());
    }

    #[tokio::test]
    async fn who_never_asked_is_asked_to_close_before_who_has() {
        let idle = Arc::new(Idle::default());
        let (used, unused) = (idle.enter(Use::Used), idle.enter(Use::Unused));
        idle.close_longest();
        unused.asked_to_close().await;
        idle.close_longest();
        used.asked_to_close().await;
    }
}
