//! What a router makes of itself: its name, its hearing, its links, where it stands.

use super::*;

impl Membership {
    /// A message with this router's own name on it, not of this process.
    pub(super) fn on_namesake(&mut self, from: &MemberInfo, seq: u64, out: &mut Vec<Output>) {
        self.counters.misdirected += 1;
        if from.run_id == self.set.run {
            return;
        }
        if another(&mut self.own_twin, from, Some(seq), self.now, self.now) == Some(true) {
            self.tell_own_twin(&from.address, out);
        }
        self.outdo(from, out);
    }

    pub(super) fn tell_own_twin(&mut self, address: &str, out: &mut Vec<Output>) {
        let addresses = [self.set.address.to_string(), address.to_owned()];
        out.push(Output::Happened(Happening::Twins { name: self.set.name.clone(), addresses }));
    }

    /// Others have witnessed a later process of this name than the disk knew of, or one that runs beside this.
    pub(super) fn outdo(&mut self, facts: &MemberInfo, out: &mut Vec<Output>) {
        let witnessed = facts.incarnation;
        // Two that live would drive each other up for ever.
        if witnessed < self.incarnation || self.own_twin.as_ref().is_some_and(|o| o.twin) {
            return;
        }
        if self.outdone == Some(facts.run_id) {
            // It was outdone before, and has answered: it lives.
            self.outdone = None;
            let (window, first_beat) = (Window::default(), facts.heartbeat);
            let facts = facts.clone();
            self.tell_own_twin(&facts.address, out);
            self.own_twin = Some(Other { facts, window, first_beat, heard_at: self.now, twin: true });
            return;
        }
        self.outdone = Some(facts.run_id);
        if self.now < self.began + SETTLED_AFTER {
            out.push(Output::Happened(Happening::DiskLied { kept: self.kept, witnessed }));
        }
        self.incarnation = witnessed.saturating_add(1);
        out.push(Output::Keep { incarnation: self.incarnation });
    }

    pub(super) fn on_myself(
        &mut self,
        facts: &MemberInfo,
        state: MemberState,
        by: &str,
        silent: u64,
        out: &mut Vec<Output>,
    ) {
        if facts.run_id != self.set.run {
            return self.outdo(facts, out);
        }
        if facts.incarnation < self.incarnation || state == MemberState::Alive {
            return;
        }
        // All my messages say that I live, and from now on by a later beat than I was accused at.
        let behind = silent.saturating_sub(self.beat());
        if behind > MOST_BEHIND {
            // No clock goes that wrong: a new incarnation ends the claim, whatever it was.
            self.incarnation = self.incarnation.saturating_add(1);
            out.push(Output::Keep { incarnation: self.incarnation });
        } else if behind > 0 {
            self.pushed += behind;
        }
        if self.set.refined {
            self.hearing.worse(1);
        } else {
            self.incarnation += 1;
        }
        if state == MemberState::Dead {
            out.push(Output::Happened(Happening::WasGivenUp { by: by.to_owned() }));
        }
    }

    pub(super) fn look_at_hearing(&mut self, out: &mut Vec<Output>) {
        let others = self.present().count();
        let (now, period) = (self.now, self.set.period);
        let heard_from = now.saturating_sub(FRESH);
        let heard = self.members.values().filter(|m| m.direct_at.is_some_and(|at| at >= heard_from));
        self.hears = u16::try_from(heard.count()).unwrap_or(u16::MAX);
        let (nobody, unheard) = self.hearing.look(others, (self.set.silence(), period), self.nonce, now);
        if nobody {
            let now_deaf = self.hearing.nobody;
            out.push(Output::Happened(if now_deaf { Happening::HearsNobody } else { Happening::HearsAgain }));
            if !now_deaf && self.set.refined {
                let all = self.members.values_mut().filter_map(|m| m.suspicion.as_mut());
                all.for_each(|s| s.begin_again(now));
            }
        }
        if unheard {
            let now_mute = self.hearing.unheard;
            out.push(Output::Happened(if now_mute { Happening::Unheard } else { Happening::HeardAgain }));
        }
        if self.hearing.nobody || self.hearing.unsure_after.is_some() {
            return;
        }
        let deaf_to: Vec<String> = self
            .members
            .iter()
            .filter(|(_, m)| {
                m.is_present() && !m.deaf && m.doubt.is_some_and(|(_, tries)| tries >= DEAF_AFTER)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in deaf_to {
            let member = self.members.get_mut(&name);
            let fresh = |m: &&mut Member| now.saturating_sub(m.alive_at) < FRESH * 2;
            let Some(member) = member.filter(fresh) else { continue };
            (member.deaf, member.doubt) = (true, None);
            self.say_edge(&name, true, out);
        }
    }

    /// Says that this router does not hear a member, or does again.
    pub(super) fn say_edge(&mut self, from: &str, lost: bool, out: &mut Vec<Output>) {
        let me = self.set.name.clone();
        if lost && self.edges.of(&me) >= MOST_OF_ONE {
            return;
        }
        let said = (self.incarnation, self.beat());
        if self.edges.take(from, &me, lost, said, self.now) {
            self.tell_edge(from.to_owned(), me, lost, out);
        }
    }

    pub(super) fn forget(&mut self) {
        let now = self.now;
        let old = |m: &Member| !m.is_present() && now >= m.since.saturating_add(REMEMBER);
        self.members.retain(|_, member| {
            if member.other.as_ref().is_some_and(|o| o.twin && now >= o.heard_at.saturating_add(TWIN_FOR)) {
                member.other = None;
            }
            !old(member)
        });
        if self.own_twin.as_ref().is_some_and(|o| now >= o.heard_at.saturating_add(TWIN_FOR)) {
            self.own_twin = None;
        }
        let (members, me) = (&self.members, &self.set.name);
        let present = |name: &str| name == me || members.get(name).is_some_and(Member::is_present);
        self.edges.retain(present, now);
    }

    pub(super) fn count(&mut self, out: &mut Vec<Output>) {
        let terms = (self.set.routers, self.set.period, self.set.hold);
        let hears = !self.hearing.nobody;
        let changed = self.standing.count(self.members.values_mut(), hears, terms, self.now);
        let Standing { present, counted, majority, .. } = self.standing;
        if changed {
            out.push(Output::Happened(match majority {
                true => Happening::Majority { present, counted },
                false => Happening::NoMajority { present, counted },
            }));
        }
        let too_many = present > self.set.routers;
        if too_many && !std::mem::replace(&mut self.too_many, too_many) {
            out.push(Output::Happened(Happening::TooMany { present, routers: self.set.routers }));
        }
        let divisor = self.standing.divisor(self.set.routers);
        if divisor != std::mem::replace(&mut self.divisor, divisor) {
            out.push(Output::Routers(divisor));
        }
    }

    /// Says that it goes. Nothing is taken from then on.
    pub fn leave(&mut self, now: Nanos, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        let names: Vec<String> = self.present().map(|(name, _)| name.clone()).collect();
        for name in self.some(names, FAREWELLS) {
            let Some(address) = self.address(&name) else { continue };
            let facts = self.facts();
            let by = self.set.name.clone();
            let news = vec![Update::Member {
                info: facts,
                state: MemberState::Left,
                reporter: by,
                last_heartbeat: 0,
            }];
            self.nonce += 1;
            self.post(address, name, MessageBody::Nack { nonce: 0 }, news, out);
        }
        self.leaving = true;
    }
}
