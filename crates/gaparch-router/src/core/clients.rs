//! Requests come in, and get their one final answer.

use super::request::{Accepted, Live};
use super::timers::Timer;
use super::{Core, Output, ToClient};
use gaparch_ops::limits::OPEN_REQUESTS;
use gaparch_protocol::ops::ending::Cause;
use gaparch_scheduler::api::{AttemptStatus, Event, RequestId};

impl Core {
    pub(super) fn on_ask(&mut self, id: RequestId, ask: Accepted, out: &mut Vec<Output>) {
        self.counts.requests += 1;
        if self.live.contains_key(&id) {
            self.counts.refused += 1;
            return out.push(Output::Client { id, event: self.closed(Cause::TooMuchOpen) });
        }
        let request = ask.request(id, &self.config.module, self.now);
        let most = self.book.limit(OPEN_REQUESTS).map_or(usize::MAX, |most| most as usize);
        let closed = match () {
            () if self.stop_at.is_some_and(|at| self.now >= at) => Some(Cause::Stopping),
            () if self.book.paused() => Some(Cause::Paused),
            () if self.owed >= most => Some(Cause::TooMuchOpen),
            () => None,
        };
        self.owed += 1;
        if let Some(cause) = closed {
            // The module never hears of it: it is not accepted.
            self.live.insert(id, Live::new(ask, request.deadline_at, self.now));
            self.answer(id, self.closed(cause), out);
            return self.forget_if_done(id);
        }
        let overdue = request.deadline_at.saturating_add(self.config.module.answer_grace);
        let overdue = self.timers.set(overdue, Timer::Overdue(id));
        let live = Live::new(ask, request.deadline_at, self.now);
        self.live.insert(id, Live { overdue: Some(overdue), ..live });
        self.events.push_back(Event::RequestArrived(request));
    }

    /// The refusal of what is not accepted.
    pub(super) fn closed(&self, cause: Cause) -> ToClient {
        let retry_after = self.config.module.advertised_retry_after();
        ToClient::Refused { retry_after, cause, waited_for: None }
    }

    pub(super) fn on_gone(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(live) = self.live.get_mut(&id).filter(|l| !l.ended) else { return };
        live.ended = true;
        self.owed -= 1;
        self.counts.left += 1;
        self.note_ending(id, None, out);
        let Some(live) = self.live.get(&id) else { return };
        let begun = live.attempt.filter(|a| a.begun);
        self.events.push_back(Event::ClientDisconnected(id));
        // Nobody reads the stream: it ends, and the module hears of its attempt.
        if let Some(attempt) = begun {
            self.call_off(id, attempt);
            self.close(id, attempt, AttemptStatus::Cancelled, 0, None);
        }
        self.forget_if_done(id);
    }

    /// The one final answer. Whatever comes second is dropped.
    pub(super) fn answer(&mut self, id: RequestId, event: ToClient, out: &mut Vec<Output>) {
        let Some(live) = self.live.get_mut(&id).filter(|l| !l.ended) else {
            return self.counts.second_answers += 1;
        };
        live.ended = true;
        self.owed -= 1;
        match event {
            ToClient::Finished { .. } => self.counts.served += 1,
            ToClient::Refused { cause, .. } => {
                self.counts.refused += 1;
                self.reasons.refused.count(cause.word());
            }
            ToClient::Failed { cause, .. } => {
                self.counts.failed += 1;
                self.reasons.failed.count(cause.word());
            }
            ToClient::Opened { .. } | ToClient::Part { .. } => self.counts.failed += 1,
        }
        self.counts.in_time += u64::from(self.is_in_time(id, &event));
        self.note_ending(id, Some(&event), out);
        out.push(Output::Client { id, event });
    }

    pub(super) fn forget_if_done(&mut self, id: RequestId) {
        if !self.live.get(&id).is_some_and(Live::is_done) {
            return;
        }
        if let Some(overdue) = self.live.remove(&id).and_then(|live| live.overdue) {
            self.timers.cancel(overdue);
        }
    }

    pub(super) fn stop_now(&mut self, out: &mut Vec<Output>) {
        self.stop_at(self.now);
        let open: Vec<RequestId> = self.live.iter().filter(|(_, l)| !l.ended).map(|(id, _)| *id).collect();
        for id in open {
            // What was never sent anywhere is harmless to repeat; of the rest nothing is promised.
            let untouched = self.live.get(&id).is_some_and(|l| l.next_attempt == 0);
            let answer = match untouched {
                true => self.closed(Cause::Stopping),
                false => ToClient::Failed { why: "the router was stopped", cause: Cause::Stopping },
            };
            self.answer(id, answer, out);
            self.events.push_back(Event::ClientDisconnected(id));
            if let Some(attempt) = self.live.get(&id).and_then(|l| l.attempt) {
                self.call_off(id, attempt);
                self.close(id, attempt, AttemptStatus::Cancelled, 0, None);
            }
        }
    }
}
