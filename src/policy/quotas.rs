//! Whether a request is beyond its tenant's quota, of which each router takes an even part.

use super::constants::{QUOTA_BURST_SECONDS, QUOTA_TOLERANCE};
use crate::api::{Nanos, Settings, TenantId};
use crate::state::TokenBucket;

/// What each tenant may still send within its quota.
pub(super) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    pub(super) fn new(tenants: usize) -> TenantQuotas {
        TenantQuotas { buckets: vec![TokenBucket::default(); tenants] }
    }

    /// Counts a request; whether it is beyond its tenant's quota. Without a known tenant there is
    /// none.
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
