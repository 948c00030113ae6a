//! Whether a write has reached a running server, and what is done while nobody knows.
//!
//! That its last byte has left says nothing: a server may hang while its machine takes connections and
//! bytes, and an open connection may pass nothing any more. A write that has not arrived does not fetch what
//! was read for it, so the release time of that state runs on. Only the write's own answer proves that it
//! arrived, and that may take longer than the state may be held.
//!
//! A release lets go of what no attempt waits for. So it is sent beside a write that is unanswered when the
//! release time runs out: if the write has arrived, the state stays for it; if not, the state is let go of
//! and the write, should it arrive later, is turned away without having run.
//!
//! Before that the writer is probed: one that answers runs. One that does not is left for another writer
//! while the state is still there, where the rules allow a second attempt.

use super::constants::*;
use super::Policy;
use crate::api::*;
use crate::state::*;

/// What is known of a write that is out, has not been answered, and is to fetch a state.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredWrite {
    pub now: Nanos,
    pub sent_at: Nanos,
    /// Since when its state has been held with no attempt known to have arrived.
    pub held_since: Nanos,
    pub release_within: Nanos,
    /// Its server has answered something that was sent after it.
    pub server_runs: bool,
    /// When the probe of its server that is out was sent.
    pub probed_at: Option<Nanos>,
    pub may_probe: bool,
}

/// What is to be done about a write that is unanswered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    Wait,
    /// Ask whether its server runs.
    Probe,
    /// What it was to fetch is sent to another writer, if that is of use.
    Leave,
    /// What it was to fetch is let go of.
    LetGo,
}

impl UnansweredWrite {
    pub fn next_step(&self) -> NextStep {
        let past = |share: f64, after_send: Nanos| {
            let due = self.held_since.saturating_add((self.release_within as f64 * share) as Nanos);
            self.now >= due.max(self.sent_at.saturating_add(after_send))
        };
        match () {
            () if past(LET_GO_SHARE, ARRIVE_WITHIN) => NextStep::LetGo,
            () if self.server_runs => NextStep::Wait,
            () if past(LEAVE_SHARE, ARRIVE_WITHIN) => NextStep::Leave,
            () if self.probed_at.is_some() || !self.may_probe => NextStep::Wait,
            () if past(PROBE_SHARE, ARRIVE_WITHIN / 2) => NextStep::Probe,
            () => NextStep::Wait,
        }
    }

    /// Its server does not answer a probe either.
    pub fn is_silent(&self) -> bool {
        !self.server_runs && self.probed_at.is_some_and(|at| self.now >= at.saturating_add(LOOK_LATE))
    }
}

/// What has become of a state with the end of a write that was to fetch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateAfter {
    /// It waits, and its time goes on.
    Held,
    /// It waits, and its time begins anew: the server had the write.
    HeldAnew,
    /// It was let go of.
    Gone,
}

/// `released`: it was let go of beside the write. `server_runs`: the server has answered something that was
/// sent after the write, and so had it: the state stayed for it.
pub fn state_after(status: AttemptStatus, released: bool, server_runs: bool) -> StateAfter {
    match () {
        () if status.is_answer() || released && server_runs => StateAfter::HeldAnew,
        () if released && !status.was_never_sent() => StateAfter::Gone,
        () => StateAfter::Held,
    }
}

impl Policy {
    /// Looks after a write that is out and unanswered; whether it was cancelled.
    pub(super) fn check_arrival(&mut self, id: RequestId, sent: &Sent) -> bool {
        let Some(write) = self.unanswered_write(id, sent) else { return false };
        match write.next_step() {
            NextStep::Leave | NextStep::LetGo if write.is_silent() && self.may_leave(id, sent) => {
                if let Some(s) = self.servers.get_mut(&sent.server) {
                    (s.unreachable, s.probe_at) = (true, self.now);
                }
                self.cancel_attempt(id, sent);
                return true;
            }
            NextStep::LetGo => self.release_beside(id),
            NextStep::Probe => self.buy_probe(sent.server, self.price_of_probe()),
            NextStep::Wait | NextStep::Leave => {}
        }
        false
    }

    fn unanswered_write(&self, id: RequestId, sent: &Sent) -> Option<UnansweredWrite> {
        let (_, held_since) = self.works.get(&id)?.state?;
        // One that has left the books is not known to run.
        let server = self.servers.get(&sent.server);
        (sent.stage == Stage::Write && !sent.released).then_some(UnansweredWrite {
            now: self.now,
            sent_at: sent.at,
            held_since,
            release_within: self.set.kv_release_within,
            server_runs: server.is_some_and(|s| s.runs_since(sent.at)),
            probed_at: server.and_then(|s| s.asked_at),
            may_probe: self.set.can_probe,
        })
    }

    /// A second attempt does no harm, and another writer has room for it.
    fn may_leave(&self, id: RequestId, sent: &Sent) -> bool {
        let Some(work) = self.works.get(&id) else { return false };
        let safe = self
            .set
            .classes
            .get(work.request.class.0)
            .is_some_and(|c| c.idempotency == Idempotency::Idempotent);
        let allowed = self.set.can_cancel && !sent.cancelled;
        let attempts_left = work.attempts < self.set.max_attempts;
        let room = |s: &&Server| s.id != sent.server && self.has_room(s, work.need());
        safe && allowed && attempts_left && self.candidates(false, work).iter().any(room)
    }

    /// Lets go of a state, once, unless the write that is out waits for it where it is.
    pub(super) fn release_beside(&mut self, id: RequestId) {
        let sent = self.works.get_mut(&id).and_then(|work| work.sent.as_mut());
        if let Some(sent) = sent.filter(|sent| !sent.released) {
            sent.released = true;
            self.out.push(Action::ReleaseKv(id));
        }
    }

    /// Books what has become of a state with the end of an attempt.
    pub(super) fn settle_state(&mut self, outcome: &AttemptOutcome, sent: &Sent) {
        let now = self.now;
        let runs = self.servers.get(&outcome.server).is_some_and(|s| s.runs_since(sent.at));
        let Some(work) = self.works.get_mut(&outcome.id) else { return };
        match (&mut work.state, state_after(outcome.status, sent.released, runs)) {
            (state @ None, _) if outcome.status == AttemptStatus::Prefilled => {
                *state = Some((outcome.server, now))
            }
            (Some((_, since)), StateAfter::HeldAnew) => *since = now,
            (state @ Some(_), StateAfter::Gone) => {
                *state = None;
                // At its end everything is let go of anyway.
                self.out.extend((!work.ended).then_some(Action::ReleaseKv(outcome.id)));
            }
            _ => {}
        }
    }
}
