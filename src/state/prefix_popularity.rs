//! Recent request rates, in total and by shared prefix.

use super::DecayingSum;
use crate::api::{AffinityKey, Nanos};
use std::collections::BTreeMap;

/// The number of requests between two removals of prefixes that are no longer in use.
const CLEANUP_INTERVAL: u32 = 1024;
/// A prefix whose decayed count is below this is dropped at the next cleanup.
const NEGLIGIBLE_COUNT: f64 = 0.01;
/// The number of prefixes that a cleanup keeps. Clients choose their names, so there may be a new one in each request;
/// only a prefix with a large share of the requests is treated differently, and these are far fewer.
const MAX_PREFIXES: usize = 4096;

/// Decayed counts of the requests before the current one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecentRequests {
    /// Requests with the same shared prefix; 0 if the current one has none.
    pub same_prefix: f64,
    /// All requests.
    pub total: f64,
}

/// Decaying counts of requests, in total and by shared prefix.
#[derive(Clone, Debug, Default)]
pub struct PrefixPopularity {
    first_request_at: Nanos,
    requests_seen: u32,
    total: DecayingSum,
    by_prefix: BTreeMap<AffinityKey, DecayingSum>,
}

impl PrefixPopularity {
    /// The mean time between requests over the last `span`, or since the first one, in nanoseconds.
    pub fn mean_interval(&self, now: Nanos, span: Nanos) -> f64 {
        let observed = now.saturating_sub(self.first_request_at).min(span);
        observed as f64 / self.total.value_at(now, span).max(1.0)
    }

    /// Counts a request, and returns the decayed counts from before it.
    pub fn record(&mut self, now: Nanos, prefix: Option<AffinityKey>, span: Nanos) -> RecentRequests {
        let total = self.total.value_at(now, span);
        if self.first_request_at == 0 {
            self.first_request_at = now;
        }
        self.total.add(now, 1.0, span);
        self.requests_seen = self.requests_seen.wrapping_add(1);
        if self.requests_seen.is_multiple_of(CLEANUP_INTERVAL) {
            self.remove_rare(now, span);
        }
        let Some(prefix) = prefix else { return RecentRequests { same_prefix: 0.0, total } };
        let count = self.by_prefix.entry(prefix).or_default();
        let same_prefix = count.value_at(now, span);
        count.add(now, 1.0, span);
        RecentRequests { same_prefix, total }
    }

    /// Removes prefixes that are no longer in use, and the least frequent ones if there are too many.
    fn remove_rare(&mut self, now: Nanos, span: Nanos) {
        let mut counts: Vec<f64> = self.by_prefix.values().map(|count| count.value_at(now, span)).collect();
        let mut limit = NEGLIGIBLE_COUNT;
        if let Some(excess) = counts.len().checked_sub(MAX_PREFIXES + 1) {
            let (_, count, _) = counts.select_nth_unstable_by(excess, f64::total_cmp);
            limit = limit.max(count.next_up());
        }
        self.by_prefix.retain(|_, count| count.value_at(now, span) >= limit);
    }
}

#[cfg(test)]
#[path = "prefix_popularity_tests.rs"]
mod tests;
