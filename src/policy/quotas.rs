//! Whether a request exceeds its tenant's quota, which is divided evenly among the routers.

use super::constants::{QUOTA_BURST_SECONDS, QUOTA_TOLERANCE};
use crate::api::{Nanos, Settings, TenantId};
use crate::state::TokenBucket;

/// The remaining quota of each tenant.
pub(super) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    pub(super) fn new(tenants: usize) -> TenantQuotas {
        TenantQuotas { buckets: vec![TokenBucket::default(); tenants] }
    }

    /// Counts a request, and returns whether it exceeds its tenant's quota. Requests without a known
    /// tenant have no quota.
    pub(super) fn exceeds_quota(
        &mut self,
        now: Nanos,
        settings: &Settings,
        tenant: Option<TenantId>,
    ) -> bool {
        let Some(tenant) = tenant else { return false };
        let Some(bucket) = self.buckets.get_mut(tenant.0) else { return false };
        let quota = settings.tenants[tenant.0].quota_per_second;
        let rate = quota / f64::from(settings.router_count) * QUOTA_TOLERANCE;
        let burst = rate * QUOTA_BURST_SECONDS + 1.0;
        rate > 0.0 && !bucket.try_take(now, rate, burst)
    }
}
