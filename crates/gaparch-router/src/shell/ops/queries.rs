//! Answers to operators' queries from what the event broadcaster keeps in memory.

use super::event_broadcaster::EventBroadcaster;
use gaparch_protocol::ops::outcome::RequestOutcome;
use gaparch_protocol::ops::view::{Phase, RequestView, Snapshot};
use gaparch_protocol::ops::{Answer, DenyCode, Query};

/// The most events in a snapshot.
const SNAPSHOT_EVENTS: usize = 60;
/// The most request outcomes in one answer.
const MAX_OUTCOMES: usize = 2000;
/// The most events in one answer.
const MAX_EVENTS: usize = 2000;

impl EventBroadcaster {
    /// A snapshot of the current state.
    pub(super) fn snapshot(&self) -> Snapshot {
        let status = self.status.as_deref();
        let limits = status.map(|status| status.limits.clone()).unwrap_or_default();
        let mut tenants = self.outcome_log.tenants();
        for tenant in &mut tenants {
            let name = gaparch_ops::limits::tenant_limit(&tenant.name);
            tenant.quota_per_second =
                limits.iter().find(|limit| limit.name == name).map_or(0.0, |limit| limit.value);
        }
        let storage_errors: Vec<String> =
            self.storage_failures.iter().map(|(store, reason)| format!("{store}: {reason}")).collect();
        Snapshot {
            router: self.identity.router.clone(),
            run: self.identity.run,
            revision: self.orders.revision(),
            started_at: self.identity.started_at,
            metrics: status.map(|status| status.metrics).unwrap_or_default(),
            engines: status.map(|status| status.engines.clone()).unwrap_or_default(),
            tenants,
            intents: self.intents(),
            limits,
            events: self.event_log.latest(None, 0, SNAPSHOT_EVENTS),
            settings: self.identity.settings.clone(),
            storage_error: storage_errors.join("; "),
        }
    }

    /// Answers a query. Those that concern the owner or the fleet are answered by the session.
    pub(super) fn answer(&self, query: Query) -> Answer {
        match query {
            Query::Snapshot {} => Answer::Snapshot { snapshot: Box::new(self.snapshot()) },
            Query::OutcomeGroups { filter } => {
                let (groups, total) = self.outcome_log.groups(&filter);
                Answer::OutcomeGroups { groups, total }
            }
            Query::Outcomes { filter } => {
                let (outcomes, total) = self.outcome_log.outcomes(&filter, MAX_OUTCOMES);
                Answer::Outcomes { outcomes, total }
            }
            Query::RequestDetails { request } => {
                Answer::RequestDetails { outcome: self.outcome_log.find(request).map(Box::new), open: None }
            }
            // The session adds the open requests in front.
            Query::OpenRequests { max } => {
                let requests: Vec<RequestView> =
                    self.outcome_log.served().rev().take(max as usize).map(ended_request_view).collect();
                let total = requests.len() as u64;
                Answer::OpenRequests { requests, total }
            }
            Query::Events { engine, since, max } => {
                let max = if max == 0 { MAX_EVENTS } else { MAX_EVENTS.min(max as usize) };
                Answer::Events { events: self.event_log.latest(engine.as_deref(), since, max) }
            }
            Query::Limits {} => Answer::Limits {
                limits: self.status.as_ref().map(|status| status.limits.clone()).unwrap_or_default(),
            },
            Query::Intents {} => Answer::Intents { intents: self.intents() },
            Query::Subscribe {}
            | Query::Unsubscribe {}
            | Query::Order { .. }
            | Query::LocalOrder { .. }
            | Query::OrderReplication {}
            | Query::Audit { .. }
            | Query::Members {}
            | Query::ListVersions {} => {
                let message = "that is for the session to do".to_owned();
                Answer::Denied { code: DenyCode::Invalid, message }
            }
        }
    }
}

/// The view of a request that has ended, for a list together with open ones.
fn ended_request_view(outcome: &RequestOutcome) -> RequestView {
    RequestView {
        request: outcome.request,
        received_at: outcome.received_at,
        class: outcome.class.clone(),
        tenant: outcome.tenant.clone(),
        phase: Phase::Ended,
        kind: Some(outcome.kind),
        engine: outcome.attempts.last().map(|attempt| attempt.engine.clone()).unwrap_or_default(),
        tokens: outcome.tokens,
        elapsed_us: outcome.ended_at.saturating_sub(outcome.received_at) / 1000,
        attempts: outcome.attempts.clone(),
    }
}
