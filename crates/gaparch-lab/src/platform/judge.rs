//! The rules, judged from what workers saw.

use super::Seen;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// From a client's leaving to the last moment at which a worker may still get something for it.
pub const LEFT: Duration = Duration::from_millis(100);

/// What a test did, beside which the workers' log is read.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Clients that left, by the id of their request, with the time.
    pub left: HashMap<String, Instant>,
    /// Workers whose drain was told, with the end of its grace.
    pub drained: HashMap<String, Instant>,
}

/// Every breach in the log: second copies, sends for who has left, sends to drained workers.
pub fn judge(log: &[(Instant, Seen)], facts: &Facts) -> Vec<String> {
    let mut breaches = Vec::new();
    for (at, seen) in log {
        match seen {
            Seen::SecondCopy { txn } => breaches.push(format!("{txn}: two attempts at once")),
            Seen::Asked { worker, txn, .. } => {
                if facts.left.get(txn).is_some_and(|left| *at > *left + LEFT) {
                    breaches.push(format!("{txn}: sent to {worker} after its client had left"));
                }
                if facts.drained.get(worker).is_some_and(|end| at > end) {
                    breaches.push(format!("{txn}: sent to {worker} past its drain's grace"));
                }
            }
            Seen::Released { .. } | Seen::Reserved { .. } | Seen::Probed { .. } => {}
        }
    }
    breaches
}
