//! The receive path: which messages are accepted, and how their bodies are handled.

use super::Membership;
use crate::dissemination::Topic;
use crate::duplicate::{DuplicateObservation, DuplicateProcess};
use crate::event::MembershipEvent;
use crate::member::Member;
use crate::output::Output;
use crate::settings::MAX_MEMBERS;
use crate::Nanos;
use gaparch_protocol::fleet::{MemberInfo, Message, MessageBody};

impl Membership {
    /// Handles a message whose authentication tag was valid.
    pub fn on_message(&mut self, now: Nanos, message: Message, out: &mut Vec<Output>) {
        self.advance(now);
        if self.has_left {
            return;
        }
        self.counters.received += 1;
        let Message { from, to, seq, direct_peers, body, updates } = message;
        if !to.is_empty() && to != self.settings.name {
            self.counters.misdirected += 1;
            return;
        }
        if from.name == self.settings.name {
            return self.on_message_with_own_name(&from, seq, out);
        }
        if !self.admit(&from, seq, out) {
            return;
        }
        self.on_received(&from, direct_peers, out);
        for update in updates {
            self.on_update(update, out);
        }
        self.on_body(&from, body, out);
    }

    /// Whether a message is new and comes from the current process of its sender's name.
    fn admit(&mut self, from: &MemberInfo, seq: u64, out: &mut Vec<Output>) -> bool {
        let Some(member) = self.members.get_mut(&from.name) else {
            return self.admit_new_member(from, seq, out);
        };
        let known = &member.info;
        if from.run_id == known.run_id && from.incarnation >= known.incarnation {
            let is_new = member.replay_window.admit(seq);
            self.counters.replayed += u64::from(!is_new);
            return is_new;
        }
        if from.incarnation > known.incarnation {
            let transition = member.observe_alive(from, self.now);
            let is_new = member.replay_window.admit(seq);
            self.counters.replayed += u64::from(!is_new);
            self.on_transition(&from.name, "", transition, out);
            return is_new;
        }
        self.on_outdated_process(from, seq, out);
        false
    }

    /// Handles a message from a process that should have ended, since another one has superseded it.
    fn on_outdated_process(&mut self, from: &MemberInfo, seq: u64, out: &mut Vec<Output>) {
        self.counters.misdirected += 1;
        let Some(member) = self.members.get_mut(&from.name) else { return };
        let slot = &mut member.duplicate;
        let observation = DuplicateProcess::observe(slot, from, seq, member.last_alive_at, self.now);
        if observation == DuplicateObservation::Replayed {
            self.counters.replayed += 1;
            return;
        }
        let name = from.name.clone();
        if observation == DuplicateObservation::Confirmed {
            let addresses = [member.info.address.clone(), from.address.clone()];
            let event = MembershipEvent::DuplicateName { name: name.clone(), addresses };
            out.push(Output::Event(event));
        }
        // Its disk may have been rolled back. It is sent the known incarnation at once; otherwise its
        // messages would be dropped until it happens to be probed.
        if let Ok(address) = from.address.parse() {
            let topic = Topic::Member(name.clone());
            self.send(address, name, MessageBody::Nack { nonce: 0 }, &[topic], out);
        }
    }

    fn admit_new_member(&mut self, from: &MemberInfo, seq: u64, out: &mut Vec<Output>) -> bool {
        if self.members.len() >= MAX_MEMBERS {
            self.counters.rejected_members += 1;
            return false;
        }
        let mut member = Member::new(from.clone(), self.now);
        member.replay_window.admit(seq);
        self.members.insert(from.name.clone(), member);
        self.on_joined(&from.name, out);
        // A new member may know others, and state that is received by synchronization need not be
        // disseminated.
        if !self.sync.is_pending() {
            self.request_sync(&from.name, String::new(), out);
        }
        true
    }

    fn on_received(&mut self, from: &MemberInfo, direct_peers: u16, out: &mut Vec<Output>) {
        self.health.on_received(self.now);
        let Some(member) = self.members.get_mut(&from.name) else { return };
        member.last_received_at = Some(self.now);
        member.direct_peers = direct_peers;
        member.unanswered_pings = None;
        let had_failed_link = std::mem::replace(&mut member.link_failed, false);
        let transition = member.observe_alive(from, self.now);
        self.on_transition(&from.name, "", transition, out);
        if had_failed_link {
            self.report_link(&from.name, false, out);
        }
    }

    fn on_body(&mut self, from: &MemberInfo, body: MessageBody, out: &mut Vec<Output>) {
        match body {
            MessageBody::Ping { nonce } => {
                self.send_to_member(&from.name, MessageBody::Ack { nonce }, &[], out);
            }
            MessageBody::Ack { nonce } => self.on_ack(from, nonce, out),
            MessageBody::PingRequest { nonce, target, address } => {
                self.on_ping_request(&from.name, nonce, target, &address, out);
            }
            MessageBody::Nack { nonce } => self.on_nack(nonce),
            MessageBody::SyncRequest { after } => self.on_sync_request(&from.name, after, out),
            MessageBody::SyncPage { after, next } => self.on_sync_page(&from.name, &after, next, out),
            MessageBody::Payload { bytes } => {
                out.push(Output::Payload { from: from.name.clone(), bytes });
            }
        }
    }

    fn on_ack(&mut self, from: &MemberInfo, nonce: u64, out: &mut Vec<Output>) {
        self.forward_ack(&from.name, nonce, out);
        // Any answer shows that this router's messages arrive. Only the answer to a ping sent after the
        // router resumed shows that it can receive messages again.
        self.health.on_answered(nonce, self.now);
    }
}
