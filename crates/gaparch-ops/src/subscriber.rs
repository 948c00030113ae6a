//! Flow control for subscribers that may be too slow to receive every update.

/// What to do with the next update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Send it.
    Send,
    /// Drop it: the subscriber's queue is full, or an earlier update was dropped.
    Skip,
    /// The subscriber has caught up: report the number of missed updates, and send a snapshot.
    Resync {
        /// The number of updates that the subscriber missed, including this one.
        missed: u64,
    },
}

/// Decides which updates are sent to one subscriber.
///
/// The subscriber's queue has a fixed capacity. Once it is full, updates are dropped until the queue is
/// empty, and then the subscriber gets a snapshot. Dropping only some of the updates would leave it with an
/// inconsistent state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberFeed {
    missed: u64,
}

impl SubscriberFeed {
    /// Decides what to do with an update while the subscriber's queue holds `queued` of at most `capacity`
    /// updates.
    pub fn next(&mut self, queued: usize, capacity: usize) -> Delivery {
        let has_missed = self.missed > 0;
        if has_missed && queued == 0 {
            return Delivery::Resync { missed: std::mem::take(&mut self.missed) + 1 };
        }
        if has_missed || queued >= capacity {
            self.missed += 1;
            return Delivery::Skip;
        }
        Delivery::Send
    }
}
