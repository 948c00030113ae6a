//! Whom to ask, and what to make of no answer.

use super::*;

impl Membership {
    pub(super) fn look_at_probe(&mut self, out: &mut Vec<Output>) {
        let Some(mut probe) = self.probes.current.take() else { return };
        let waited = self.now.saturating_sub(probe.sent_at);
        let patience = self.set.period * self.hearing.patience();
        let heard = self.members.get(&probe.target).is_none_or(|m| m.direct_at >= Some(probe.sent_at));
        if heard {
            self.hearing.better();
            return;
        }
        if waited >= patience / 2 && probe.asked == 0 {
            probe.asked = self.ask_others(&probe, out).max(1);
        }
        if waited < patience {
            self.probes.current = Some(probe);
            return;
        }
        self.on_no_answer(&probe, out);
    }

    /// Asks some others to try, of other zones first: what cuts one zone off may leave the rest whole.
    pub(super) fn ask_others(&mut self, probe: &Probe, out: &mut Vec<Output>) -> usize {
        let Some(target) = self.members.get(&probe.target) else { return 0 };
        let address = target.facts.address.clone();
        let alive = |m: &Member| m.state == MemberState::Alive;
        let all = self.members.values().filter(|m| alive(m) && m.facts.name != probe.target);
        let mut helpers: Vec<(bool, u64, String)> =
            all.map(|m| (m.facts.zone == self.set.zone, self.rng.random(), m.facts.name.clone())).collect();
        helpers.sort_unstable();
        // One of the own zone at least, if there is any.
        let near = helpers.iter().position(|h| h.0).filter(|at| *at >= HELPERS);
        near.into_iter().for_each(|at| helpers.swap(at, HELPERS - 1));
        helpers.truncate(HELPERS);
        let helpers: Vec<String> = helpers.into_iter().map(|(.., name)| name).collect();
        for helper in &helpers {
            let word = MessageBody::PingRequest {
                nonce: probe.nonce,
                target: probe.target.clone(),
                address: address.clone(),
            };
            self.say(helper, word, &[], out);
        }
        helpers.len()
    }

    pub(super) fn on_no_answer(&mut self, probe: &Probe, out: &mut Vec<Output>) {
        let asked = probe.asked;
        let Some(member) = self.members.get_mut(&probe.target) else { return };
        if !member.is_present() {
            return;
        }
        if member.facts.heartbeat > probe.silent {
            // Others hear it: it is the way to it that fails.
            member.doubt.get_or_insert((probe.sent_at, 0));
            self.hearing.better();
            return;
        }
        if self.set.refined {
            // Lifeguard: helpers who said nothing at all speak against oneself.
            let missing = asked.saturating_sub(probe.nacks) as u32;
            self.hearing.worse(1 + missing.min(1));
        }
        if self.may_accuse() {
            self.accuse(&probe.target, probe.silent, out);
        }
    }

    pub(super) fn accuse(&mut self, target: &str, silent: u64, out: &mut Vec<Output>) {
        let (me, now) = (self.set.name.clone(), self.now);
        let Some(member) = self.members.get_mut(target) else { return };
        let facts = member.facts.clone();
        let change = member.is_accused(&facts, &me, silent, now);
        self.on_change(target, &me, change, out);
    }

    /// Starts the next round: the member whose turn it is, those in doubt, and now and then those given up.
    pub(super) fn probe(&mut self, out: &mut Vec<Output>) {
        self.rounds += 1;
        self.probes.next_at = self.now + self.set.period * self.hearing.patience();
        let members = &self.members;
        let present = |name: &str| members.get(name).is_some_and(Member::is_present);
        let all = members.iter().filter(|(_, m)| m.is_present()).map(|(name, _)| name);
        let target = self.probes.next_target(&mut self.rng, present, all);
        if let Some(target) = &target {
            let silent = self.members.get(target).map_or(0, |m| m.beat_at(self.now));
            let nonce = self.ping(target, out);
            let (target, sent_at) = (target.clone(), self.now);
            self.probes.current = Some(Probe { target, nonce, sent_at, silent, asked: 0, nacks: 0 });
        }
        let alone = self.present().next().is_none();
        if alone || self.rounds.is_multiple_of(OLD_ONES_EVERY) {
            self.probe_old_ones(out);
        }
    }

