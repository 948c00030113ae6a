//! Requests seen lately, all and by shared beginning.

use super::Recent;
use crate::api::{AffinityKey, Nanos};
use std::collections::BTreeMap;

/// Requests seen lately, all and by shared beginning.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    since: Nanos,
    adds: u32,
    all: Recent,
    by_prefix: BTreeMap<AffinityKey, Recent>,
}

impl Seen {
    /// Mean gap between requests.
    pub fn gap(&self, now: Nanos, span: Nanos) -> f64 {
        now.saturating_sub(self.since).min(span) as f64 / self.all.get(now, span).max(1.0)
    }

    /// How many there were before this one, of its beginning and in all.
    pub fn add(&mut self, now: Nanos, prefix: Option<AffinityKey>, span: Nanos) -> (f64, f64) {
        let all = self.all.get(now, span);
        self.since = if self.since == 0 { now } else { self.since };
        self.all.add(now, 1.0, span);
        // Now and then those long not seen are dropped.
        self.adds = self.adds.wrapping_add(1);
        if self.adds.is_multiple_of(1024) {
            self.by_prefix.retain(|_, seen| seen.get(now, span) >= 0.01);
        }
        let Some(prefix) = prefix else { return (0.0, all) };
        let same = self.by_prefix.entry(prefix).or_default();
        let before = same.get(now, span);
        same.add(now, 1.0, span);
        (before, all)
    }
}
