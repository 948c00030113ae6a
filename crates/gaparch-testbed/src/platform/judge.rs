//! The rules, judged from what workers saw.

use super::Seen;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// From a client's leaving to the last moment at which a worker may still get something for it.
pub const LEFT: Duration = Duration::from_millis(100);
/// What the time that an attempt tells its worker may go beyond what its client has left.
pub const TOLD_SLACK: Duration = Duration::from_millis(150);

/// What a test did, beside which the workers' log is read.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Clients that left, by the id of their request, with the time.
    pub left: HashMap<String, Instant>,
    /// Workers whose drain was told, with the end of its grace.
    pub drained: HashMap<String, Instant>,
    /// When clients stop waiting, by the id of their request.
    pub due: HashMap<String, Instant>,
}

/// Every breach in the log: second copies, sends for who has left, sends to drained workers, and attempts that tell more
/// time than their client has left.
pub fn judge(log: &[(Instant, Seen)], facts: &Facts) -> Vec<String> {
    let mut breaches = Vec::new();
    for (at, seen) in log {
        match seen {
            Seen::SecondCopy { txn } => breaches.push(format!("{txn}: two attempts at once")),
            Seen::Asked { worker, txn, remaining, .. } => {
                if let Some(due) = facts.due.get(txn) {
                    match remaining {
                        Some(told) if *at + *told <= *due + TOLD_SLACK => {}
                        Some(told) => breaches.push(format!("{txn}: {worker} is told {told:?}, too much")),
                        None => breaches.push(format!("{txn}: {worker} is told no time")),
                    }
                }
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
