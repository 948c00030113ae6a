//! Timers of the core, in order of time and then of setting.

use gaparch::api::{AttemptNo, Nanos, RequestId, ServerId, TimerToken};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    Module(TimerToken),
    /// An attempt's time-out.
    Attempt(RequestId, AttemptNo),
    /// An attempt that waits for its connection.
    Connect(RequestId, AttemptNo),
    /// The client's time is up.
    Overdue(RequestId),
    /// A begun stream may have gone on or been silent for too long.
    Stream(RequestId),
    Probe(ServerId, u64),
    Reconnect(ServerId),
}

/// None is taken back: one that is of no use any more does nothing when it falls due. Their number is bounded
/// by what is started within the longest deadline.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    due: BTreeMap<(Nanos, u64), Timer>,
    next: u64,
}

impl Timers {
    pub fn set(&mut self, at: Nanos, timer: Timer) {
        self.next += 1;
        self.due.insert((at, self.next), timer);
    }

    pub fn next(&self) -> Option<Nanos> {
        self.due.keys().next().map(|(at, _)| *at)
    }

    pub fn pop(&mut self, now: Nanos) -> Option<Timer> {
        let due = self.next()? <= now;
        due.then(|| self.due.pop_first()).flatten().map(|(_, timer)| timer)
    }
}
