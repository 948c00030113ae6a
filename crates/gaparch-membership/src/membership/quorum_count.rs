//! Outputs changes of the quorum and of the number of routers by which the site's limits are divided.

use super::Membership;
use crate::event::MembershipEvent;
use crate::output::Output;

impl Membership {
    pub(super) fn recount(&mut self, out: &mut Vec<Output>) {
        let is_isolated = self.health.is_isolated();
        let members = self.members.values_mut();
        let changed = self.quorum.recount(members, is_isolated, &self.settings, self.now);
        if changed {
            self.report_quorum(out);
        }
        self.check_router_count(out);
        let divisor = self.quorum.divisor(self.settings.max_routers);
        if divisor != self.divisor {
            self.divisor = divisor;
            out.push(Output::RouterCount(divisor));
        }
    }

    fn report_quorum(&self, out: &mut Vec<Output>) {
        let present = self.quorum.present;
        let counted = self.quorum.counted;
        out.push(Output::Event(match self.quorum.has_quorum {
            true => MembershipEvent::QuorumGained { present, counted },
            false => MembershipEvent::QuorumLost { present, counted },
        }));
    }

    /// Reports once if more routers are present than the settings state: the bound in [`crate::quorum`]
    /// relies on that number.
    fn check_router_count(&mut self, out: &mut Vec<Output>) {
        let present = self.quorum.present;
        let max_routers = self.settings.max_routers;
        if present <= max_routers || self.has_too_many_routers {
            return;
        }
        self.has_too_many_routers = true;
        out.push(Output::Event(MembershipEvent::TooManyRouters { present, max_routers }));
    }
}
