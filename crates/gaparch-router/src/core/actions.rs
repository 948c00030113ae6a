//! Carries out the actions of the scheduler.

use super::request::Stage;
use super::timers::Timer;
use super::{Core, Output, ResponseEvent};
use gaparch_config::Links;
use gaparch_scheduler::api::{Action, GiveUpCause, Nanos, RequestId};
use gaparch_scheduler::policy::send_guards::{self, Denial};

/// The message to a client whose request may have had an effect.
const OUTCOME_UNKNOWN: &str = "it may have been tried, and could not be ended";

impl Core {
    /// Carries out one action.
    pub(super) fn perform(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Send { id, server, timeout, send_by } => self.send(id, server, timeout, send_by),
            Action::Cancel { id, attempt } => self.cancel(id, attempt),
            Action::Reject { id, retry_after, cause } => self.reject(id, retry_after, cause, out),
            Action::Fail { id, cause } => {
                let cause = cause.reason.into();
                self.answer(id, ResponseEvent::Failed { message: OUTCOME_UNKNOWN, cause }, out);
                self.forget_if_done(id);
            }
            Action::ReleaseKv(id) => self.release_kv(id),
            Action::ReserveKv { id, server } => self.reserve_kv(id, server),
            Action::Probe(server) => self.probe(server),
            Action::SetTimer { token, delay } => {
                self.timers.set(self.now.saturating_add(delay), Timer::Scheduler(token));
            }
            Action::WatchEndpoints(on) => out.push(Output::WatchEndpoints(on)),
            Action::FetchEndpoints => out.push(Output::FetchEndpoints),
            Action::Log(text) => out.push(Output::Log(text)),
            Action::SendGossip { peer, data } => out.push(Output::SendGossip { peer, data }),
            Action::CloseConnections(engine) => {
                // A connection that carries all attempts stays; idle ones of single exchanges may be closed.
                if self.config.links == Links::Exchanges {
                    out.push(Output::CloseIdleConnections(engine));
                }
            }
            // A broken stream can't be resumed here. The settings tell the scheduler so, and it migrates
            // none.
            Action::Migrate(_) => {}
        }
        out.append(&mut self.pending_frames);
    }

    /// Whether the send guards allow a rejection that the scheduler asks for.
    fn may_reject(&self, id: RequestId) -> Result<(), Denial> {
        let Some(tracked) = self.requests.get(&id) else { return Ok(()) };
        let Some(class) = self.config.scheduler.classes.get(tracked.request.class.0) else { return Ok(()) };
        let in_flight = tracked
            .attempt
            .is_some_and(|attempt| attempt.stage == Stage::Decode && !attempt.awaits_connection());
        send_guards::may_reject(class, in_flight || tracked.may_have_run.is_some())
    }

    /// Rejects a request. If a rejection would wrongly promise that a retry is harmless, the request fails
    /// instead, which promises nothing.
    fn reject(&mut self, id: RequestId, retry_after: Nanos, give_up: GiveUpCause, out: &mut Vec<Output>) {
        let (cause, waited_for) = (give_up.reason.into(), give_up.queueing_reason.map(Into::into));
        let answer = match self.may_reject(id) {
            Ok(()) => ResponseEvent::Rejected { retry_after, cause, waited_for },
            Err(denial) => {
                self.counters.denials.count(denial);
                ResponseEvent::Failed { message: OUTCOME_UNKNOWN, cause }
            }
        };
        self.answer(id, answer, out);
        self.forget_if_done(id);
    }
}
