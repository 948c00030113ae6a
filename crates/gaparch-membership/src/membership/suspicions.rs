//! Suspicions: when this router suspects a member, confirms a suspicion, and declares a member dead.

use super::Membership;
use crate::member::Member;
use crate::output::Output;
use crate::suspicion::Suspicion;
use crate::Nanos;

/// The number of this router's own pings that a suspect must leave unanswered before this router may declare
/// it dead.
pub(super) const MIN_PINGS_BEFORE_DEATH: u32 = 4;

/// A member that this router accuses, and the last heartbeat that is known to the accusers.
struct Accusation {
    name: String,
    last_heartbeat: u64,
}

impl Membership {
    /// Whether this router may currently treat missing messages as evidence against other members.
    pub(super) fn may_suspect(&self) -> bool {
        if !self.settings.use_extensions {
            return true;
        }
        // With only one other member, its death and this router's isolation can't be distinguished, and there
        // is no third member that a wrong conclusion could mislead.
        let is_isolated_among_many = self.health.is_isolated() && self.present().count() > 1;
        !self.health.is_recovering() && !is_isolated_among_many
    }

    pub(super) fn suspect(&mut self, name: &str, last_heartbeat: u64, out: &mut Vec<Output>) {
        let local = self.settings.name.clone();
        let Some(member) = self.members.get_mut(name) else { return };
        let info = member.info.clone();
        let transition = member.observe_suspicion(&info, &local, last_heartbeat, self.now);
        self.on_transition(name, &local, transition, out);
    }

    fn declare_dead(&mut self, name: &str, last_heartbeat: u64, out: &mut Vec<Output>) {
        let local = self.settings.name.clone();
        let Some(member) = self.members.get_mut(name) else { return };
        let info = member.info.clone();
        let transition = member.observe_death(&info, &local, last_heartbeat, self.now);
        self.on_transition(name, &local, transition, out);
    }

    /// Confirms suspicions that this router's own pings corroborate, and declares members dead whose
    /// suspicion has timed out.
    pub(super) fn check_suspicions(&mut self, out: &mut Vec<Output>) {
        if !self.may_suspect() {
            return;
        }
        let confirmed = self.accusations(|member, suspicion| self.is_confirmed_here(member, suspicion));
        let members = self.present().count() + 1;
        let dead = self.accusations(|_, suspicion| self.has_timed_out(suspicion, members));
        for accusation in confirmed {
            self.suspect(&accusation.name, accusation.last_heartbeat, out);
        }
        for accusation in dead {
            self.declare_dead(&accusation.name, accusation.last_heartbeat, out);
        }
    }

    fn accusations(&self, applies: impl Fn(&Member, &Suspicion) -> bool) -> Vec<Accusation> {
        let suspects = self.members.iter().filter_map(|(name, member)| {
            let suspicion = member.suspicion.as_ref()?;
            applies(member, suspicion)
                .then(|| Accusation { name: name.clone(), last_heartbeat: suspicion.last_heartbeat })
        });
        suspects.collect()
    }

    fn is_confirmed_here(&self, member: &Member, suspicion: &Suspicion) -> bool {
        let Some(since) = suspicion.probed_since else { return false };
        let timeout: Nanos = self.probe_timeout();
        self.now >= since + timeout && member.last_received_at < Some(since)
    }

    fn has_timed_out(&self, suspicion: &Suspicion, members: usize) -> bool {
        let timeout = self.settings.suspicion_timeout(members, suspicion.confirmations());
        let has_probed = !self.settings.use_extensions || suspicion.attempts >= MIN_PINGS_BEFORE_DEATH;
        has_probed && self.now >= suspicion.started_at.saturating_add(timeout)
    }
}
