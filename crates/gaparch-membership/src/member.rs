//! What is known about one member, and how claims about it change its state.

use crate::duplicate::DuplicateProcess;
use crate::replay::ReplayWindow;
use crate::suspicion::Suspicion;
use crate::{Nanos, MILLISECOND};
use gaparch_protocol::fleet::{MemberInfo, MemberState};

/// Another member of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Member {
    /// The member as it last described itself.
    pub info: MemberInfo,
    pub state: MemberState,
    /// When it entered that state, by the local clock.
    pub state_since: Nanos,
    /// When its last new heartbeat became known, from any member.
    pub last_alive_at: Nanos,
    /// By how many milliseconds its heartbeat is ahead of the local clock, as estimated from the message with
    /// the shortest delay. Members have no common clock; the offset converts a local time to a heartbeat of
    /// the member, so that a claim that was long in transit does not look newer than it is.
    clock_offset_ms: i64,
    /// When this router itself last received a message from it.
    pub last_received_at: Option<Nanos>,
    pub suspicion: Option<Suspicion>,
    /// For a dead member: the last heartbeat known to the member that declared it dead.
    pub reported_heartbeat: u64,
    /// For a dead member: the member that declared it dead.
    pub reported_by: String,
    pub replay_window: ReplayWindow,
    /// Another process with the same name.
    pub duplicate: Option<DuplicateProcess>,
    /// The number of members from which it reports having recently received messages.
    pub direct_peers: u16,
    /// The number of unanswered pings while its messages reach other members; `None` if the link is not in
    /// doubt.
    pub unanswered_pings: Option<u32>,
    /// Whether this router has reported that it does not receive the member's messages.
    pub link_failed: bool,
    /// For a dead member: whether the dead hold is over, so that it is no longer counted.
    pub hold_expired: bool,
}

/// What a claim changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Transition {
    /// Nothing that other members need to know.
    Unchanged,
    /// The claim is older than what is known here; the newer state is disseminated to dispute it.
    Disputed,
    /// A new process has replaced one that was present.
    Restarted,
    /// A member that was dead or had left is alive.
    Returned(MemberState),
    /// A suspicion was refuted.
    Refuted,
    /// A suspicion was started.
    Suspected,
    /// A suspicion has one more accuser.
    Confirmed,
    /// The member was declared dead.
    Died,
    /// The member left.
    Left,
    /// Two processes have the same name and the same incarnation.
    NameClash,
}

impl Member {
    /// A member that was just discovered.
    pub fn new(info: MemberInfo, now: Nanos) -> Member {
        Member {
            clock_offset_ms: clock_offset_ms(&info, now),
            info,
            state: MemberState::Alive,
            state_since: now,
            last_alive_at: now,
            last_received_at: None,
            suspicion: None,
            reported_heartbeat: 0,
            reported_by: String::new(),
            replay_window: ReplayWindow::default(),
            duplicate: None,
            direct_peers: 0,
            unanswered_pings: None,
            link_failed: false,
            hold_expired: false,
        }
    }

