//! Handling of disseminated updates, and of the transitions that they cause.

use super::Membership;
use crate::dissemination::Topic;
use crate::event::MembershipEvent;
use crate::link_failures::ReportedAt;
use crate::member::{Member, Transition};
use crate::output::Output;
use crate::settings::MAX_MEMBERS;
use gaparch_protocol::fleet::{MemberInfo, MemberState, Update};

impl Membership {
    pub(super) fn on_update(&mut self, update: Update, out: &mut Vec<Output>) {
        match update {
            Update::Member { info, state, reporter, last_heartbeat } if info.name == self.settings.name => {
                self.on_claim_about_self(&info, state, &reporter, last_heartbeat, out);
            }
            Update::Member { info, state, reporter, last_heartbeat } => {
                self.on_claim_about_member(&info, state, &reporter, last_heartbeat, out);
            }
            Update::Link { from, to, failed, incarnation, heartbeat } => {
                let reported_at = ReportedAt { incarnation, heartbeat };
                self.on_link_report(from, to, failed, reported_at, out);
            }
        }
    }

    fn on_link_report(
        &mut self,
        from: String,
        to: String,
        failed: bool,
        reported_at: ReportedAt,
        out: &mut Vec<Output>,
    ) {
        let is_known = |name: &str| name == self.settings.name || self.members.contains_key(name);
        if to == self.settings.name || !is_known(&from) || !is_known(&to) {
            return;
        }
        if self.links.record(&from, &to, failed, reported_at, self.now) {
            self.disseminate_link(from, to, failed, out);
        }
    }

    fn on_claim_about_member(
        &mut self,
        info: &MemberInfo,
        state: MemberState,
        reporter: &str,
        last_heartbeat: u64,
        out: &mut Vec<Output>,
    ) {
        let now = self.now;
        let is_known = self.members.contains_key(&info.name);
        if !is_known && self.members.len() >= MAX_MEMBERS {
            self.counters.rejected_members += 1;
            return;
        }
        let member = self.members.entry(info.name.clone()).or_insert_with(|| Member::new(info.clone(), now));
        if !is_known && !matches!(state, MemberState::Alive | MemberState::Suspect) {
            // Recorded so that older updates do not bring the member back; it need not be disseminated again.
            member.state = state;
            member.reported_heartbeat = last_heartbeat;
            reporter.clone_into(&mut member.reported_by);
            return;
        }
        let transition = match state {
            MemberState::Alive => member.observe_alive(info, now),
            MemberState::Suspect => member.observe_suspicion(info, reporter, last_heartbeat, now),
            MemberState::Dead => member.observe_death(info, reporter, last_heartbeat, now),
            MemberState::Left => member.observe_leave(info, now),
        };
        if !is_known {
            self.on_joined(&info.name, out);
        }
        self.on_transition(&info.name, reporter, transition, out);
    }

    pub(super) fn on_joined(&mut self, name: &str, out: &mut Vec<Output>) {
        self.queue.push(Topic::Member(name.to_owned()));
        out.push(Output::Event(MembershipEvent::Joined { name: name.to_owned() }));
    }

    /// Disseminates, counts and reports the transition that a claim by `reporter` caused.
    pub(super) fn on_transition(
        &mut self,
        name: &str,
        reporter: &str,
        transition: Transition,
        out: &mut Vec<Output>,
    ) {
        if transition == Transition::Unchanged {
            return;
        }
        // In plain SWIM only the suspect itself disputes a suspicion.
        if transition == Transition::Disputed && !self.settings.use_extensions {
            return;
        }
        self.queue.push(Topic::Member(name.to_owned()));
        self.count_transition(&transition);
        out.extend(self.transition_event(name, reporter, transition).map(Output::Event));
    }

    fn count_transition(&mut self, transition: &Transition) {
        match transition {
            Transition::Returned(was) => self.counters.returns += u64::from(*was == MemberState::Dead),
            Transition::Refuted => self.counters.refutations += 1,
            Transition::Suspected => self.counters.suspicions += 1,
            Transition::Died => self.counters.deaths += 1,
            _ => {}
        }
    }

    fn transition_event(
        &self,
        name: &str,
        reporter: &str,
        transition: Transition,
    ) -> Option<MembershipEvent> {
        let name = name.to_owned();
        let by = reporter.to_owned();
        match transition {
            // A name clash is reported once messages from both processes show that both are running.
            Transition::Unchanged | Transition::Disputed | Transition::Confirmed | Transition::NameClash => {
                None
            }
            Transition::Restarted => {
                let incarnation = self.members.get(&name).map_or(0, |member| member.info.incarnation);
                Some(MembershipEvent::Restarted { name, incarnation })
            }
            Transition::Returned(was) => Some(MembershipEvent::Returned { name, was }),
            Transition::Refuted => Some(MembershipEvent::Refuted { name }),
            Transition::Suspected => Some(MembershipEvent::Suspected { name, by }),
            Transition::Died => Some(MembershipEvent::Died { name, by }),
            Transition::Left => Some(MembershipEvent::Left { name }),
        }
    }
}
