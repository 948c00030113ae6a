//! Handles the arrival of requests, and gives each its one final answer.

use super::attempts::AttemptResult;
use super::request::{AcceptedRequest, TrackedRequest};
use super::timers::Timer;
use super::{Core, Output, Phase, ResponseEvent};
use gaparch_ops::limits::OPEN_REQUESTS;
use gaparch_protocol::ops::outcome::OutcomeCause;
use gaparch_scheduler::api::{AttemptStatus, Event, RequestId};

impl Core {
    pub(super) fn on_request(&mut self, id: RequestId, request: AcceptedRequest, out: &mut Vec<Output>) {
        self.counters.requests += 1;
        if self.requests.contains_key(&id) {
            self.counters.rejected += 1;
            return out.push(Output::Client { id, event: self.rejection(OutcomeCause::TooManyOpen) });
        }
        let scheduler_request = request.to_scheduler_request(id, &self.config.scheduler, self.now);
        let deadline_at = scheduler_request.deadline_at;
        let max_open = self.orders.limit(OPEN_REQUESTS).map_or(usize::MAX, |limit| limit as usize);
        let rejection_cause = match () {
            () if self.stop_at.is_some_and(|at| self.now >= at) => Some(OutcomeCause::Stopping),
            () if self.orders.is_paused() => Some(OutcomeCause::Paused),
            () if self.unanswered >= max_open => Some(OutcomeCause::TooManyOpen),
            () => None,
        };
        self.unanswered += 1;
        if let Some(cause) = rejection_cause {
            // The request is not accepted, so the scheduler is not told of it.
            self.requests.insert(id, TrackedRequest::new(request, deadline_at, self.now));
            self.answer(id, self.rejection(cause), out);
            return self.forget_if_done(id);
        }
        let overdue_at = deadline_at.saturating_add(self.config.scheduler.answer_grace);
        let overdue_timer = self.timers.set(overdue_at, Timer::RequestOverdue(id));
        let tracked = TrackedRequest::new(request, deadline_at, self.now);
        self.requests.insert(id, TrackedRequest { overdue_timer: Some(overdue_timer), ..tracked });
        self.scheduler_events.push_back(Event::RequestArrived(scheduler_request));
    }

    /// The rejection of a request that is not accepted.
    pub(super) fn rejection(&self, cause: OutcomeCause) -> ResponseEvent {
        let retry_after = self.config.scheduler.advertised_retry_after();
        ResponseEvent::Rejected { retry_after, cause, waited_for: None }
    }

    pub(super) fn on_client_disconnected(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let Some(tracked) = self.requests.get_mut(&id).filter(|tracked| !tracked.answered) else { return };
        tracked.answered = true;
        self.unanswered -= 1;
        self.counters.client_disconnected += 1;
        self.report_outcome(id, None, out);
        let Some(tracked) = self.requests.get(&id) else { return };
        let streaming = tracked.attempt.filter(|attempt| attempt.is_streaming());
        self.scheduler_events.push_back(Event::ClientDisconnected(id));
        // Nobody reads the stream any more: cancel it and report the end of its attempt to the scheduler.
        if let Some(attempt) = streaming {
            self.send_cancel(id, attempt);
            self.finish_attempt(id, attempt, AttemptResult::of(AttemptStatus::Cancelled));
        }
        self.forget_if_done(id);
    }

    /// Gives a request its final answer. A second answer is dropped and counted.
    pub(super) fn answer(&mut self, id: RequestId, event: ResponseEvent, out: &mut Vec<Output>) {
        let Some(tracked) = self.requests.get_mut(&id).filter(|tracked| !tracked.answered) else {
            return self.counters.duplicate_answers += 1;
        };
        tracked.answered = true;
        self.unanswered -= 1;
        match event {
            ResponseEvent::Finished { .. } => self.counters.served += 1,
            ResponseEvent::Rejected { cause, .. } => {
                self.counters.rejected += 1;
                self.reasons_by_kind.rejected.count(cause.name());
            }
            ResponseEvent::Failed { cause, .. } => {
                self.counters.failed += 1;
                self.reasons_by_kind.failed.count(cause.name());
            }
            ResponseEvent::Started { .. } | ResponseEvent::Text { .. } => self.counters.failed += 1,
        }
        self.counters.within_objective += u64::from(self.met_latency_objective(id, &event));
        self.report_outcome(id, Some(&event), out);
        out.push(Output::Client { id, event });
    }

    pub(super) fn forget_if_done(&mut self, id: RequestId) {
        if !self.requests.get(&id).is_some_and(TrackedRequest::can_be_forgotten) {
            return;
        }
        if let Some(overdue_timer) = self.requests.remove(&id).and_then(|tracked| tracked.overdue_timer) {
            self.timers.cancel(overdue_timer);
        }
    }

    /// Accepts no more requests, and ends the open ones that are in the given phases.
    pub(super) fn stop_requests(&mut self, is_ended_in: impl Fn(Phase) -> bool, out: &mut Vec<Output>) {
        self.stop_at(self.now);
        let is_ended = |tracked: &TrackedRequest| !tracked.answered && is_ended_in(tracked.phase());
        let open: Vec<RequestId> =
            self.requests.iter().filter(|(_, tracked)| is_ended(tracked)).map(|(id, _)| *id).collect();
        for id in open {
            // A request without any attempt is safe to retry; for the others nothing is promised.
            let has_no_attempt = self.requests.get(&id).is_some_and(|tracked| tracked.next_attempt == 0);
            let answer = match has_no_attempt {
                true => self.rejection(OutcomeCause::Stopping),
                false => {
                    ResponseEvent::Failed { message: "the router was stopped", cause: OutcomeCause::Stopping }
                }
            };
            self.answer(id, answer, out);
            self.scheduler_events.push_back(Event::ClientDisconnected(id));
            if let Some(attempt) = self.requests.get(&id).and_then(|tracked| tracked.attempt) {
                self.send_cancel(id, attempt);
                self.finish_attempt(id, attempt, AttemptResult::of(AttemptStatus::Cancelled));
            }
        }
    }
}
