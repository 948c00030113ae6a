//! Attempts: they are sent, begin their answer, end, and are followed by another or by nothing.

use super::constants::*;
use super::Policy;
use crate::api::*;
use crate::state::*;

impl Policy {
    pub(super) fn send(&mut self, id: RequestId, plan: Sent) {
        let (now, server, stage) = (self.now, plan.server, plan.stage);
        // What it weighs at a cold server: its class's mean work, in mean requests.
        let means = if stage == Stage::Read { &self.prompts } else { &self.answers };
        let class = self.works.get(&id).map_or(0, |w| w.request.class.0);
        let cost = (means.get(class).map_or(0.0, |m| m.value) / mean(means).max(1.0)).max(0.1);
        let heard = self.works.get(&id).filter(|w| self.heard_early(w, stage));
        let blind = heard.map_or(0, |w| BLIND_PATIENCE.max(self.patience(w, &plan)));
        let (Some(work), Some(s)) = (self.works.get_mut(&id), self.servers.get_mut(&server)) else { return };
        let held = if stage == Stage::Read { 0.0 } else { work.need() };
        let sent = Sent { no: AttemptNumber(work.attempts), at: now, held, ..plan };
        s.take(now, REPORT_LAG, &sent);
        s.sent.add(now, cost, PEER_SPAN);
        s.budget.level -= cost;
        self.call_offs = (self.call_offs + CALL_OFFS).min(1.0 + CALL_OFFS * 10.0);
        work.attempts += 1;
        work.read_at = work.read_at.or(Some(now));
        work.sent = Some(sent);
        let safe = stage == Stage::Read
            || self.set.classes[work.request.class.0].idempotency == Idempotency::Idempotent;
        let timeout = if self.set.can_cancel || !safe { 0 } else { blind };
        let within = self.set.kv_release_within.max(self.look_within());
        let by = self.works.get(&id).map_or(Nanos::MAX, |w| self.repeat_by(w).min(w.release_by(within)));
        self.works.note(&id);
        self.out.push(Action::Send { id, server, timeout, send_by: by });
    }

    /// Whether an attempt tells of itself before its end, so that silence says something.
    pub(super) fn heard_early(&self, work: &Work, stage: Stage) -> bool {
        stage == Stage::Read || self.set.classes.get(work.request.class.0).is_some_and(|c| c.streamed)
    }

    /// How long an attempt may go without an answer, by its aim and by what reads take.
    pub(super) fn patience(&self, work: &Work, sent: &Sent) -> Nanos {
        (READ_WAIT * work.aim() + sent.queued * self.reads.late(DEVIATIONS)) as Nanos
    }

    pub(super) fn on_first(&mut self, id: RequestId, attempt: AttemptNumber, latency: Nanos) {
        let now = self.now;
        let Some(work) = self.works.get_mut(&id) else { return };
        let cell = work.state.take().and_then(|(reader, _)| self.servers.get(&reader)?.cell);
        let Some(sent) = work.sent.as_mut().filter(|s| s.no == attempt && !s.begun) else {
            return self.works.note(&id);
        };
        self.to_first.follow(now, now.saturating_sub(work.read_at.unwrap_or(now)) as f64, NEWS_FOR);
        let Some(s) = self.servers.get_mut(&sent.server) else { return self.works.note(&id) };
        s.begin(now, REPORT_LAG, sent);
        s.heard_at = now;
        s.answered(now, latency);
        sent.begun = true;
        let (stage, server) = (sent.stage, sent.server);
        let per_token = latency as f64 / sent.queued.max(READ_BASE);
        if stage == Stage::Write {
            self.moves[usize::from(s.cell != cell)].add(latency as f64 / 1e9, GAIN);
        } else {
            self.reads.add(per_token, GAIN, BEST_GAIN);
        }
        // Of one measure for each role: mixed servers by what they take whole, writers by what they fetch.
        let pace = if stage == Stage::Write { latency as f64 } else { per_token };
        if (stage == Stage::Write) != (s.role == Role::Mixed) {
            learn_pace(&mut self.servers, server, pace, PACE_GAIN, SAMPLES, WALKED);
        }
        self.works.note(&id);
    }

    pub(super) fn on_outcome(&mut self, o: AttemptOutcome) {
        self.note_health(&o);
        let Some(work) = self.works.get_mut(&o.id) else { return };
        let Some(sent) = work.sent.take_if(|s| s.no == o.attempt) else { return };
        work.ended |= o.request_finished;
        let (prompt, aim) = (work.request.prompt_tokens, work.aim());
        if let Some(s) = self.servers.get_mut(&o.server) {
            s.close(self.now, REPORT_LAG, &sent);
            s.note_report(self.now, REPORT_LAG, o.report, self.reads.size.value);
        }
        if sent.stage == Stage::Read && o.status == AttemptStatus::Prefilled {
            let read = READ_BASE + (prompt - o.cached_prompt_tokens as f64).max(0.0);
            let per_token = self.reads.done(&sent, o.latency, read, GAIN, BEST_GAIN);
            learn_pace(&mut self.servers, o.server, per_token, PACE_GAIN, SAMPLES, WALKED);
        }
        if o.status == AttemptStatus::Prefilled
            && sent.stage != Stage::Write
            && o.latency as f64 > READ_LATE * aim
        {
            self.throttle.cut(self.now, READS_CUT, PEER_SPAN, RECENTLY);
        }
        self.settle(o, sent);
    }

    fn settle(&mut self, o: AttemptOutcome, sent: Sent) {
        self.settle_state(&o, &sent);
        let Some(work) = self.works.get_mut(&o.id) else { return };
        let read = sent.stage == Stage::Read;
        if work.ended {
            self.out.extend((!sent.begun).then_some(Action::ReleaseKv(o.id)));
            self.works.remove(&o.id);
            return;
        }
        let effect = self.set.classes[work.request.class.0].idempotency;
        let not_run = o.status.was_never_sent()
            || matches!(
                o.status,
                AttemptStatus::Rejected | AttemptStatus::Expired | AttemptStatus::Prefilled
            );
        if !read && !not_run && effect != Idempotency::Idempotent && work.may_have_run.is_none() {
            let (zone, cell) = self.servers.get(&o.server).map_or((None, None), |s| (s.zone, s.cell));
            work.may_have_run = Some(MayHaveRun { zone, cell, at: sent.at });
        }
        let no_state = o.kv_cache_missing && !read;
        if no_state {
            // Out of the writer's reach is not gone: a cut-off reader holds it still, and it must be let go.
            work.state = None;
            self.out.push(Action::ReleaseKv(o.id));
        } else if !matches!(o.status, AttemptStatus::Prefilled | AttemptStatus::NoSocket)
            && !work.avoid.contains(&o.server)
        {
            work.avoid.push(o.server);
        }
        // A way on needs one send with a state, two without.
        let (state, attempts) = (work.state, work.attempts);
        self.works.note(&o.id);
        let spent = self.works.get(&o.id).is_some_and(|w| self.spent(w));
        let steps = if state.is_some() { 1 } else { ATTEMPTS_KEPT };
        if spent || o.status == AttemptStatus::Expired || attempts + steps > self.set.max_attempts.max(steps)
        {
            let moot = if o.status == AttemptStatus::Expired {
                GiveUpReason::TooLate
            } else {
                GiveUpReason::AttemptsExhausted
            };
            return self.give_up(o.id, if spent { GiveUpReason::MayHaveRun } else { moot });
        }
        match state {
            Some(_) => self.place(o.id),
            None => self.hold(o.id),
        }
    }
}
