//! Records of how requests ended, for operators.

use super::wire_names::{avoid_reason, micros, retry_after_millis};
use super::{Core, Output, ResponseEvent};
use gaparch_protocol::ops::outcome::{
    EngineEvidence, GlobalRequestId, OutcomeCause, OutcomeKind, RequestOutcome, MAX_EVIDENCE,
};
use gaparch_scheduler::api::{Nanos, RequestId};
use gaparch_scheduler::view::ServerView;

/// Evidence younger than this, in nanoseconds, is reused: requests that are given up together share it.
const EVIDENCE_MAX_AGE: Nanos = 50_000_000;

impl Core {
    /// Whether a request was served with its first token within the latency objective.
    pub(super) fn met_latency_objective(&self, id: RequestId, event: &ResponseEvent) -> bool {
        let Some(tracked) = self.requests.get(&id) else { return false };
        let objective = tracked.request.latency_objective(&self.config.scheduler);
        let in_time = |first: Nanos| first.saturating_sub(tracked.arrived_at) <= objective;
        matches!(event, ResponseEvent::Finished { .. }) && tracked.first_token_at.is_some_and(in_time)
    }

    /// Reports how a request ended, if the settings configure operations, which record it. `event` is its
    /// final answer; `None`: its client disconnected.
    pub(super) fn report_outcome(
        &mut self,
        id: RequestId,
        event: Option<&ResponseEvent>,
        out: &mut Vec<Output>,
    ) {
        if self.config.operations.is_none() {
            return;
        }
        let (kind, cause, waited_for, retry_after) = match event {
            None => (OutcomeKind::ClientDisconnected, OutcomeCause::ClientDisconnected, None, None),
            Some(ResponseEvent::Rejected { retry_after, cause, waited_for }) => {
                (OutcomeKind::Rejected, *cause, *waited_for, Some(*retry_after))
            }
            Some(ResponseEvent::Failed { cause, .. }) => (OutcomeKind::Failed, *cause, None, None),
            Some(_) => (OutcomeKind::Served, OutcomeCause::Answered, None, None),
        };
        let needs_evidence = matches!(kind, OutcomeKind::Rejected | OutcomeKind::Failed);
        let evidence = if needs_evidence { self.engine_evidence() } else { Vec::new() };
        let Some(tracked) = self.requests.get(&id) else { return };
        let request = GlobalRequestId { run: self.run.0, number: id.0 };
        let outcome = RequestOutcome {
            class: self.class_name(tracked).to_owned(),
            tenant: self.tenant_name(tracked.request.tenant).to_owned(),
            queueing_reason: waited_for,
            retry_after_ms: retry_after.and_then(retry_after_millis),
            first_token_after_us: tracked
                .first_token_at
                .map(|at| micros(at.saturating_sub(tracked.arrived_at))),
            tokens: tracked.usage.output_tokens,
            attempts: self.attempt_views(tracked),
            evidence,
            fingerprint: tracked.request.fingerprint,
            ..RequestOutcome::without_details(request, tracked.arrived_at, self.now, kind, cause)
        };
        out.push(Output::RequestEnded(Box::new(outcome)));
    }

    /// The present state of the engines, avoided ones first.
    fn engine_evidence(&mut self) -> Vec<EngineEvidence> {
        if let Some((at, evidence)) = &self.evidence {
            if self.now < at.saturating_add(EVIDENCE_MAX_AGE) {
                return evidence.clone();
            }
        }
        let mut views: Vec<ServerView> = self.policy.views().collect();
        views.sort_by_key(|view| view.avoid_reason.is_none());
        let evidence_of = |view: &ServerView| EngineEvidence {
            engine: self.endpoints.name(view.server).to_owned(),
            avoid_reason: view
                .avoid_reason
                .map(|reason| avoid_reason(reason).name().to_owned())
                .unwrap_or_default(),
            memory_utilization: view.memory_utilization,
            queued_prompt_tokens: view.queued_prompt_tokens,
            latency_ratio: view.latency_ratio,
        };
        let evidence: Vec<EngineEvidence> = views.iter().take(MAX_EVIDENCE).map(evidence_of).collect();
        self.evidence = Some((self.now, evidence.clone()));
        evidence
    }
}
