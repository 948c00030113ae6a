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

/// What is to be done about a write that is unanswered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unanswered {
    Wait,
    /// Ask whether its server runs.
    Probe,
    /// What it was to fetch is sent to another writer, if that is of use.
    Leave,
    /// What it was to fetch is let go of.
    LetGo,
}

impl Policy {
    /// Looks after a write that is out and unanswered; whether it was cancelled.
    pub(super) fn check_arrival(&mut self, id: RequestId, sent: &Sent) -> bool {
        match self.unanswered(id, sent) {
            Unanswered::Wait => false,
            Unanswered::Probe => {
                self.probe_unanswered(sent.server);
                false
            }
            Unanswered::Leave | Unanswered::LetGo if self.may_leave_for_another(id, sent) => {
                self.cancel_unanswered(id, sent);
                true
            }
            Unanswered::Leave => false,
            Unanswered::LetGo => {
                self.release_beside(id);
                false
            }
        }
    }

    fn unanswered(&self, id: RequestId, sent: &Sent) -> Unanswered {
        let state = self.works.get(&id).and_then(|work| work.state);
        let Some((_, since)) = state.filter(|_| sent.stage == Stage::Write && !sent.released) else {
            return Unanswered::Wait;
        };
        let share = |share: f64| since.saturating_add((self.set.release_within as f64 * share) as Nanos);
        let not_before = |after: Nanos| sent.at.saturating_add(after);
        let server = self.servers.get(&sent.server);
        let runs = server.is_some_and(|s| s.runs_since(sent.at));
        let is_probed = server.is_some_and(|s| s.asked_at.is_some());
        match self.now {
            now if now >= share(LET_GO_SHARE).max(not_before(ARRIVE_WITHIN)) => Unanswered::LetGo,
            _ if runs => Unanswered::Wait,
            now if now >= share(LEAVE_SHARE).max(not_before(ARRIVE_WITHIN)) => Unanswered::Leave,
            _ if is_probed || !self.set.probes => Unanswered::Wait,
            now if now >= share(PROBE_SHARE).max(not_before(ARRIVE_WITHIN / 2)) => Unanswered::Probe,
            _ => Unanswered::Wait,
        }
    }

    fn probe_unanswered(&mut self, server: ServerId) {
        let Some(s) = self.servers.get_mut(&server).filter(|_| self.purses[1] >= self.set.probe_price) else {
            return;
        };
        self.purses[1] -= self.set.probe_price;
        s.asked_at = Some(self.now);
        self.out.push(Action::Probe(server));
    }

    /// A probe of its server is unanswered, and another writer has room for a second attempt.
    fn may_leave_for_another(&self, id: RequestId, sent: &Sent) -> bool {
        let Some(work) = self.works.get(&id).filter(|_| self.set.cancel && !sent.cancelled) else {
            return false;
        };
        let safe = self.set.classes.get(work.request.class.0).is_some_and(|c| c.effect == Effect::Safe);
        let silent = self
            .servers
            .get(&sent.server)
            .is_some_and(|s| !s.runs_since(sent.at) && s.asked_before(self.now, LOOK_LATE));
        let attempts_left = work.attempts < self.set.max_attempts;
        let room = |s: &&Server| s.id != sent.server && self.has_room(s, work.need());
        safe && silent && attempts_left && self.candidates(false, work).iter().any(room)
    }

    fn cancel_unanswered(&mut self, id: RequestId, sent: &Sent) {
        if let Some(s) = self.servers.get_mut(&sent.server) {
            (s.unreachable, s.probe_at) = (true, self.now);
        }
        self.works.get_mut(&id).into_iter().for_each(|w| w.sent = Some(Sent { cancelled: true, ..*sent }));
        self.out.push(Action::Cancel { id, attempt: sent.no });
    }

    /// Lets go of the state unless the write that is out waits for it where it is.
    pub(super) fn release_beside(&mut self, id: RequestId) {
        let Some(sent) = self.works.get_mut(&id).and_then(|work| work.sent.as_mut()) else { return };
        sent.released = true;
        self.out.push(Action::Release(id));
    }

    /// What has become of a state with the end of an attempt: a server that has answered has had it, or left
    /// it where it was; one that has not may never have heard of it, and its time runs on.
    pub(super) fn settle_state(&mut self, outcome: &Outcome, sent: &Sent) {
        let now = self.now;
        let runs = self.servers.get(&outcome.server).is_some_and(|s| s.runs_since(sent.at));
        let Some(work) = self.works.get_mut(&outcome.id) else { return };
        if sent.stage == Stage::Read || work.state.is_none() {
            if outcome.status == Status::Read {
                work.state = Some((outcome.server, now));
            }
            return;
        }
        let never_left = matches!(outcome.status, Status::ConnectFailed | Status::NoSocket);
        match work.state.as_mut() {
            Some((_, since)) if outcome.status.is_answer() || sent.released && runs => *since = now,
            Some(_) if sent.released && !never_left && !work.ended => {
                work.state = None;
                self.out.push(Action::Release(outcome.id));
            }
            _ => {}
        }
    }
}
