//! Counts the requests of each tenant by outcome.

use gaparch_protocol::ops::outcome::{OutcomeKind, RequestOutcome};
use gaparch_protocol::ops::view::TenantView;
use std::collections::BTreeMap;

/// Maximum number of tenants with their own counters; further tenants share the counters of the empty name.
const MAX_TENANTS: usize = 1000;

/// Request counters of each tenant since the start.
#[derive(Clone, Debug, Default)]
pub(super) struct TenantCounters {
    tenants: BTreeMap<String, TenantView>,
}

impl TenantCounters {
    /// Counts a request that has ended.
    pub fn count(&mut self, outcome: &RequestOutcome) {
        let has_own_counters = self.tenants.contains_key(&outcome.tenant) || self.tenants.len() < MAX_TENANTS;
        let name = if has_own_counters { outcome.tenant.clone() } else { String::new() };
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

    /// Returns the counters sorted by tenant name.
    pub fn views(&self) -> Vec<TenantView> {
        self.tenants.values().cloned().collect()
    }
}
