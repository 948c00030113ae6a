//! Messages as they come in.

use super::*;

impl Membership {
    /// Takes a message whose code was right.
    pub fn on_message(&mut self, now: Nanos, message: Message, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        if self.leaving {
            return;
        }
        self.counters.received += 1;
        let Message { from, to, seq, heard_members: hears, body: word, updates: news } = message;
        if !to.is_empty() && to != self.set.name {
            self.counters.misdirected += 1;
            return;
        }
        if from.name == self.set.name {
            return self.on_namesake(&from, seq, out);
        }
        if !self.admit(&from, seq, out) {
            return;
        }
        self.heard(&from, hears, out);
        for one in news {
            self.take(one, out);
        }
        self.on_word(&from, word, out);
    }

    /// Whether a message is new, and of the process that has the name now.
    pub(super) fn admit(&mut self, from: &MemberInfo, seq: u64, out: &mut Vec<Output>) -> bool {
        let Some(member) = self.members.get_mut(&from.name) else {
            return self.meet(from, seq, out);
        };
        let known = &member.facts;
        if from.run_id == known.run_id && from.incarnation >= known.incarnation {
            let new = member.window.admit(seq);
            self.counters.replayed += u64::from(!new);
            return new;
        }
        if from.incarnation > known.incarnation {
            let change = member.lives(from, self.now);
            let new = member.window.admit(seq);
            self.counters.replayed += u64::from(!new);
            self.on_change(&from.name, "", change, out);
            return new;
        }
        // A process that should be over.
        let (name, now) = (from.name.clone(), self.now);
        match another(&mut member.other, from, Some(seq), member.alive_at, now) {
            None => self.counters.replayed += 1,
            Some(found) => {
                if found {
                    let addresses = [member.facts.address.clone(), from.address.clone()];
                    out.push(Output::Happened(Happening::Twins { name: name.clone(), addresses }));
                }
                // Its disk may have gone back: it is told at once what was witnessed, or it would speak to nobody
                // until it is asked by chance.
                if let Ok(address) = from.address.parse() {
                    let topic = Topic::Member(name.clone());
                    self.send(address, name, MessageBody::Nack { nonce: 0 }, &[topic], out);
                }
            }
        }
        self.counters.misdirected += 1;
        false
    }

    pub(super) fn meet(&mut self, from: &MemberInfo, seq: u64, out: &mut Vec<Output>) -> bool {
        if self.members.len() >= MOST_MEMBERS {
            self.counters.no_room += 1;
            return false;
        }
        let mut member = Member::new(from.clone(), self.now);
        member.window.admit(seq);
        self.members.insert(from.name.clone(), member);
        self.queue.put(Topic::Member(from.name.clone()));
        out.push(Output::Happened(Happening::Joined { name: from.name.clone() }));
        // Who is new may know of others, and what it is told now it need not learn by and by.
        if self.exchange.is_none() {
            self.ask_for(&from.name, String::new(), out);
        }
        true
    }

    pub(super) fn heard(&mut self, from: &MemberInfo, hears: u16, out: &mut Vec<Output>) {
        let now = self.now;
        self.hearing.heard_at = now;
        let Some(member) = self.members.get_mut(&from.name) else { return };
        member.direct_at = Some(now);
        member.hears = hears;
        member.doubt = None;
        let was_deaf = std::mem::replace(&mut member.deaf, false);
        let change = member.lives(from, now);
        self.on_change(&from.name, "", change, out);
        if was_deaf {
            self.say_edge(&from.name, false, out);
        }
    }

    pub(super) fn on_word(&mut self, from: &MemberInfo, word: MessageBody, out: &mut Vec<Output>) {
        match word {
            MessageBody::Ping { nonce } => self.say(&from.name, MessageBody::Ack { nonce }, &[], out),
            MessageBody::Ack { nonce } => self.on_ack(from, nonce, out),
            MessageBody::PingRequest { nonce, target, address } => {
                let Ok(address) = address.parse::<SocketAddr>() else { return };
                let until = self.now + self.set.period / 2;
                self.nonce += 1;
                let mine = self.nonce;
                if self.probes.relay(mine, Relayed { asker: from.name.clone(), nonce, until }) {
                    self.send(address, target, MessageBody::Ping { nonce: mine }, &[], out);
                }
            }
            MessageBody::Nack { nonce } => {
                if let Some(probe) = self.probes.current.as_mut().filter(|p| p.nonce == nonce) {
                    probe.nacks += 1;
                }
            }
            MessageBody::SyncRequest { after } => self.on_want(&from.name, after, out),
            MessageBody::SyncPage { after, next } => self.on_page(&from.name, &after, next, out),
            MessageBody::Payload { bytes } => out.push(Output::Talk { from: from.name.clone(), bytes }),
        }
    }

    pub(super) fn on_ack(&mut self, from: &MemberInfo, nonce: u64, out: &mut Vec<Output>) {
        if let Some(relayed) = self.probes.relayed(nonce) {
            // Its sign of life goes with it.
            let topic = Topic::Member(from.name.clone());
            self.say(&relayed.asker, MessageBody::Ack { nonce: relayed.nonce }, &[topic], out);
        }
        // Any answer shows that this router is heard; only one to a later ping that it hears since it woke.
        self.hearing.answered(nonce, self.now);
    }
}
