//! The clock: deadlines, and attempts that take too long.

use super::constants::*;
use super::Policy;
use crate::api::*;
use crate::state::*;

impl Policy {
    pub(super) fn on_tick(&mut self) {
        self.ticking = false;
        let walks = self.servers.walk_is_due(self.now, TICK, WALKED);
        if walks {
            self.fill_cold_budgets();
            compare_all_paces(&mut self.servers, SAMPLES, WALKED);
        }
        // Of those held, none but the ones whose time or aim runs out.
        let aim = self.now.saturating_add(self.to_first.value as Nanos);
        let due = self.waiting.due(self.last_call(), aim);
        let ids: std::collections::BTreeSet<_> = due.chain(self.works.active().iter().copied()).collect();
        ids.into_iter().for_each(|id| self.look_after(id));
        if walks {
            self.probe();
        }
        self.tell();
    }

    fn look_after(&mut self, id: RequestId) {
        let Some(work) = self.works.get(&id) else { return };
        let late = self.now.saturating_add(self.to_first.value as Nanos) > work.aim_at;
        match work.sent {
            Some(sent) if sent.begun => {}
            _ if self.last_call() >= work.request.deadline_at => {
                self.give_up(id, GiveUpReason::DeadlineExceeded)
            }
            Some(sent) => {
                if !self.check_arrival(id, &sent) {
                    self.check_overdue(id, sent);
                }
            }
            None if self.spent(work) => self.give_up(id, GiveUpReason::MayHaveRun),
            // Held, it can't make its aim any more: it ends now, so that others can.
            None if late && work.state.is_none() => self.give_up(id, GiveUpReason::ObjectiveMissed),
            None => self.place(id),
        }
    }

    /// An attempt that takes too long: its server queues, is slow, is cut off or died without a word.
    fn check_overdue(&mut self, id: RequestId, sent: Sent) {
        let age = self.now - sent.at;
        let Some(work) = self.works.get(&id) else { return };
        // Where answers don't stream, nothing is heard of one before its end.
        let heard = self.heard_early(work, sent.stage);
        let reads = sent.stage != Stage::Write;
        let patience = if reads { self.patience(work, &sent) } else { WRITE_PATIENCE };
        let cell = work.state.and_then(|(reader, _)| self.servers.get(&reader)?.cell);
        let Some(s) = self.servers.get_mut(&sent.server) else { return };
        // What crosses cells may wait for a slow link: another far writer is no better then.
        let (silent, near) = (s.heard_at < sent.at, s.cell == cell);
        let stalled = heard && sent.stage == Stage::Write && age >= STALLED;
        s.full_at = if stalled { Some(self.now) } else { s.full_at };
        if !heard || age < patience || sent.cancelled {
            return;
        }
        if silent && self.set.can_probe && !s.unreachable {
            (s.unreachable, s.probe_at) = (true, self.now);
        }
        // A reader that answers a probe at once has left the read unanswered; one that does not may be busy.
        if reads && s.quick_at <= sent.at && age < 2 * patience {
            return;
        }
        let safe = sent.stage == Stage::Read
            || self.set.classes[work.request.class.0].idempotency == Idempotency::Idempotent;
        let room = |s: &Server| self.has_room(s, work.need());
        let better = |s: &&Server| {
            s.id != sent.server
                && !self.ill(s, Some(work.part()))
                && (reads || room(s) && (near || silent || s.cell == cell))
        };
        let left = work.attempts + ATTEMPTS_KEPT <= self.set.max_attempts && self.set.can_cancel;
        if !safe || !left || self.call_offs < 1.0 || !self.candidates(reads, work).iter().any(better) {
            return;
        }
        self.call_offs -= 1.0;
        let part = work.part();
        self.rest(sent.server, Some(part));
        if reads {
            self.reads.add(age as f64 / sent.queued.max(READ_BASE), GAIN, BEST_GAIN);
        }
        self.cancel_attempt(id, &sent);
    }

    /// Cancels an attempt before its time is up.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, sent: &Sent) {
        self.works.get_mut(&id).into_iter().for_each(|w| w.sent = Some(Sent { cancelled: true, ..*sent }));
        self.out.push(Action::Cancel { id, attempt: sent.no });
    }
}
