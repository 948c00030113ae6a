//! The end of a request: refused where trying again is harmless, else failed; nothing stays held.

use super::permits::may_refuse;
use super::Policy;
use crate::api::*;
use crate::state::*;

impl Policy {
    /// A refusal where trying again is harmless, else a failure; nothing stays pinned.
    pub(super) fn give_up(&mut self, id: RequestId, reason: GiveUpReason) {
        let Some(work) = self.works.get(&id) else { return };
        let Some(class) = self.set.classes.get(work.request.class.0) else { return };
        // A read has no effect, but one that is out and can't be cancelled may not have ended yet.
        let runs = |s: Sent| s.stage != Stage::Read || !self.set.can_cancel;
        let ran = work.may_have_run.is_some() || work.sent.is_some_and(runs);
        let harmless = may_refuse(class, ran).is_ok();
        let retry_after = self.set.advertised_retry_after();
        let why = GiveUpCause { reason, queueing_reason: self.held_by(work, reason) };
        let last = if harmless {
            Action::Reject { id, retry_after, cause: why }
        } else {
            Action::Fail { id, cause: why }
        };
        self.end(id, Some(last));
    }

    /// Closes a request: by a final answer of ours, or because its client has left.
    pub(super) fn end(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(work) = self.works.get_mut(&id).filter(|w| !w.ended) else { return };
        work.ended = true;
        let (sent, state) = (work.sent, work.state);
        self.waiting.remove(&id);
        self.works.note(&id);
        // First, so that no retry crosses an attempt that is out.
        let cancel = sent.filter(|s| self.set.can_cancel && !s.begun && !s.cancelled);
        self.out.extend(cancel.map(|s| Action::Cancel { id, attempt: s.no }));
        self.out.extend(answer);
        if sent.is_none() {
            self.out.extend(state.map(|_| Action::ReleaseKv(id)));
            self.works.remove(&id);
        } else if cancel.is_none() && state.is_some() {
            // Nobody may hear of the end of its write, and it may never have arrived.
            self.release_beside(id);
        }
    }
}
