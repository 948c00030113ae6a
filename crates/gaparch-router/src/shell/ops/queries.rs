//! Answers to operators' queries from what the event broadcaster keeps in memory.

use super::event_broadcaster::EventBroadcaster;
use gaparch_protocol::ops::ending::Ending;
use gaparch_protocol::ops::view::{LiveView, Phase, Snapshot};
use gaparch_protocol::ops::{Answer, DenyCode, Query};

/// Events of a snapshot.
const SNAPSHOT_EVENTS: usize = 60;
/// Endings of one answer.
const MAX_ENDINGS: usize = 2000;
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
            tenant.per_s = limits.iter().find(|limit| limit.name == name).map_or(0.0, |limit| limit.value);
        }
        let not_kept: Vec<String> =
            self.storage_failures.iter().map(|(what, why)| format!("{what}: {why}")).collect();
        Snapshot {
            router: self.identity.router.clone(),
            run: self.identity.run,
            revision: self.orders.revision(),
            began_at: self.identity.began_at,
            figures: status.map(|status| status.figures).unwrap_or_default(),
            engines: status.map(|status| status.engines.clone()).unwrap_or_default(),
            tenants,
            intents: self.intents(),
            limits,
            events: self.event_log.list(None, 0, SNAPSHOT_EVENTS),
            settings: self.identity.settings.clone(),
            not_kept: not_kept.join("; "),
        }
    }

    /// The answer to a query; those that concern the owner or the fleet are answered by the session.
    pub(super) fn answer(&self, query: Query) -> Answer {
        match query {
            Query::Snapshot {} => Answer::Snapshot { snapshot: Box::new(self.snapshot()) },
            Query::Groups { filter } => {
                let (groups, total) = self.ledger.groups(&filter);
                Answer::Groups { groups, total }
            }
            Query::Endings { filter } => {
                let (endings, total) = self.ledger.endings(&filter, MAX_ENDINGS);
                Answer::Endings { endings, total }
            }
            Query::Story { request } => {
                Answer::Story { ending: self.ledger.story(request).map(Box::new), live: None }
            }
            // The session puts the open ones before these.
            Query::Live { most } => {
                let recent: Vec<LiveView> =
                    self.ledger.recent().rev().take(most as usize).map(ended_view).collect();
                let total = recent.len() as u64;
                Answer::Live { live: recent, total }
            }
            Query::Events { engine, since, most } => {
                let most = if most == 0 { MAX_EVENTS } else { MAX_EVENTS.min(most as usize) };
                Answer::Events { events: self.event_log.list(engine.as_deref(), since, most) }
            }
            Query::Limits {} => Answer::Limits {
                limits: self.status.as_ref().map(|status| status.limits.clone()).unwrap_or_default(),
            },
            Query::Intents {} => Answer::Intents { intents: self.intents() },
            Query::Subscribe {}
            | Query::Unsubscribe {}
            | Query::Order { .. }
            | Query::OrderHere { .. }
            | Query::Spread {}
            | Query::Audit { .. }
            | Query::Members {}
            | Query::Versions {} => {
                let message = "that is for the session to do".to_owned();
                Answer::Denied { code: DenyCode::Invalid, message }
            }
        }
    }
}

/// A request that has ended, among those that are open.
fn ended_view(ending: &Ending) -> LiveView {
    LiveView {
        request: ending.request,
        asked_at: ending.asked_at,
        class: ending.class.clone(),
        tenant: ending.tenant.clone(),
        phase: Phase::Ended,
        kind: Some(ending.kind),
        engine: ending.steps.last().map(|s| s.engine.clone()).unwrap_or_default(),
        tokens: ending.tokens,
        took_us: ending.ended_at.saturating_sub(ending.asked_at) / 1000,
        steps: ending.steps.clone(),
    }
}
