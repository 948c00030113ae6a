//! This router's own identity: its incarnation and heartbeat, and other processes that use its name.

use super::Membership;
use crate::duplicate::{DuplicateObservation, DuplicateProcess};
use crate::event::MembershipEvent;
use crate::output::Output;
use crate::{Nanos, MILLISECOND, SECOND};
use gaparch_protocol::fleet::{MemberInfo, MemberState};

/// If a router learns of another process of its own name within this time after its start, its disk was
/// rolled back; if later, the other process was started after it.
const ROLLBACK_WINDOW: Nanos = 10 * SECOND;
/// The maximum number of milliseconds by which a heartbeat is pushed forward: about a year. No clock is off
/// by more.
const MAX_HEARTBEAT_PUSH_MS: u64 = 1 << 35;

/// This router's own incarnation and heartbeat, and what it knows of other processes of its name.
#[derive(Debug)]
pub(super) struct LocalIdentity {
    started_at: Nanos,
    incarnation: u64,
    /// The incarnation that was on disk at the start.
    stored_incarnation: u64,
    /// Milliseconds by which the heartbeat was pushed forward to be later than accusations.
    heartbeat_push_ms: u64,
    /// Another process with this router's own name.
    duplicate: Option<DuplicateProcess>,
    /// The run id of the other process that this one last superseded with a higher incarnation.
    superseded_run_id: Option<u64>,
}

impl LocalIdentity {
    pub fn new(incarnation: u64, now: Nanos) -> LocalIdentity {
        LocalIdentity {
            started_at: now,
            incarnation,
            stored_incarnation: incarnation.saturating_sub(1),
            heartbeat_push_ms: 0,
            duplicate: None,
            superseded_run_id: None,
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The heartbeat at the given time: milliseconds since the start plus the push, at least 1.
    pub fn heartbeat(&self, now: Nanos) -> u64 {
        now.saturating_sub(self.started_at) / MILLISECOND + 1 + self.heartbeat_push_ms
    }

    /// Removes the other process of this name if nothing was received from it for long.
    pub fn remove_outdated_duplicate(&mut self, now: Nanos) {
        self.duplicate.take_if(|duplicate| duplicate.is_outdated(now));
    }

    fn has_duplicate(&self) -> bool {
        self.duplicate.as_ref().is_some_and(|duplicate| duplicate.is_confirmed)
    }
}

impl Membership {
    /// Handles a message whose sender has this router's own name.
    pub(super) fn on_message_with_own_name(&mut self, from: &MemberInfo, seq: u64, out: &mut Vec<Output>) {
        self.counters.misdirected += 1;
        if from.run_id == self.settings.run_id {
            return;
        }
        let slot = &mut self.identity.duplicate;
        let observation = DuplicateProcess::observe(slot, from, seq, self.now, self.now);
        if observation == DuplicateObservation::Confirmed {
            self.report_own_duplicate(&from.address, out);
        }
        self.supersede(from, out);
    }

    /// Handles a claim about this router.
    pub(super) fn on_claim_about_self(
        &mut self,
        info: &MemberInfo,
        state: MemberState,
        reporter: &str,
        last_heartbeat: u64,
        out: &mut Vec<Output>,
    ) {
        if info.run_id != self.settings.run_id {
            return self.supersede(info, out);
        }
        if info.incarnation < self.identity.incarnation || state == MemberState::Alive {
            return;
        }
        self.refute(last_heartbeat, out);
        if self.settings.use_extensions {
            self.health.degrade(1);
        } else {
            self.identity.incarnation += 1;
        }
        if state == MemberState::Dead {
            out.push(Output::Event(MembershipEvent::DeclaredDead { by: reporter.to_owned() }));
        }
    }

    /// Refutes an accusation that knows of `last_heartbeat`: every message states the heartbeat, which from
    /// now on is later than that one.
    fn refute(&mut self, last_heartbeat: u64, out: &mut Vec<Output>) {
        let behind_ms = last_heartbeat.saturating_sub(self.heartbeat());
        if behind_ms > MAX_HEARTBEAT_PUSH_MS {
            // A new incarnation invalidates the claim, whatever heartbeat it states.
            self.identity.incarnation = self.identity.incarnation.saturating_add(1);
            self.persist_incarnation(out);
        } else {
            self.identity.heartbeat_push_ms += behind_ms;
        }
    }

    /// Takes an incarnation above that of another process of this name, which other members have witnessed.
    fn supersede(&mut self, info: &MemberInfo, out: &mut Vec<Output>) {
        let witnessed = info.incarnation;
        // Two running processes would supersede each other endlessly.
        if witnessed < self.identity.incarnation || self.identity.has_duplicate() {
            return;
        }
        if self.identity.superseded_run_id == Some(info.run_id) {
            self.on_superseded_process_running(info, out);
            return;
        }
        self.identity.superseded_run_id = Some(info.run_id);
        if self.now < self.identity.started_at + ROLLBACK_WINDOW {
            let stored = self.identity.stored_incarnation;
            out.push(Output::Event(MembershipEvent::IncarnationRolledBack { stored, witnessed }));
        }
        self.identity.incarnation = witnessed.saturating_add(1);
        self.persist_incarnation(out);
    }

    /// The superseded process has taken a higher incarnation in turn, which proves that it is running.
    fn on_superseded_process_running(&mut self, info: &MemberInfo, out: &mut Vec<Output>) {
        self.identity.superseded_run_id = None;
        self.report_own_duplicate(&info.address, out);
        let mut duplicate = DuplicateProcess::new(info.clone(), self.now);
        duplicate.is_confirmed = true;
        self.identity.duplicate = Some(duplicate);
    }

    fn report_own_duplicate(&self, address: &str, out: &mut Vec<Output>) {
        let name = self.settings.name.clone();
        let addresses = [self.settings.address.to_string(), address.to_owned()];
        out.push(Output::Event(MembershipEvent::DuplicateName { name, addresses }));
    }

    pub(super) fn persist_incarnation(&self, out: &mut Vec<Output>) {
        out.push(Output::PersistIncarnation { incarnation: self.identity.incarnation });
    }
}
