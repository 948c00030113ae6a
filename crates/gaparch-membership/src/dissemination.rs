//! The queue of updates that are disseminated on the back of messages.

use std::collections::BTreeMap;

/// The number of updates offered for one datagram; more never fit into it.
const MAX_CANDIDATES: usize = 32;
/// Each member passes an update on so many times the logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 3;
/// An odd multiplier that spreads the bits of a position (from the golden ratio).
const SCRAMBLE: u64 = 0x9E37_79B9_7F4A_7C15;

/// What an update is about. The update itself is made when it is sent, so that it is up to date.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Topic {
    /// The state of a member.
    Member(String),
    /// The state of a link in one direction.
    Link { from: String, to: String },
}

/// Topics that other members may not have received yet. There is one entry a topic, so the queue is bounded
/// by the tables of members and links.
#[derive(Clone, Debug, Default)]
pub(crate) struct DisseminationQueue {
    /// How often each topic was sent.
    transmissions: BTreeMap<Topic, u32>,
}

impl DisseminationQueue {
    /// Adds a topic, or begins to disseminate it anew.
    pub fn push(&mut self, topic: Topic) {
        self.transmissions.insert(topic, 0);
    }

    /// The topics for one datagram, those least often sent first. Ties stand in an order that differs by
    /// `salt`, or all members would pass on the same few.
    pub fn candidates(&self, salt: u64) -> Vec<Topic> {
        let scramble = |position: usize| (position as u64 ^ salt).wrapping_mul(SCRAMBLE);
        let mut ranked: Vec<(u32, u64, &Topic)> = self
            .transmissions
            .iter()
            .enumerate()
            .map(|(position, (topic, sent))| (*sent, scramble(position), topic))
            .collect();
        if ranked.len() > MAX_CANDIDATES {
            ranked.select_nth_unstable(MAX_CANDIDATES);
            ranked.truncate(MAX_CANDIDATES);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, topic)| topic.clone()).collect()
    }

    /// Counts a transmission of these topics, and drops those that all members are likely to have received.
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

    /// The number of topics that wait.
    pub fn len(&self) -> usize {
        self.transmissions.len()
    }
}
