//! Checks the platform's rules against the log of the workers.

use super::WorkerEvent;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long after a client has disconnected a worker may still receive an attempt for it.
pub const MAX_SEND_DELAY_AFTER_DISCONNECT: Duration = Duration::from_millis(100);
/// By how much the remaining time that an attempt states may exceed the client's.
const REMAINING_TIME_TOLERANCE: Duration = Duration::from_millis(150);

/// What a test did that the log of the workers does not show.
#[derive(Clone, Debug, Default)]
pub struct TestActions {
    /// When clients disconnected, by the id of their request.
    pub disconnected: HashMap<String, Instant>,
    /// When the drain grace period of workers ends, by their name.
    pub drained: HashMap<String, Instant>,
    /// When clients stop waiting, by the id of their request.
    pub deadlines: HashMap<String, Instant>,
}

/// Returns every breach in the log: concurrent attempts, attempts for disconnected clients or to drained workers, and
/// attempts that state more time than their client has left.
pub fn find_breaches(log: &[(Instant, WorkerEvent)], actions: &TestActions) -> Vec<String> {
    let mut breaches = Vec::new();
    for (at, event) in log {
        match event {
            WorkerEvent::SecondCopy { txn } => breaches.push(format!("{txn}: two attempts at once")),
            WorkerEvent::RequestReceived { worker, txn, remaining, .. } => {
                if let Some(deadline) = actions.deadlines.get(txn) {
                    match remaining {
                        Some(stated) if *at + *stated <= *deadline + REMAINING_TIME_TOLERANCE => {}
                        Some(stated) => {
                            breaches.push(format!("{txn}: {stated:?} is too much time for {worker}"))
                        }
                        None => breaches.push(format!("{txn}: no time is stated to {worker}")),
                    }
                }
                if actions
                    .disconnected
                    .get(txn)
                    .is_some_and(|disconnected| *at > *disconnected + MAX_SEND_DELAY_AFTER_DISCONNECT)
                {
                    breaches.push(format!("{txn}: sent to {worker} after its client had disconnected"));
                }
                if actions.drained.get(worker).is_some_and(|end| at > end) {
                    breaches.push(format!("{txn}: sent to {worker} past its drain grace period"));
                }
            }
            WorkerEvent::Released { .. }
            | WorkerEvent::Reserved { .. }
            | WorkerEvent::Probed { .. }
            | WorkerEvent::RequestRejected { .. } => {}
        }
    }
    breaches
}
