//! The sessions that are subscribed to updates. Each has a bounded queue; a session that reads too slowly
//! misses updates and is then sent a new snapshot.

use gaparch_ops::{Delivery, SubscriberFeed};
use gaparch_protocol::ops::view::Snapshot;
use gaparch_protocol::ops::Update;
use std::collections::BTreeMap;
use tokio::sync::mpsc;

struct Subscriber {
    updates: mpsc::Sender<Update>,
    feed: SubscriberFeed,
}

/// All subscribed sessions, by session number.
#[derive(Default)]
pub(super) struct Subscribers {
    by_session: BTreeMap<u64, Subscriber>,
}

impl Subscribers {
    pub fn is_empty(&self) -> bool {
        self.by_session.is_empty()
    }

    /// Adds a session and sends it a snapshot. The queue of a session that subscribes for the first time is
    /// empty, so the snapshot fits.
    pub fn add(&mut self, session: u64, updates: mpsc::Sender<Update>, snapshot: Snapshot) {
        let _ = updates.try_send(Update::Resync { snapshot: Box::new(snapshot) });
        self.by_session.insert(session, Subscriber { updates, feed: SubscriberFeed::default() });
    }

    pub fn remove(&mut self, session: u64) {
        self.by_session.remove(&session);
    }

    /// Offers an update to every subscriber and removes those that have disconnected. Returns the sessions
    /// that missed updates and need a new snapshot.
    pub fn offer(&mut self, update: impl Fn() -> Update) -> Vec<u64> {
        let mut need_snapshot = Vec::new();
        self.by_session.retain(|session, subscriber| {
            let capacity = subscriber.updates.max_capacity();
            let queued = capacity - subscriber.updates.capacity();
            match subscriber.feed.next(queued, capacity) {
                Delivery::Send => drop(subscriber.updates.try_send(update())),
                Delivery::Skip => {}
                Delivery::Resync { missed } => {
                    drop(subscriber.updates.try_send(Update::Missed { updates: missed }));
                    need_snapshot.push(*session);
                }
            }
            !subscriber.updates.is_closed()
        });
        need_snapshot
    }

    /// Sends a session a new snapshot, if it is still subscribed.
    pub fn resync(&self, session: u64, snapshot: Snapshot) {
        if let Some(subscriber) = self.by_session.get(&session) {
            drop(subscriber.updates.try_send(Update::Resync { snapshot: Box::new(snapshot) }));
        }
    }
}
