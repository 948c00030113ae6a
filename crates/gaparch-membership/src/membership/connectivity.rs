//! This router's own connectivity: isolation, unanswered pings, and links that failed in one direction.

use super::Membership;
use crate::dissemination::Topic;
use crate::duplicate::RECENT_WINDOW;
use crate::event::MembershipEvent;
use crate::link_failures::ReportedAt;
use crate::local_health::Connectivity;
use crate::member::Member;
use crate::output::Output;

/// The number of unanswered pings, with no other message received either, after which a link counts as failed
/// in one direction.
const LINK_FAILED_AFTER_PINGS: u32 = 15;

impl Membership {
    pub(super) fn check_connectivity(&mut self, out: &mut Vec<Output>) {
        self.count_direct_peers();
        let others = self.present().count();
        let change = self.health.check(others, &self.settings, self.nonce, self.now);
        if change.isolation {
            self.on_isolation_changed(out);
        }
        if change.unanswered {
            let event = match self.health.connectivity() {
                Connectivity::Unanswered => MembershipEvent::Unanswered,
                Connectivity::Connected | Connectivity::Isolated => MembershipEvent::AnsweredAgain,
            };
            out.push(Output::Event(event));
        }
        if !self.health.is_isolated() && !self.health.is_recovering() {
            self.report_failed_links(out);
        }
    }

    fn count_direct_peers(&mut self) {
        let recent_since = self.now.saturating_sub(RECENT_WINDOW);
        let is_direct = |member: &&Member| member.last_received_at.is_some_and(|at| at >= recent_since);
        let direct_peers = self.members.values().filter(is_direct).count();
        self.direct_peers = u16::try_from(direct_peers).unwrap_or(u16::MAX);
    }

    fn on_isolation_changed(&mut self, out: &mut Vec<Output>) {
        if self.health.is_isolated() {
            out.push(Output::Event(MembershipEvent::Isolated));
            return;
        }
        out.push(Output::Event(MembershipEvent::IsolationEnded));
        if self.settings.use_extensions {
            self.restart_suspicions();
        }
    }

    /// Reports members whose messages reach other members, but not this router.
    fn report_failed_links(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let has_failed_link = |member: &Member| {
            member.is_present()
                && !member.link_failed
                && member.unanswered_pings.is_some_and(|pings| pings >= LINK_FAILED_AFTER_PINGS)
        };
        let failed = self.members.iter().filter(|(_, member)| has_failed_link(member));
        let names: Vec<String> = failed.map(|(name, _)| name.clone()).collect();
        for name in names {
            let Some(member) = self.members.get_mut(&name) else { continue };
            if now.saturating_sub(member.last_alive_at) >= RECENT_WINDOW * 2 {
                continue;
            }
            member.link_failed = true;
            member.unanswered_pings = None;
            self.report_link(&name, true, out);
        }
    }

    /// Reports that this router does not receive a member's messages, or receives them again.
    pub(super) fn report_link(&mut self, from: &str, failed: bool, out: &mut Vec<Output>) {
        let local = self.settings.name.clone();
        if failed && !self.links.can_report(&local) {
            return;
        }
        let reported_at =
            ReportedAt { incarnation: self.identity.incarnation(), heartbeat: self.heartbeat() };
        if self.links.record(from, &local, failed, reported_at, self.now) {
            self.disseminate_link(from.to_owned(), local, failed, out);
        }
    }

    pub(super) fn disseminate_link(&mut self, from: String, to: String, failed: bool, out: &mut Vec<Output>) {
        self.queue.push(Topic::Link { from: from.clone(), to: to.clone() });
        out.push(Output::Event(match failed {
            true => MembershipEvent::LinkFailed { from, to },
            false => MembershipEvent::LinkRecovered { from, to },
        }));
    }
}