    /// Everyone who knows of a suspicion asks for itself: that is what makes a wrong one short, and a right one sure.
    pub(super) fn probe_doubtful(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let doubtful = |m: &Member| m.suspicion.is_some() || m.doubt.is_some();
        let all = self.present().filter(|(_, m)| doubtful(m));
        let names: Vec<String> = all.map(|(name, _)| name.clone()).collect();
        let mut helped = false;
        for name in self.some(names, EXTRA) {
            let nonce = self.ping(&name, out);
            let Some(member) = self.members.get_mut(&name) else { continue };
            if let Some((_, tries)) = &mut member.doubt {
                *tries = tries.saturating_add(1);
            }
            let Some(suspicion) = &mut member.suspicion else { continue };
            suspicion.asked_from.get_or_insert(now);
            suspicion.tries = suspicion.tries.saturating_add(1);
            if !helped && suspicion.tries.is_multiple_of(TRIES / 2) {
                helped = true;
                let silent = suspicion.silent;
                let probe = Probe { target: name, nonce, sent_at: now, silent, asked: 0, nacks: 0 };
                self.ask_others(&probe, out);
            }
        }
    }

    pub(super) fn probe_old_ones(&mut self, out: &mut Vec<Output>) {
        let gone: Vec<String> = self
            .members
            .iter()
            .filter(|(_, m)| m.state == MemberState::Dead)
            .map(|(n, _)| n.clone())
            .collect();
        if let Some(name) = gone.choose(&mut self.rng).cloned() {
            self.ping(&name, out);
        }
        let known = |seed: &SocketAddr| {
            let seed = seed.to_string();
            self.members.values().any(|m| m.is_present() && m.facts.address == seed)
        };
        let unknown: Vec<SocketAddr> =
            self.set.seeds.iter().filter(|s| **s != self.set.address && !known(s)).copied().collect();
        if let Some(seed) = unknown.choose(&mut self.rng) {
            self.nonce += 1;
            let word = MessageBody::Ping { nonce: self.nonce };
            self.send(*seed, String::new(), word, &[], out);
        }
    }

    pub(super) fn ping(&mut self, name: &str, out: &mut Vec<Output>) -> u64 {
        self.nonce += 1;
        let nonce = self.nonce;
        // Lifeguard's buddy: the accused is told first, so that it can answer.
        let topic = Topic::Member(name.to_owned());
        let accused = self.members.get(name).is_some_and(|m| m.state != MemberState::Alive);
        self.say(
            name,
            MessageBody::Ping { nonce },
            if accused { std::slice::from_ref(&topic) } else { &[] },
            out,
        );
        nonce
    }

    pub(super) fn look_at_suspects(&mut self, out: &mut Vec<Output>) {
        let (now, period) = (self.now, self.set.period * self.hearing.patience());
        if !self.may_accuse() {
            return;
        }
        let members = self.present().count() + 1;
        let mut shared = Vec::new();
        let mut dead = Vec::new();
        for (name, member) in &self.members {
            let Some(suspicion) = &member.suspicion else { continue };
            let asked = suspicion.asked_from.filter(|from| now >= from + period);
            if asked.is_some_and(|from| member.direct_at < Some(from)) {
                shared.push((name.clone(), suspicion.silent));
            }
            let patience = self.set.patience(members, suspicion.accusers.len().saturating_sub(1));
            let tried = !self.set.refined || suspicion.tries >= TRIES;
            if tried && now >= suspicion.held_from.saturating_add(patience) {
                dead.push((name.clone(), suspicion.silent));
            }
        }
        for (name, silent) in shared {
            self.accuse(&name, silent, out);
        }
        let me = self.set.name.clone();
        for (name, silent) in dead {
            let Some(member) = self.members.get_mut(&name) else { continue };
            let facts = member.facts.clone();
            let change = member.is_declared_dead(&facts, &me, silent, now);
            self.on_change(&name, &me, change, out);
        }
    }

    /// At most so many of them, by lot.
    pub(super) fn some(&mut self, mut names: Vec<String>, most: usize) -> Vec<String> {
        names.shuffle(&mut self.rng);
        names.truncate(most);
        names
    }
}
