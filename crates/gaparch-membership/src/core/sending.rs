//! What goes out.

use super::*;

impl Membership {
    pub(super) fn beat(&self) -> u64 {
        self.now.saturating_sub(self.began) / MS + 1 + self.pushed
    }

    /// This router, as it describes itself now.
    pub fn facts(&self) -> MemberInfo {
        MemberInfo {
            name: self.set.name.clone(),
            zone: self.set.zone.clone(),
            build: self.set.build.clone(),
            address: self.set.address.to_string(),
            run_id: self.set.run,
            incarnation: self.incarnation,
            heartbeat: self.beat(),
        }
    }

    pub(super) fn address(&self, name: &str) -> Option<SocketAddr> {
        self.members.get(name)?.facts.address.parse().ok()
    }

    pub(super) fn say(&mut self, name: &str, word: MessageBody, first: &[Topic], out: &mut Vec<Output>) {
        if let Some(address) = self.address(name) {
            self.send(address, name.to_owned(), word, first, out);
        }
    }

    pub(super) fn send(
        &mut self,
        address: SocketAddr,
        to: String,
        word: MessageBody,
        first: &[Topic],
        out: &mut Vec<Output>,
    ) {
        let (news, sent) = self.news(&to, &word, first, true);
        self.queue.sent(&sent, self.standing.present as usize);
        self.post(address, to, word, news, out);
    }

    /// What fits into one datagram beside the word: what must be in it, then what others may not have heard yet.
    pub(super) fn news(
        &self,
        to: &str,
        word: &MessageBody,
        first: &[Topic],
        more: bool,
    ) -> (Vec<Update>, Vec<Topic>) {
        let bare = self.message(to.to_owned(), 0, word.clone(), Vec::new());
        let mut room = MAX_DATAGRAM_BYTES.saturating_sub(OVERHEAD + fleet::encoded_length(&bare));
        let (mut news, mut sent) = (Vec::new(), Vec::new());
        let queued = if more { self.queue.in_turn(self.seq) } else { Vec::new() };
        let rest = queued.into_iter().filter(|topic| !first.contains(topic));
        for topic in first.iter().cloned().chain(rest) {
            let Some(one) = self.words(&topic) else { continue };
            let length = fleet::encoded_length(&one);
            if length > room {
                // The order of an exchange's page must not have holes.
                if more {
                    continue;
                }
                break;
            }
            room -= length;
            news.push(one);
            sent.push(topic);
        }
        (news, sent)
    }

    pub(super) fn words(&self, topic: &Topic) -> Option<Update> {
        match topic {
            Topic::Edge(from, to) => self.edges.news(from, to),
            Topic::Member(name) => {
                let member = self.members.get(name)?;
                let (by, silent) = match (member.state, &member.suspicion) {
                    (MemberState::Suspect, Some(suspicion)) => {
                        // One's own word is worth more to others than a name passed on.
                        let me = suspicion.accusers.iter().find(|a| **a == self.set.name);
                        let by = me.or(suspicion.accusers.last()).cloned().unwrap_or_default();
                        (by, suspicion.silent)
                    }
                    (MemberState::Alive | MemberState::Suspect, _) => (String::new(), 0),
                    (MemberState::Dead, _) => (member.by.clone(), member.silent),
                    (MemberState::Left, _) => (name.clone(), 0),
                };
                Some(Update::Member {
                    info: member.facts.clone(),
                    state: member.state,
                    reporter: by,
                    last_heartbeat: silent,
                })
            }
        }
    }

    pub(super) fn message(&self, to: String, seq: u64, word: MessageBody, news: Vec<Update>) -> Message {
        Message { from: self.facts(), to, seq, heard_members: self.hears, body: word, updates: news }
    }

    pub(super) fn post(
        &mut self,
        to: SocketAddr,
        name: String,
        word: MessageBody,
        news: Vec<Update>,
        out: &mut Vec<Output>,
    ) {
        self.seq += 1;
        let message = self.message(name, self.seq, word, news);
        let length = (fleet::encoded_length(&message) + OVERHEAD) as f64;
        let gained = self.now.saturating_sub(self.purse_at) as f64 / 1e9 * BYTES_PER_S;
        (self.purse, self.purse_at) = ((self.purse + gained).min(BYTES_AT_ONCE), self.now);
        if self.purse < length {
            self.counters.throttled += 1;
            return;
        }
        self.purse -= length;
        self.counters.sent += 1;
        self.counters.sent_bytes += length as u64;
        out.push(Output::Send { to, message });
    }

    /// Says something to another router on behalf of another part, under the same bounds as all else. Dropped where it
    /// does not fit, or where the member is not known.
    pub fn talk(&mut self, now: Nanos, to: &str, bytes: Vec<u8>, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        let word = MessageBody::Payload { bytes };
        let fits = OVERHEAD
            + fleet::encoded_length(&self.message(to.to_owned(), 0, word.clone(), Vec::new()))
            <= MAX_DATAGRAM_BYTES;
        if let Some(address) = self.address(to).filter(|_| fits && !self.leaving) {
            self.post(address, to.to_owned(), word, Vec::new(), out);
        }
    }

    /// Names of all others that are present.
    pub fn others(&self) -> Vec<String> {
        self.present().map(|(name, _)| name.clone()).collect()
    }

    /// How the fleet looks from here.
    pub fn view(&self) -> View {
        let member = |m: &Member| MemberView {
            facts: m.facts.clone(),
            state: m.state,
            since: m.since,
            alive_at: m.alive_at,
            direct_at: m.direct_at,
            accused_by: match &m.suspicion {
                Some(suspicion) => suspicion.accusers.clone(),
                None => Some(m.by.clone()).filter(|by| !by.is_empty()).into_iter().collect(),
            },
            twin_at: m.other.as_ref().filter(|o| o.twin).map(|o| o.facts.address.clone()),
            hears_nobody: m.state == MemberState::Alive && m.hears == 0,
        };
        View {
            me: self.facts(),
            members: self.members.values().map(member).collect(),
            edges: self.edges.view(),
            majority: self.standing.majority,
            present: self.standing.present,
            counted: self.standing.counted,
            divisor: self.divisor,
            hears_nobody: self.hearing.nobody,
            unheard: self.hearing.unheard,
            unsure: self.hearing.unsure_after.is_some(),
            doubt: self.hearing.doubt,
            counters: self.counters,
        }
    }
}
