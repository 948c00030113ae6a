//! What is known of one member, and how claims about it change its state.

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
    /// When it entered that state, by the clock here.
    pub state_since: Nanos,
    /// When its last new heartbeat became known, from any member.
    pub last_alive_at: Nanos,
    /// By how many milliseconds its heartbeat is ahead of the clock here, by the message that travelled
    /// fastest. Members have no clock in common: with this, an instant here becomes a heartbeat there, and a
    /// claim that travelled for long looks no newer than it is.
    clock_offset_ms: i64,
    /// When this router itself last received a message of it.
    pub last_received_at: Option<Nanos>,
    pub suspicion: Option<Suspicion>,
    /// Of a dead member: the last heartbeat that was known to whoever declared it dead.
    pub reported_heartbeat: u64,
    /// Of a dead member: who declared it dead.
    pub reported_by: String,
    pub replay_window: ReplayWindow,
    /// Another process of the same name.
    pub duplicate: Option<DuplicateProcess>,
    /// The number of members from which it reports to receive messages.
    pub direct_peers: u16,
    /// How often this router has pinged it without an answer while its messages reach others; `None` without
    /// such a doubt.
    pub unanswered_pings: Option<u32>,
    /// Whether this router has reported that it does not receive the member's messages.
    pub link_failed: bool,
    /// Of a dead member: whether it is no longer counted.
    pub hold_expired: bool,
}

/// What a claim changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Transition {
    /// Nothing that other members need to know.
    Unchanged,
    /// The claim is older than what is known here, and has to be disputed.
    Disputed,
    /// A new process has taken the place of a present one.
    Restarted,
    /// A member that was dead or had left is alive.
    Returned(MemberState),
    /// A suspicion is over.
    Refuted,
    /// A suspicion began.
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
    /// A member that was just met.
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

    /// Whether it may be running, as far as is known here.
    pub fn is_present(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Whether two processes run under its name.
    pub fn has_duplicate(&self) -> bool {
        self.duplicate.as_ref().is_some_and(|duplicate| duplicate.is_confirmed)
    }

    /// The number of processes that run under its name, as far as is known here.
    pub fn processes(&self) -> u32 {
        1 + u32::from(self.has_duplicate())
    }

    /// The heartbeat that it would have stated at that instant.
    pub fn heartbeat_at(&self, at: Nanos) -> u64 {
        let here_ms = i64::try_from(at / MILLISECOND).unwrap_or(i64::MAX);
        let there_ms = here_ms.saturating_add(self.clock_offset_ms);
        u64::try_from(there_ms).unwrap_or(0).max(self.info.heartbeat)
    }

    /// Takes a sign of life of the process and the heartbeat in `info`.
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
            // A member that has left comes back as a new process only.
            _ => Transition::Unchanged,
        }
    }

    /// Takes the claim of `accuser` that it knows of no heartbeat later than `last_heartbeat`.
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

    /// Takes the claim of `reporter` that the member is dead, with no heartbeat later than `last_heartbeat`.
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

    /// Takes the member's own statement that it leaves.
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

    /// Remembers the current process as a possible duplicate, for it may go on beside the new one. If the new
    /// one is the duplicate known so far, the two change places.
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

    /// Judges a claim of suspicion or death by its age: the transition if it is outdated, `None` if it
    /// counts.
    fn reject_outdated(&mut self, info: &MemberInfo, last_heartbeat: u64, now: Nanos) -> Option<Transition> {
        if info.incarnation < self.info.incarnation {
            let disputed = self.is_present();
            return Some(if disputed { Transition::Disputed } else { Transition::Unchanged });
        }
        if info.incarnation > self.info.incarnation {
            // A process that is new here: it was running until then.
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
