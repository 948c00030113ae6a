//! The requests of each tenant, counted by outcome.

use gaparch_protocol::ops::outcome::{OutcomeKind, RequestOutcome};
use gaparch_protocol::ops::view::TenantView;
use std::collections::BTreeMap;

/// The most tenants that are counted apart; those past it are counted together, under an empty name.
const MAX_TENANTS: usize = 1000;

/// Counters by tenant, since the start.
#[derive(Clone, Debug, Default)]
pub(super) struct TenantCounters {
    tenants: BTreeMap<String, TenantView>,
}

impl TenantCounters {
    /// Counts a request that has ended.
    pub fn count(&mut self, outcome: &RequestOutcome) {
        let is_counted_apart = self.tenants.contains_key(&outcome.tenant) || self.tenants.len() < MAX_TENANTS;
        let name = if is_counted_apart { outcome.tenant.clone() } else { String::new() };
        let tenant = self.tenants.entry(name.clone()).or_default();
        tenant.name = name;
        tenant.requests += 1;
        tenant.tokens += u64::from(outcome.tokens);
        match outcome.kind {
            OutcomeKind::Served => tenant.served += 1,
            OutcomeKind::Rejected => tenant.rejected += 1,
            OutcomeKind::Failed => tenant.failed += 1,
            OutcomeKind::ClientDisconnected => tenant.client_disconnected += 1,
        }
    }

    /// The counters, by name.
    pub fn views(&self) -> Vec<TenantView> {
        self.tenants.values().cloned().collect()
    }
}
