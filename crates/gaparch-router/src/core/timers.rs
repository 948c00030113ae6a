//! Timers of the core, ordered by due time and then by the order in which they were set.

use gaparch_scheduler::api::{AttemptNumber, Nanos, RequestId, ServerId, TimerToken};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Timer {
    Scheduler(TimerToken),
    /// The timeout of an attempt that has no token yet.
    AttemptTimeout(RequestId, AttemptNumber),
    /// The timeout of an attempt that waits for its connection.
    ConnectTimeout(RequestId, AttemptNumber),
    /// The client's deadline and the answer grace period have passed.
    RequestOverdue(RequestId),
    /// The limit on the duration of a stream, or on its silence.
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

/// The timers that are set. The overdue timer of a request and the timer of its attempt are cancelled when
/// they end: a client may give a deadline an hour away and disconnect at once. The others are few, and do
/// nothing if they are obsolete when they are due.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    pending: BTreeMap<TimerKey, Timer>,
    last_number: u64,
}

impl Timers {
    pub fn set(&mut self, at: Nanos, timer: Timer) -> TimerKey {
        self.last_number += 1;
        let key = TimerKey { at, number: self.last_number };
        self.pending.insert(key, timer);
        key
    }

    /// Cancels a timer; no effect if it was handled or cancelled before.
    pub fn cancel(&mut self, key: TimerKey) {
        self.pending.remove(&key);
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }

    pub fn next_at(&self) -> Option<Nanos> {
        self.pending.keys().next().map(|key| key.at)
    }

    pub fn pop_due(&mut self, now: Nanos) -> Option<Timer> {
        let is_due = self.next_at()? <= now;
        is_due.then(|| self.pending.pop_first()).flatten().map(|(_, timer)| timer)
    }
}
