//! The queue of updates that are piggybacked on messages.

use std::collections::BTreeMap;

/// The number of updates offered for one datagram; no datagram has room for more.
const MAX_CANDIDATES: usize = 32;
/// Each member transmits an update this many times the binary logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 3;
/// The odd multiplier of a multiplicative hash (2^64 divided by the golden ratio).
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// The subject of an update. The update itself is built when it is sent, so that it is up to date.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Topic {
    /// The state of a member.
    Member(String),
    /// The state of a link in one direction.
    Link { from: String, to: String },
}

/// Topics that other members may not have received yet. There is one entry per topic, so the size of the
/// queue is bounded by the tables of members and links.
#[derive(Clone, Debug, Default)]
pub(crate) struct DisseminationQueue {
    /// The number of transmissions of each topic.
    transmissions: BTreeMap<Topic, u32>,
}

impl DisseminationQueue {
    /// Adds a topic, or restarts its dissemination.
    pub fn push(&mut self, topic: Topic) {
        self.transmissions.insert(topic, 0);
    }

    /// The topics for one datagram, those with the fewest transmissions first. The order of ties depends on
    /// `salt`; otherwise all members would pass on the same few topics.
    pub fn candidates(&self, salt: u64) -> Vec<Topic> {
        let tie_rank = |position: usize| (position as u64 ^ salt).wrapping_mul(HASH_MULTIPLIER);
        let mut ranked: Vec<(u32, u64, &Topic)> = self
            .transmissions
            .iter()
            .enumerate()
            .map(|(position, (topic, sent))| (*sent, tie_rank(position), topic))
            .collect();
        if ranked.len() > MAX_CANDIDATES {
            ranked.select_nth_unstable(MAX_CANDIDATES);
            ranked.truncate(MAX_CANDIDATES);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, topic)| topic.clone()).collect()
    }

    /// Counts a transmission of these topics, and removes those that all members have probably received.
    pub fn count_transmission(&mut self, topics: &[Topic], members: usize) {
        let limit = RETRANSMIT_FACTOR * (members + 2).next_power_of_two().trailing_zeros();
        for topic in topics {
            let Some(sent) = self.transmissions.get_mut(topic) else { continue };
            *sent += 1;
            if *sent >= limit {
                self.transmissions.remove(topic);
            }
        }
    }

    /// The number of queued topics.
    pub fn len(&self) -> usize {
        self.transmissions.len()
    }
}
