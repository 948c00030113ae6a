//! How many routers may be running: the number by which each router divides the limits that all share.
//!
//! Let `S` be the number of routers that the settings state, and `A` the set of routers that are running, at
//! most `S` of them. [`Quorum::divisor`] is `S` or more unless the router has had a quorum for a full dead
//! hold; then it is the router's own count, which is more than half of `S`. So **whatever the views are**,
//! due to partitions, pauses, defects or lost messages, each divisor is more than `S / 2`, and the shares of
//! all running routers add up to less than `|A| * 2 / S <= 2`. If each router counts all of `A`, which it
//! does unless one of them was declared dead or is not known yet, the shares add up to 1 at most. The
//! scheduler's floor for servers in slow start is half of what is allowed, so that even a sum of 2 is within
//! the limit. `tests/quorum.rs` checks this for arbitrary views.

use crate::member::Member;
use crate::settings::Settings;
use crate::Nanos;
use gaparch_protocol::fleet::MemberState;

/// The number of probe intervals without a majority after which the quorum counts as lost.
const LOST_AFTER_INTERVALS: u64 = 5;
/// The number of probe intervals with a majority after which the quorum counts as gained.
const GAINED_AFTER_INTERVALS: u64 = 10;

/// One router's count of the routers of its site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quorum {
    /// Whether the present routers are a majority of those that must be counted.
    pub has_quorum: bool,
    /// Whether the quorum has lasted for a full dead hold without interruption: by then every running router
    /// is known, and all work started by a router that was declared dead has ended.
    pub is_stable: bool,
    /// The number of present routers, including this one.
    pub present: u32,
    /// The number of routers that may be running: present ones, and dead ones until their dead hold is over.
    pub counted: u32,
    /// The number of known routers, present or dead, that have not left.
    pub known: u32,
    /// Since when the count of present routers has contradicted `has_quorum`.
    disagrees_since: Option<Nanos>,
    /// When the quorum was gained.
    gained_at: Option<Nanos>,
}

impl Quorum {
    /// The count of a router that knows no other.
    pub(crate) fn alone() -> Quorum {
        Quorum { present: 1, counted: 1, known: 1, ..Quorum::default() }
    }

    /// The number of routers by which this one divides the limits that all share.
    pub fn divisor(&self, max_routers: u32) -> u32 {
        // The second condition alone ensures the bound derived above, even if `is_stable` is wrong.
        if self.is_stable && u64::from(self.counted) * 2 > u64::from(max_routers) {
            self.counted
        } else {
            self.known.max(max_routers).max(1)
        }
    }

    /// Whether the present routers are a majority of those that must be counted.
    pub fn is_majority_present(&self, max_routers: u32) -> bool {
        u64::from(self.present) * 2 > u64::from(self.counted.max(max_routers))
    }

    /// Recounts the members; returns whether the quorum was gained or lost. A member that has been dead for a
    /// full dead hold, with a quorum during all of that time, is no longer counted.
    pub(crate) fn recount<'a>(
        &mut self,
        members: impl Iterator<Item = &'a mut Member>,
        is_isolated: bool,
        settings: &Settings,
        now: Nanos,
    ) -> bool {
        let quorum_since = self.gained_at.filter(|_| self.has_quorum);
        let has_lasted = |since: Nanos| now >= since.saturating_add(settings.dead_hold);
        self.is_stable = quorum_since.is_some_and(has_lasted);
        self.present = 1;
        self.counted = 1;
        self.known = 1;
        for member in members {
            if member.state == MemberState::Dead {
                let expires = quorum_since.is_some_and(|since| has_lasted(since.max(member.state_since)));
                member.hold_expired |= expires;
            }
            self.count(member, is_isolated);
        }
        self.update(settings, now)
    }

    fn count(&mut self, member: &Member, is_isolated: bool) {
        let processes = member.processes();
        match member.state {
            MemberState::Alive | MemberState::Suspect => {
                self.present += if is_isolated { 0 } else { processes };
                self.counted += processes;
                self.known += processes;
            }
            MemberState::Dead => {
                self.counted += if member.hold_expired { 0 } else { processes };
                self.known += processes;
            }
            MemberState::Left => {}
        }
    }

    fn update(&mut self, settings: &Settings, now: Nanos) -> bool {
        let is_majority = self.is_majority_present(settings.max_routers);
        if is_majority == self.has_quorum {
            self.disagrees_since = None;
            return false;
        }
        let since = *self.disagrees_since.get_or_insert(now);
        let intervals = if is_majority { GAINED_AFTER_INTERVALS } else { LOST_AFTER_INTERVALS };
        if now < since.saturating_add(settings.probe_interval * intervals) {
            return false;
        }
        self.has_quorum = is_majority;
        self.disagrees_since = None;
        self.is_stable &= is_majority;
        self.gained_at = is_majority.then_some(now);
        true
    }
}
