//! Traffic classes, tenants and the rules of the site.

use super::Check;
use crate::config::Names;
use crate::raw;
use crate::units::Span;
use gaparch_scheduler::api::TenantId;
use std::collections::BTreeMap;

/// Minimum release time: the scheduler checks its requests every 10 ms, so a shorter time could not be met.
const MIN_RELEASE_WITHIN: Span = Span::millis(50);
/// Minimum deadline: a shorter one leaves no time to answer.
const MIN_DEADLINE: Span = Span::millis(100);

impl Check<'_> {
    pub(super) fn names(&mut self, raw: &raw::Gaparch) -> Names {
        let zones: Vec<String> = raw.zones.iter().flat_map(|z| &z.zone).map(|z| z.id.clone()).collect();
        let names = Names {
            classes: raw.classes.class.iter().map(|c| c.id.clone()).collect(),
            tenants: raw.tenants.iter().flat_map(|t| &t.tenant).map(|t| t.id.clone()).collect(),
            kinds: raw.kinds.kind.iter().map(|k| k.id.clone()).collect(),
            zones,
        };
        self.unique("zone", "id", names.zones.iter().map(String::as_str));
        self.unique("kind", "id", names.kinds.iter().map(String::as_str));
        self.unique("class", "id", names.classes.iter().map(String::as_str));
        self.unique("tenant", "id", names.tenants.iter().map(String::as_str));
        names
    }

    pub(super) fn classes(&mut self, classes: &[raw::Class]) {
        for (n, class) in classes.iter().enumerate() {
            if class.deadline < MIN_DEADLINE {
                self.report(
                    "class",
                    n,
                    "deadline",
                    format!("{} is too short: must be at least {MIN_DEADLINE}", class.deadline),
                );
            }
            if class.aim.0 == 0 || class.aim > class.deadline {
                self.report("class", n, "aim", "must be above 0 and at most the deadline");
            }
            if class.effect == raw::Effect::Keyed && class.window.0 == 0 {
                self.report(
                    "class",
                    n,
                    "window",
                    "a keyed class needs the time during which duplicates are dropped",
                );
            }
            if class.effect != raw::Effect::Keyed && class.window.0 > 0 {
                self.report("class", n, "window", "is allowed for a keyed class only");
            }
            if class.silence_limit.0 == 0 || class.silence_limit > class.stream_limit {
                self.report("class", n, "silence-limit", "must be above 0 and at most stream-limit");
            }
            if class.default && classes[..n].iter().any(|c| c.default) {
                self.report("class", n, "default", "another class is already the default");
            }
        }
    }

    pub(super) fn rules(&mut self, rules: &raw::Rules) {
        if rules.release_within < MIN_RELEASE_WITHIN {
            let message =
                format!("{} is too short: must be at least {MIN_RELEASE_WITHIN}", rules.release_within);
            self.report("rules", 0, "release-within", message);
        }
        if rules.fall.0 == 0 {
            self.report("rules", 0, "fall", "must be above 0");
        }
        if rules.cold_from <= 0.0 {
            self.report("rules", 0, "cold-from", "must be above 0");
        }
        if rules.fall_multiple < 1.0 {
            self.report(
                "rules",
                0,
                "fall-multiple",
                "must be at least 1: below that, an engine would be overloaded within its capacity",
            );
        }
    }

    pub(super) fn keys(&mut self, raw: &raw::Gaparch) -> BTreeMap<String, TenantId> {
        let tenants = || raw.tenants.iter().flat_map(|t| &t.tenant).enumerate();
        let keys: Vec<(TenantId, &str)> =
            tenants().flat_map(|(i, t)| t.key.iter().map(move |k| (TenantId(i), k.value.as_str()))).collect();
        let mut by_key: BTreeMap<String, TenantId> = BTreeMap::new();
        for (n, (tenant, key)) in keys.into_iter().enumerate() {
            // The message must not contain the key, since it may be logged.
            if by_key.insert(key.to_owned(), tenant).is_some() {
                self.report("key", n, "value", "the same key is used twice");
            }
        }
        if let Some(tenants) = &raw.tenants {
            let sum: f64 = tenants.tenant.iter().map(|t| t.share).sum();
            if sum > 1.0 + 1e-9 {
                self.report(
                    "tenants",
                    0,
                    "share",
                    format!("the shares add up to {sum}, which is more than 1"),
                );
            }
        }
        by_key
    }
}