    /// Whether it may be running, according to its last known state.
    pub fn is_present(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Whether two processes are known to run under its name.
    pub fn has_duplicate(&self) -> bool {
        self.duplicate.as_ref().is_some_and(|duplicate| duplicate.is_confirmed)
    }

    /// The number of processes that are known to run under its name.
    pub fn processes(&self) -> u32 {
        1 + u32::from(self.has_duplicate())
    }

    /// The estimated heartbeat of the member at the local time `at`.
    pub fn heartbeat_at(&self, at: Nanos) -> u64 {
        let local_ms = i64::try_from(at / MILLISECOND).unwrap_or(i64::MAX);
        let heartbeat_ms = local_ms.saturating_add(self.clock_offset_ms);
        u64::try_from(heartbeat_ms).unwrap_or(0).max(self.info.heartbeat)
    }

    /// Handles evidence that the process in `info` was alive at the heartbeat in `info`.
    pub fn observe_alive(&mut self, info: &MemberInfo, now: Nanos) -> Transition {
        if info.incarnation < self.info.incarnation {
            return Transition::Unchanged;
        }
        if info.incarnation > self.info.incarnation {
            return self.begin_incarnation(info, now);
        }
        if info.run_id != self.info.run_id {
            return Transition::NameClash;
        }
        if info.heartbeat <= self.info.heartbeat {
            return Transition::Unchanged;
        }
        self.info = info.clone();
        self.last_alive_at = now;
        self.clock_offset_ms = self.clock_offset_ms.max(clock_offset_ms(info, now));
        match self.state {
            MemberState::Suspect if self.is_refuted_by(info.heartbeat) => {
                self.enter(MemberState::Alive, now);
                Transition::Refuted
            }
            MemberState::Dead if info.heartbeat > self.reported_heartbeat => {
                self.enter(MemberState::Alive, now);
                Transition::Returned(MemberState::Dead)
            }
            // A member that has left can return only with a higher incarnation.
            _ => Transition::Unchanged,
        }
    }

    /// Handles the claim of `accuser` that it knows of no heartbeat later than `last_heartbeat`.
    pub fn observe_suspicion(
        &mut self,
        info: &MemberInfo,
        accuser: &str,
        last_heartbeat: u64,
        now: Nanos,
    ) -> Transition {
        if let Some(transition) = self.reject_outdated(info, last_heartbeat, now) {
            return transition;
        }
        match (self.state, &mut self.suspicion) {
            (MemberState::Alive, _) => {
                self.enter(MemberState::Suspect, now);
                self.suspicion = Some(Suspicion::new(accuser, last_heartbeat, now));
                Transition::Suspected
            }
            (MemberState::Suspect, Some(suspicion)) => match suspicion.confirm(accuser, last_heartbeat) {
                true => Transition::Confirmed,
                false => Transition::Unchanged,
            },
            _ => Transition::Unchanged,
        }
    }

    /// Handles the claim of `reporter` that the member is dead, with no heartbeat later than
    /// `last_heartbeat`.
    pub fn observe_death(
        &mut self,
        info: &MemberInfo,
        reporter: &str,
        last_heartbeat: u64,
        now: Nanos,
    ) -> Transition {
        if let Some(transition) = self.reject_outdated(info, last_heartbeat, now) {
            return transition;
        }
        if !self.is_present() {
            return Transition::Unchanged;
        }
        self.enter(MemberState::Dead, now);
        self.reported_heartbeat = last_heartbeat;
        reporter.clone_into(&mut self.reported_by);
        Transition::Died
    }

    /// Handles the member's own announcement that it leaves.
    pub fn observe_leave(&mut self, info: &MemberInfo, now: Nanos) -> Transition {
        if info.incarnation < self.info.incarnation || self.state == MemberState::Left {
            return Transition::Unchanged;
        }
        self.info = info.clone();
        self.enter(MemberState::Left, now);
        Transition::Left
    }

    fn enter(&mut self, state: MemberState, now: Nanos) {
        self.state = state;
        self.state_since = now;
        self.suspicion = None;
        self.hold_expired = false;
        if state == MemberState::Alive {
            self.reported_by.clear();
        }
    }

    fn is_refuted_by(&self, heartbeat: u64) -> bool {
        self.suspicion.as_ref().is_none_or(|suspicion| heartbeat > suspicion.last_heartbeat)
    }

    fn begin_incarnation(&mut self, info: &MemberInfo, now: Nanos) -> Transition {
        let previous_state = self.state;
        let is_new_process = info.run_id != self.info.run_id;
        if is_new_process {
            self.replace_process(info.run_id, now);
        }
        self.info = info.clone();
        self.last_alive_at = now;
        self.clock_offset_ms = clock_offset_ms(info, now);
        self.enter(MemberState::Alive, now);
        match previous_state {
            MemberState::Dead | MemberState::Left => Transition::Returned(previous_state),
            MemberState::Alive | MemberState::Suspect if is_new_process => Transition::Restarted,
            MemberState::Alive | MemberState::Suspect => Transition::Refuted,
        }
    }

    /// Keeps the current process as a possible duplicate, since it may continue to run beside the new one. If
    /// the new one was the known duplicate, the two are swapped.
    fn replace_process(&mut self, new_run_id: u64, now: Nanos) {
        let known = self.duplicate.take().filter(|duplicate| duplicate.info.run_id == new_run_id);
        let is_confirmed = known.as_ref().is_some_and(|duplicate| duplicate.is_confirmed);
        let new_window = known.map_or_else(ReplayWindow::default, |duplicate| duplicate.replay_window);
        let old_window = std::mem::replace(&mut self.replay_window, new_window);
        let mut duplicate = DuplicateProcess::new(self.info.clone(), now);
        duplicate.replay_window = old_window;
        duplicate.is_confirmed = is_confirmed;
        self.duplicate = Some(duplicate);
        self.unanswered_pings = None;
        self.last_received_at = None;
    }

    /// Checks a claim of suspicion or death against newer knowledge: returns the transition if the claim is
    /// outdated, `None` if it is to be applied.
    fn reject_outdated(&mut self, info: &MemberInfo, last_heartbeat: u64, now: Nanos) -> Option<Transition> {
        if info.incarnation < self.info.incarnation {
            let disputed = self.is_present();
            return Some(if disputed { Transition::Disputed } else { Transition::Unchanged });
        }
        if info.incarnation > self.info.incarnation {
            // The claim names a process not known here yet: it must have been running until then.
            self.begin_incarnation(info, now);
            return None;
        }
        if info.run_id != self.info.run_id {
            return Some(Transition::NameClash);
        }
        (self.info.heartbeat > last_heartbeat).then_some(Transition::Disputed)
    }
}

fn clock_offset_ms(info: &MemberInfo, now: Nanos) -> i64 {
    let signed = |ms: u64| i64::try_from(ms).unwrap_or(i64::MAX);
    signed(info.heartbeat).saturating_sub(signed(now / MILLISECOND))
}
