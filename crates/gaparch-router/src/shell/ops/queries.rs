//! Answers to operators' queries from what the event broadcaster keeps in memory.

use super::event_broadcaster::EventBroadcaster;
use gaparch_protocol::ops::outcome::RequestOutcome;
use gaparch_protocol::ops::view::{Phase, RequestView, Snapshot};
use gaparch_protocol::ops::{Answer, DenyCode, Query};

/// Events of a snapshot.
const SNAPSHOT_EVENTS: usize = 60;
/// Endings of one answer.
const MAX_OUTCOMES: usize = 2000;
/// Events of one answer.
const MAX_EVENTS: usize = 2000;

impl EventBroadcaster {
    /// Everything as it stands.
    pub(super) fn snapshot(&self) -> Snapshot {
        let status = self.status.as_deref();
        let limits = status.map(|status| status.limits.clone()).unwrap_or_default();
        let mut tenants = self.ledger.tenants();
        for tenant in &mut tenants {
            let name = gaparch_ops::limits::tenant_limit(&tenant.name);
            tenant.quota_per_second =
                limits.iter().find(|limit| limit.name == name).map_or(0.0, |limit| limit.value);
        }
        let not_kept: Vec<String> =
            self.storage_failures.iter().map(|(what, why)| format!("{what}: {why}")).collect();
        Snapshot {
            router: self.identity.router.clone(),
            run: self.identity.run,
            revision: self.orders.revision(),
            started_at: self.identity.began_at,
            metrics: status.map(|status| status.metrics).unwrap_or_default(),
            engines: status.map(|status| status.engines.clone()).unwrap_or_default(),
            tenants,
            intents: self.intents(),
            limits,
            events: self.event_log.latest(None, 0, SNAPSHOT_EVENTS),
            settings: self.identity.settings.clone(),
            storage_error: not_kept.join("; "),
        }
    }

    /// The answer to a query; those that concern the owner or the fleet are answered by the session.
    pub(super) fn answer(&self, query: Query) -> Answer {
        match query {
            Query::Snapshot {} => Answer::Snapshot { snapshot: Box::new(self.snapshot()) },
            Query::OutcomeGroups { filter } => {
                let (groups, total) = self.ledger.groups(&filter);
                Answer::OutcomeGroups { groups, total }
            }
            Query::Outcomes { filter } => {
                let (endings, total) = self.ledger.outcomes(&filter, MAX_OUTCOMES);
                Answer::Outcomes { outcomes: endings, total }
            }
            Query::RequestDetails { request } => {
                Answer::RequestDetails { outcome: self.ledger.find(request).map(Box::new), open: None }
            }
            // The session puts the open ones before these.
            Query::OpenRequests { max: most } => {
                let recent: Vec<RequestView> =
                    self.ledger.served().rev().take(most as usize).map(ended_request_view).collect();
                let total = recent.len() as u64;
                Answer::OpenRequests { requests: recent, total }
            }
            Query::Events { engine, since, max: most } => {
                let most = if most == 0 { MAX_EVENTS } else { MAX_EVENTS.min(most as usize) };
                Answer::Events { events: self.event_log.latest(engine.as_deref(), since, most) }
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

/// A request that has ended, among those that are open.
fn ended_request_view(ending: &RequestOutcome) -> RequestView {
    RequestView {
        request: ending.request,
        received_at: ending.received_at,
        class: ending.class.clone(),
        tenant: ending.tenant.clone(),
        phase: Phase::Ended,
        kind: Some(ending.kind),
        engine: ending.attempts.last().map(|s| s.engine.clone()).unwrap_or_default(),
        tokens: ending.tokens,
        elapsed_us: ending.ended_at.saturating_sub(ending.received_at) / 1000,
        attempts: ending.attempts.clone(),
    }
}
