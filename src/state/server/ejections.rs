//! Ejections of a server after failures, for all of its traffic or for one traffic class of a tenant.

use crate::api::{ClassId, Nanos, TenantId};
use std::collections::BTreeMap;

/// A traffic class of a tenant. A server may treat it differently from other traffic, so it is ejected
/// separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TrafficClassKey {
    /// The traffic class.
    pub class: ClassId,
    /// The tenant, if known.
    pub tenant: Option<TenantId>,
}

/// Bounds of the duration of an ejection.
#[derive(Clone, Copy, Debug)]
pub struct EjectionBounds {
    /// The shortest duration.
    pub shortest: Nanos,
    /// The longest duration.
    pub longest: Nanos,
}

/// An ejection, whose duration doubles with each failure and halves with each success.
#[derive(Clone, Copy, Debug, Default)]
struct Ejection {
    until: Nanos,
    duration: Nanos,
}

/// The ejections of a server by traffic; the `None` entry applies to all of it.
#[derive(Clone, Debug, Default)]
pub struct Ejections {
    by_traffic: BTreeMap<Option<TrafficClassKey>, Ejection>,
}

impl Ejections {
    /// Ejects the server after a failure, for all traffic (`None`) or for one class.
    pub fn eject(&mut self, now: Nanos, traffic: Option<TrafficClassKey>, bounds: EjectionBounds) {
        let ejection = self.by_traffic.entry(traffic).or_default();
        ejection.duration = (ejection.duration * 2).max(bounds.shortest).min(bounds.longest);
        ejection.until = now + ejection.duration;
    }

    /// Records a success for a class, which shortens its later ejections and those for all traffic.
    pub fn record_success(&mut self, traffic: TrafficClassKey) {
        for key in [None, Some(traffic)] {
            self.by_traffic.entry(key).and_modify(|ejection| ejection.duration /= 2);
        }
    }

    /// Whether the server is ejected under exactly this key; `None` stands for all traffic.
    pub fn is_ejected(&self, now: Nanos, traffic: Option<TrafficClassKey>) -> bool {
        self.by_traffic.get(&traffic).is_some_and(|ejection| now < ejection.until)
    }

    /// The end of the current ejection for all traffic, if there is one.
    pub fn ejected_until(&self, now: Nanos) -> Option<Nanos> {
        let until = self.by_traffic.get(&None).map(|ejection| ejection.until);
        until.filter(|until| now < *until)
    }

    /// The classes for which the server is currently ejected, each with the end of the ejection.
    pub fn by_class(&self, now: Nanos) -> impl Iterator<Item = (TrafficClassKey, Nanos)> + '_ {
        let current = self.by_traffic.iter().filter(move |(_, ejection)| now < ejection.until);
        current.filter_map(|(traffic, ejection)| traffic.map(|traffic| (traffic, ejection.until)))
    }
}
