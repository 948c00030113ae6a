//! Client connections without an open request, in the order in which they are closed to make room for others. If
//! there are none, the next connections that have answered a request are closed instead.

use crate::sync::lock;
use gaparch_scheduler::policy::shutdown_intake::{ConnectionHistory, BUSY_CLOSED_AT_ONCE};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The idle connections. Bounded by the number of client connections.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    table: Mutex<IdleTable>,
}

#[derive(Debug, Default)]
struct IdleTable {
    next_number: u64,
    by_closing_order: BTreeMap<ClosingOrder, IdleEntry>,
    /// How many busy connections are to close after their response.
    busy_to_close: usize,
}

/// Connections that have carried no request are closed first, then the one idle longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClosingOrder {
    history: ConnectionHistory,
    number: u64,
}

#[derive(Debug)]
struct IdleEntry {
    since: Instant,
    close: Arc<Notify>,
}

/// Keeps a connection in the table; dropping the guard removes it, since the connection is no longer idle.
#[derive(Debug)]
pub(super) struct IdleGuard {
    connections: Arc<IdleConnections>,
    order: ClosingOrder,
    close: Arc<Notify>,
}

impl IdleConnections {
    /// Adds a connection that is idle from now on.
    pub fn enter(self: &Arc<IdleConnections>, history: ConnectionHistory) -> IdleGuard {
        let close = Arc::new(Notify::new());
        let mut table = lock(&self.table);
        table.next_number += 1;
        let order = ClosingOrder { history, number: table.next_number };
        let entry = IdleEntry { since: Instant::now(), close: Arc::clone(&close) };
        table.by_closing_order.insert(order, entry);
        IdleGuard { connections: Arc::clone(self), order, close }
    }

    /// Asks the first connection in closing order to close. If none is idle, asks busy ones to close after their
    /// response.
    pub fn close_next(&self) {
        let mut table = lock(&self.table);
        match table.by_closing_order.pop_first() {
            Some((_, entry)) => entry.close.notify_one(),
            None => table.busy_to_close = BUSY_CLOSED_AT_ONCE,
        }
    }

    /// Withdraws what was asked of busy connections.
    pub fn keep_busy(&self) {
        lock(&self.table).busy_to_close = 0;
    }

    /// Whether a connection that has just answered a request has to close, which counts as done.
    pub fn take_busy_close(&self) -> bool {
        let mut table = lock(&self.table);
        let is_wanted = table.busy_to_close > 0;
        table.busy_to_close = table.busy_to_close.saturating_sub(1);
        is_wanted
    }

    /// Asks all connections that have been idle for at least `age` to close.
    pub fn close_older_than(&self, age: Duration) {
        lock(&self.table).by_closing_order.retain(|_, entry| {
            let keep = entry.since.elapsed() < age;
            if !keep {
                entry.close.notify_one();
            }
            keep
        });
    }
}

impl IdleGuard {
    /// Waits until the connection is asked to close.
    pub async fn close_requested(&self) {
        self.close.notified().await;
    }
}

impl Drop for IdleGuard {
    fn drop(&mut self) {
        lock(&self.connections.table).by_closing_order.remove(&self.order);
    }
}

#[cfg(test)]
#[path = "idle_connections_tests.rs"]
mod tests;
