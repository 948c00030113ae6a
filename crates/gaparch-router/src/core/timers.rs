//! Timers of the core, in the order of their time and then of when they were set.

use gaparch_scheduler::api::{AttemptNumber, Nanos, RequestId, ServerId, TimerToken};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    Scheduler(TimerToken),
    /// An attempt has no token yet.
    AttemptTimeout(RequestId, AttemptNumber),
    /// An attempt still waits for its connection.
    ConnectTimeout(RequestId, AttemptNumber),
    /// The client's deadline is over.
    RequestOverdue(RequestId),
    /// A stream may have gone on or been silent for too long.
    StreamLimit(RequestId),
    ProbeTimeout(ServerId, u64),
    Reconnect(ServerId),
}

/// Identifies a timer that was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerKey {
    at: Nanos,
    number: u64,
}

/// A request's timers are cancelled with it: a client may state an hour, and leave at once. The others are few, and do
/// nothing where they are of no use any more when they fall due.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    due: BTreeMap<TimerKey, Timer>,
    next: u64,
}

impl Timers {
    pub fn set(&mut self, at: Nanos, timer: Timer) -> TimerKey {
        self.next += 1;
        let key = TimerKey { at, number: self.next };
        self.due.insert(key, timer);
        key
    }

    /// Cancels a timer; one that was due or cancelled before is not there any more.
    pub fn cancel(&mut self, key: TimerKey) {
        self.due.remove(&key);
    }

    pub fn len(&self) -> usize {
        self.due.len()
    }

    pub fn next_at(&self) -> Option<Nanos> {
        self.due.keys().next().map(|key| key.at)
    }

    pub fn pop_due(&mut self, now: Nanos) -> Option<Timer> {
        let due = self.next_at()? <= now;
        due.then(|| self.due.pop_first()).flatten().map(|(_, timer)| timer)
    }
}
