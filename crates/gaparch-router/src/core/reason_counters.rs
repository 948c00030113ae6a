//! Counts why attempts and requests ended, for the summary line, and lists the KV caches that are held: by
//! which requests, where and for how long.

use super::Core;
use gaparch_scheduler::api::{AttemptStatus, Nanos, RequestId, ServerId};
use gaparch_scheduler::counts::write_counts;
use std::collections::BTreeMap;
use std::fmt;

/// How often something happened, by its reason. The reasons are a fixed set of names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReasonCounters {
    counts: BTreeMap<&'static str, u64>,
}

impl ReasonCounters {
    pub(super) fn count(&mut self, reason: &'static str) {
        *self.counts.entry(reason).or_default() += 1;
    }
}

impl fmt::Display for ReasonCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_counts(f, self.counts.iter().map(|(reason, count)| (*reason, *count)))
    }
}

/// The reasons why requests and attempts ended since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReasonsByKind {
    /// Requests that were rejected, by their cause.
    pub rejected: ReasonCounters,
    /// Requests that failed, by their cause.
    pub failed: ReasonCounters,
    /// Attempts that did not succeed, by their status.
    pub attempts: ReasonCounters,
    /// Retries, by the status of the previous attempt.
    pub retries: ReasonCounters,
}

/// The KV cache of a request that no decode worker is known to have fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldKvCache {
    /// The request that it belongs to.
    pub request: RequestId,
    /// The engine that holds it.
    pub prefill_worker: ServerId,
    /// When its prefill ended.
    pub since: Nanos,
    /// The engine of a decode attempt that has not been answered, if one is in flight.
    pub unanswered_at: Option<ServerId>,
}

impl Core {
    /// Why attempts and requests have ended since the start.
    pub fn reasons_by_kind(&self) -> &ReasonsByKind {
        &self.reasons_by_kind
    }

    /// How the last attempt of a request has ended, if one has.
    pub fn last_status(&self, id: RequestId) -> Option<AttemptStatus> {
        self.requests.get(&id)?.last_status
    }

    /// The KV caches of requests whose response has not started.
    pub fn held_kv_caches(&self) -> impl Iterator<Item = HeldKvCache> + '_ {
        self.requests.iter().filter_map(|(request, tracked)| {
            let (prefill_worker, since) = (tracked.kv_cache_at?, tracked.kv_cache_since?);
            let unanswered_at = tracked.attempt.map(|attempt| attempt.server);
            Some(HeldKvCache { request: *request, prefill_worker, since, unanswered_at })
        })
    }
}
