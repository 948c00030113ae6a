//! The send path: which updates are piggybacked on a message, and whether it may be sent.

use super::Membership;
use crate::dissemination::Topic;
use crate::output::Output;
use crate::{Nanos, TAG_BYTES};
use gaparch_protocol::fleet::{
    encoded_length, MemberState, Message, MessageBody, Update, MAX_DATAGRAM_BYTES,
};
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// Bytes of a datagram in addition to the message itself: tag, header and list lengths.
const OVERHEAD_BYTES: usize = TAG_BYTES + 16;
/// The maximum number of members that a leaving router notifies directly; they disseminate it to the others.
const MAX_LEAVE_NOTICES: usize = 32;

/// Updates that fit into one datagram, and their topics.
#[derive(Default)]
pub(super) struct PackedUpdates {
    pub updates: Vec<Update>,
    pub topics: Vec<Topic>,
}

impl PackedUpdates {
    /// Adds an update if it fits into the remaining room; returns whether it did.
    fn push(&mut self, topic: Topic, update: Update, room: &mut usize) -> bool {
        let length = encoded_length(&update);
        if length > *room {
            return false;
        }
        *room -= length;
        self.updates.push(update);
        self.topics.push(topic);
        true
    }
}

impl Membership {
    pub(super) fn address(&self, name: &str) -> Option<SocketAddr> {
        self.members.get(name)?.info.address.parse().ok()
    }

    pub(super) fn next_nonce(&mut self) -> u64 {
        self.nonce += 1;
        self.nonce
    }

    /// Sends a message to a known member, with the updates for the topics in `first`, then queued ones.
    pub(super) fn send_to_member(
        &mut self,
        name: &str,
        body: MessageBody,
        first: &[Topic],
        out: &mut Vec<Output>,
    ) {
        if let Some(address) = self.address(name) {
            self.send(address, name.to_owned(), body, first, out);
        }
    }

    /// Sends a message to an address, with the updates for the topics in `first`, then queued ones.
    pub(super) fn send(
        &mut self,
        address: SocketAddr,
        to: String,
        body: MessageBody,
        first: &[Topic],
        out: &mut Vec<Output>,
    ) {
        let packed = self.pack_updates(&to, &body, first);
        self.queue.count_transmission(&packed.topics, self.quorum.present as usize);
        self.send_with_updates(address, to, body, packed.updates, out);
    }

    /// Packs the updates for the topics in `first`, then queued ones, as far as they fit.
    fn pack_updates(&self, to: &str, body: &MessageBody, first: &[Topic]) -> PackedUpdates {
        let mut room = self.room_for_updates(to, body);
        let mut packed = PackedUpdates::default();
        let queued = self.queue.candidates(self.seq).into_iter().filter(|topic| !first.contains(topic));
        for topic in first.iter().cloned().chain(queued) {
            if let Some(update) = self.update(&topic) {
                packed.push(topic, update, &mut room);
            }
        }
        packed
    }

    /// Packs the updates for `topics` up to the first that does not fit, so that the page has no gaps.
    pub(super) fn pack_page(&self, to: &str, body: &MessageBody, topics: &[Topic]) -> PackedUpdates {
        let mut room = self.room_for_updates(to, body);
        let mut packed = PackedUpdates::default();
        for topic in topics {
            let Some(update) = self.update(topic) else { continue };
            if !packed.push(topic.clone(), update, &mut room) {
                break;
            }
        }
        packed
    }

    fn room_for_updates(&self, to: &str, body: &MessageBody) -> usize {
        let bare = self.message(to.to_owned(), 0, body.clone(), Vec::new());
        MAX_DATAGRAM_BYTES.saturating_sub(OVERHEAD_BYTES + encoded_length(&bare))
    }

    /// The update with the current state of a topic.
    fn update(&self, topic: &Topic) -> Option<Update> {
        match topic {
            Topic::Link { from, to } => self.links.update(from, to),
            Topic::Member(name) => self.member_update(name),
        }
    }

    fn member_update(&self, name: &str) -> Option<Update> {
        let member = self.members.get(name)?;
        let (reporter, last_heartbeat) = match (member.state, &member.suspicion) {
            (MemberState::Suspect, Some(suspicion)) => {
                // This router's own accusation carries more weight than one that it only forwards.
                let own = suspicion.accusers.iter().find(|accuser| **accuser == self.settings.name);
                let reporter = own.or(suspicion.accusers.last()).cloned().unwrap_or_default();
                (reporter, suspicion.last_heartbeat)
            }
            (MemberState::Alive | MemberState::Suspect, _) => (String::new(), 0),
            (MemberState::Dead, _) => (member.reported_by.clone(), member.reported_heartbeat),
            (MemberState::Left, _) => (name.to_owned(), 0),
        };
        Some(Update::Member { info: member.info.clone(), state: member.state, reporter, last_heartbeat })
    }

    fn message(&self, to: String, seq: u64, body: MessageBody, updates: Vec<Update>) -> Message {
        Message { from: self.local_info(), to, seq, direct_peers: self.direct_peers, body, updates }
    }

    /// Sends a message with exactly these updates, if the send budget allows it.
    pub(super) fn send_with_updates(
        &mut self,
        address: SocketAddr,
        to: String,
        body: MessageBody,
        updates: Vec<Update>,
        out: &mut Vec<Output>,
    ) {
        self.seq += 1;
        let message = self.message(to, self.seq, body, updates);
        let length = encoded_length(&message) + OVERHEAD_BYTES;
        if !self.budget.take(length as f64, self.now) {
            self.counters.throttled += 1;
            return;
        }
        self.counters.sent += 1;
        self.counters.sent_bytes += length as u64;
        out.push(Output::Send { to: address, message });
    }

    /// Sends a message of another component, within the same send budget as all others. It is dropped if it
    /// does not fit into a datagram or the member is not known.
    pub fn send_payload(&mut self, now: Nanos, to: &str, bytes: Vec<u8>, out: &mut Vec<Output>) {
        self.advance(now);
        let body = MessageBody::Payload { bytes };
        let bare = self.message(to.to_owned(), 0, body.clone(), Vec::new());
        let fits = OVERHEAD_BYTES + encoded_length(&bare) <= MAX_DATAGRAM_BYTES;
        if !fits || self.has_left {
            return;
        }
        if let Some(address) = self.address(to) {
            self.send_with_updates(address, to.to_owned(), body, Vec::new(), out);
        }
    }

    /// Announces that this router leaves the fleet. From then on it ignores all messages.
    pub fn leave(&mut self, now: Nanos, out: &mut Vec<Output>) {
        self.advance(now);
        let names = self.present_peers();
        for name in self.sample(names, MAX_LEAVE_NOTICES) {
            let Some(address) = self.address(&name) else { continue };
            let update = Update::Member {
                info: self.local_info(),
                state: MemberState::Left,
                reporter: self.settings.name.clone(),
                last_heartbeat: 0,
            };
            self.send_with_updates(address, name, MessageBody::Nack { nonce: 0 }, vec![update], out);
        }
        self.has_left = true;
    }

    /// At most `limit` of these names, chosen at random.
    pub(super) fn sample(&mut self, mut names: Vec<String>, limit: usize) -> Vec<String> {
        names.shuffle(&mut self.rng);
        names.truncate(limit);
        names
    }
}
