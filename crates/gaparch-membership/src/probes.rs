//! The probe schedule: which member is probed next, and which pings are unanswered.

use crate::Nanos;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of unanswered pings on behalf of others; further requests are dropped.
const MAX_RELAYED_PINGS: usize = 64;

/// A ping that waits for its answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Probe {
    pub target: String,
    pub nonce: u64,
    pub sent_at: Nanos,
    /// The estimated heartbeat of the target when the ping was sent; a later one proves that it was alive
    /// after that.
    pub last_heartbeat: u64,
    /// The number of helpers that were asked to ping the target as well.
    pub helpers: usize,
    /// The number of helpers that reported that they got no answer either.
    pub nacks: usize,
}

impl Probe {
    pub fn new(target: String, nonce: u64, sent_at: Nanos, last_heartbeat: u64) -> Probe {
        Probe { target, nonce, sent_at, last_heartbeat, helpers: 0, nacks: 0 }
    }
}

/// A ping sent on behalf of another member.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RelayedPing {
    pub requester: String,
    /// The nonce of the requester's probe.
    pub nonce: u64,
    /// When the requester is sent a nack if there is no answer.
    pub deadline: Nanos,
}

/// The probe schedule of one member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probes {
    /// The probe of the current interval.
    pub current: Option<Probe>,
    /// When the next probe starts.
    pub next_at: Nanos,
    /// The members not yet probed in this round.
    round: VecDeque<String>,
    /// Unanswered relayed pings, by the nonce with which they were sent.
    relayed: BTreeMap<u64, RelayedPing>,
}

impl Probes {
    /// The next member to probe. Each round probes every member once, in a new random order, so that the time
    /// until a member is probed is bounded.
    pub fn next_target<'a>(
        &mut self,
        rng: &mut ChaCha8Rng,
        is_present: impl Fn(&str) -> bool,
        present: impl Iterator<Item = &'a String>,
    ) -> Option<String> {
        while let Some(name) = self.round.pop_front() {
            if is_present(&name) {
                return Some(name);
            }
        }
        let mut names: Vec<String> = present.cloned().collect();
        names.shuffle(rng);
        self.round = names.into();
        self.round.pop_front()
    }

    /// Records a relayed ping; returns whether there is room for it.
    pub fn relay(&mut self, nonce: u64, ping: RelayedPing) -> bool {
        let has_room = self.relayed.len() < MAX_RELAYED_PINGS;
        if has_room {
            self.relayed.insert(nonce, ping);
        }
        has_room
    }

    /// Removes the relayed ping that an answer with this nonce belongs to.
    pub fn take_relayed(&mut self, nonce: u64) -> Option<RelayedPing> {
        self.relayed.remove(&nonce)
    }

    /// Removes the relayed pings that were not answered in time.
    pub fn take_overdue(&mut self, now: Nanos) -> Vec<RelayedPing> {
        let overdue = self.relayed.iter().filter(|(_, ping)| ping.deadline <= now);
        let nonces: Vec<u64> = overdue.map(|(nonce, _)| *nonce).collect();
        nonces.into_iter().filter_map(|nonce| self.relayed.remove(&nonce)).collect()
    }
}
