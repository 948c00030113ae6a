//! Ejections of a server after failures, for all of its traffic or for one traffic class of one
//! tenant.

use crate::api::{ClassId, Nanos, TenantId};
use std::collections::BTreeMap;

/// A traffic class of a tenant, which a server may treat unlike the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TrafficClassKey {
    /// The class of the requests.
    pub class: ClassId,
    /// Their tenant, if known.
    pub tenant: Option<TenantId>,
}

/// The shortest and the longest ejection.
#[derive(Clone, Copy, Debug)]
pub struct EjectionBounds {
    /// The shortest.
    pub shortest: Nanos,
    /// The longest.
    pub longest: Nanos,
}

/// An ejection, whose duration doubles with each failure and halves with each success.
#[derive(Clone, Copy, Debug, Default)]
struct Ejection {
    until: Nanos,
    duration: Nanos,
}

/// The ejections of one server; under `None` that of all its traffic.
#[derive(Clone, Debug, Default)]
pub struct Ejections {
    by_traffic: BTreeMap<Option<TrafficClassKey>, Ejection>,
}

impl Ejections {
    /// Ejects the server after a failure, for all traffic or for one class.
    pub fn eject(&mut self, now: Nanos, traffic: Option<TrafficClassKey>, bounds: EjectionBounds) {
        let ejection = self.by_traffic.entry(traffic).or_default();
        ejection.duration = (ejection.duration * 2).max(bounds.shortest).min(bounds.longest);
        ejection.until = now + ejection.duration;
    }

    /// Records a success for a class, which shortens later ejections.
    pub fn record_success(&mut self, traffic: TrafficClassKey) {
        for key in [None, Some(traffic)] {
            self.by_traffic.entry(key).and_modify(|ejection| ejection.duration /= 2);
        }
    }

    /// Whether the server is ejected for exactly that traffic; `None`: for all.
    pub fn is_ejected(&self, now: Nanos, traffic: Option<TrafficClassKey>) -> bool {
        self.by_traffic.get(&traffic).is_some_and(|ejection| now < ejection.until)
    }

    /// Until when it is ejected for all traffic, if it is.
    pub fn ejected_until(&self, now: Nanos) -> Option<Nanos> {
        let until = self.by_traffic.get(&None).map(|ejection| ejection.until);
        until.filter(|until| now < *until)
    }

    /// The classes for which it is ejected now, and until when.
    pub fn by_class(&self, now: Nanos) -> impl Iterator<Item = (TrafficClassKey, Nanos)> + '_ {
        let current = self.by_traffic.iter().filter(move |(_, ejection)| now < ejection.until);
        current.filter_map(|(traffic, ejection)| traffic.map(|traffic| (traffic, ejection.until)))
    }
}
