//! This router's own identity: its incarnation and heartbeat, and other processes that use its name.

use super::Membership;
use crate::duplicate::{DuplicateObservation, DuplicateProcess};
use crate::event::MembershipEvent;
use crate::output::Output;
use crate::{Nanos, MILLISECOND, SECOND};
use gaparch_protocol::fleet::{MemberInfo, MemberState};

/// A router that meets an earlier process of its own name within this time after its start has a disk that
/// was rolled back; later it is another process that was started.
const ROLLBACK_WINDOW: Nanos = 10 * SECOND;
/// The most milliseconds by which a heartbeat is pushed forward: about a year. No clock is wrong by more.
const MAX_HEARTBEAT_PUSH_MS: u64 = 1 << 35;

/// Who this router is.
#[derive(Debug)]
pub(super) struct LocalIdentity {
    started_at: Nanos,
    incarnation: u64,
    /// The incarnation that was on disk at the start.
    stored_incarnation: u64,
    /// Milliseconds by which the heartbeat was pushed past accusations.
    heartbeat_push_ms: u64,
    /// Another process of this router's own name.
    duplicate: Option<DuplicateProcess>,
    /// The other process that this one last outbid with a higher incarnation.
    outbid_run_id: Option<u64>,
}

impl LocalIdentity {
    pub fn new(incarnation: u64, now: Nanos) -> LocalIdentity {
        LocalIdentity {
            started_at: now,
            incarnation,
            stored_incarnation: incarnation.saturating_sub(1),
            heartbeat_push_ms: 0,
            duplicate: None,
            outbid_run_id: None,
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The heartbeat at that instant: milliseconds since the start, at least 1.
    pub fn heartbeat(&self, now: Nanos) -> u64 {
        now.saturating_sub(self.started_at) / MILLISECOND + 1 + self.heartbeat_push_ms
    }

    /// Forgets another process of this name from which nothing was received for long.
    pub fn forget_duplicate(&mut self, now: Nanos) {
        self.duplicate.take_if(|duplicate| duplicate.is_outdated(now));
    }

    fn has_duplicate(&self) -> bool {
        self.duplicate.as_ref().is_some_and(|duplicate| duplicate.is_confirmed)
    }
}

impl Membership {
    /// Takes a message that bears this router's own name.
    pub(super) fn on_message_of_own_name(&mut self, from: &MemberInfo, seq: u64, out: &mut Vec<Output>) {
        self.counters.misdirected += 1;
        if from.run_id == self.settings.run_id {
            return;
        }
        let slot = &mut self.identity.duplicate;
        let observation = DuplicateProcess::observe(slot, from, seq, self.now, self.now);
        if observation == DuplicateObservation::Confirmed {
            self.report_own_duplicate(&from.address, out);
        }
        self.outbid(from, out);
    }

    /// Takes a claim about this router.
    pub(super) fn on_claim_about_self(
        &mut self,
        info: &MemberInfo,
        state: MemberState,
        reporter: &str,
        last_heartbeat: u64,
        out: &mut Vec<Output>,
    ) {
        if info.run_id != self.settings.run_id {
            return self.outbid(info, out);
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

    /// Makes all further messages a refutation of an accusation that knows of `last_heartbeat`: each states a
    /// heartbeat, and from now on a later one.
    fn refute(&mut self, last_heartbeat: u64, out: &mut Vec<Output>) {
        let behind_ms = last_heartbeat.saturating_sub(self.heartbeat());
        if behind_ms > MAX_HEARTBEAT_PUSH_MS {
            // A new incarnation ends the claim, whatever it was.
            self.identity.incarnation = self.identity.incarnation.saturating_add(1);
            self.persist_incarnation(out);
        } else {
            self.identity.heartbeat_push_ms += behind_ms;
        }
    }

    /// Takes an incarnation above that of another process of this name, which others have witnessed.
    fn outbid(&mut self, info: &MemberInfo, out: &mut Vec<Output>) {
        let witnessed = info.incarnation;
        // Two processes that run would outbid each other for ever.
        if witnessed < self.identity.incarnation || self.identity.has_duplicate() {
            return;
        }
        if self.identity.outbid_run_id == Some(info.run_id) {
            self.on_outbid_process_answered(info, out);
            return;
        }
        self.identity.outbid_run_id = Some(info.run_id);
        if self.now < self.identity.started_at + ROLLBACK_WINDOW {
            let stored = self.identity.stored_incarnation;
            out.push(Output::Event(MembershipEvent::IncarnationRolledBack { stored, witnessed }));
        }
        self.identity.incarnation = witnessed.saturating_add(1);
        self.persist_incarnation(out);
    }

    /// A process that was outbid has taken a higher incarnation in turn: it runs.
    fn on_outbid_process_answered(&mut self, info: &MemberInfo, out: &mut Vec<Output>) {
        self.identity.outbid_run_id = None;
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
