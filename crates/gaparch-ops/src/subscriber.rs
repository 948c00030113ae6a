//! What a subscriber gets that may be too slow for all updates.

/// What to do with the next update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Send it.
    Send,
    /// Drop it: the subscriber's queue is full, or an earlier update was dropped.
    Skip,
    /// The subscriber has caught up: tell it how many updates it missed, and send a snapshot.
    Resync {
        /// The number of updates that it missed, this one among them.
        missed: u64,
    },
}

/// The updates to one subscriber.
///
/// Its queue has a fixed capacity. Past that updates are dropped until the queue is empty, and then the subscriber gets a
/// snapshot: some of the changes would be worse than none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberFeed {
    missed: u64,
}

impl SubscriberFeed {
    /// Decides about an update while `queued` of at most `capacity` updates are in the subscriber's queue.
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
