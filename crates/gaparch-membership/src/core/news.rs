//! What others say of others.

use super::*;

impl Membership {
    pub(super) fn take(&mut self, news: Update, out: &mut Vec<Output>) {
        match news {
            Update::Member { info: facts, state, reporter: by, last_heartbeat: silent }
                if facts.name == self.set.name =>
            {
                self.on_myself(&facts, state, &by, silent, out);
            }
            Update::Member { info: facts, state, reporter: by, last_heartbeat: silent } => {
                self.on_other(&facts, state, &by, silent, out)
            }
            Update::Link { from, to, failed: lost, incarnation, heartbeat: beat } => {
                let known = |name: &str| name == self.set.name || self.members.contains_key(name);
                if to == self.set.name || !known(&from) || !known(&to) {
                    return;
                }
                if self.edges.take(&from, &to, lost, (incarnation, beat), self.now) {
                    self.tell_edge(from, to, lost, out);
                }
            }
        }
    }

    /// Passes on that a link is cut in one direction, or whole again.
    pub(super) fn tell_edge(&mut self, from: String, to: String, lost: bool, out: &mut Vec<Output>) {
        self.queue.put(Topic::Edge(from.clone(), to.clone()));
        out.push(Output::Happened(match lost {
            true => Happening::EdgeLost { from, to },
            false => Happening::EdgeBack { from, to },
        }));
    }

    pub(super) fn on_other(
        &mut self,
        facts: &MemberInfo,
        state: MemberState,
        by: &str,
        silent: u64,
        out: &mut Vec<Output>,
    ) {
        let now = self.now;
        let known = self.members.contains_key(&facts.name);
        if !known && self.members.len() >= MOST_MEMBERS {
            self.counters.no_room += 1;
            return;
        }
        let member =
            self.members.entry(facts.name.clone()).or_insert_with(|| Member::new(facts.clone(), now));
        if !known && !matches!(state, MemberState::Alive | MemberState::Suspect) {
            // Remembered, so that older news does not bring it to life; nobody has to hear of it again.
            (member.state, member.silent) = (state, silent);
            by.clone_into(&mut member.by);
            return;
        }
        let change = match state {
            MemberState::Alive => member.lives(facts, now),
            MemberState::Suspect => member.is_accused(facts, by, silent, now),
            MemberState::Dead => member.is_declared_dead(facts, by, silent, now),
            MemberState::Left => member.leaves(facts, now),
        };
        if !known {
            self.queue.put(Topic::Member(facts.name.clone()));
            out.push(Output::Happened(Happening::Joined { name: facts.name.clone() }));
        }
        self.on_change(&facts.name, by, change, out);
    }

    pub(super) fn on_change(&mut self, name: &str, by: &str, change: Change, out: &mut Vec<Output>) {
        let name = name.to_owned();
        if !matches!(change, Change::Nothing) {
            // Plain SWIM lets nobody but the accused speak against an accusation.
            if change == Change::Dispute && !self.set.refined {
                return;
            }
            self.queue.put(Topic::Member(name.clone()));
        }
        let happened = match change {
            // Of a clash, which of the two it is comes out when both are heard.
            Change::Nothing | Change::Dispute | Change::Confirmed | Change::Clash => return,
            Change::Restarted => {
                let incarnation = self.members.get(&name).map_or(0, |m| m.facts.incarnation);
                Happening::Restarted { name, incarnation }
            }
            Change::Returned(was) => {
                self.counters.returns += u64::from(was == MemberState::Dead);
                Happening::Returned { name, was }
            }
            Change::Refuted => {
                self.counters.cleared += 1;
                Happening::Cleared { name }
            }
            Change::Suspected => {
                self.counters.suspicions += 1;
                Happening::Suspected { name, by: by.to_owned() }
            }
            Change::Died => {
                self.counters.deaths += 1;
                Happening::Died { name, by: by.to_owned() }
            }
            Change::Left => Happening::Left { name },
        };
        out.push(Output::Happened(happened));
    }
}
