//! The faults that an engine can have.

use gaparch_protocol::ops::view::{AvoidReason, EngineView, PartialEjection};

/// What is wrong with an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Fault {
    /// It can't be reached, or answers nothing.
    Unreachable,
    /// It has failed, and is ejected for a while.
    Ejected,
    /// It is much slower than its peers.
    Outlier,
    /// It rejects a part of the traffic or leaves it unanswered.
    PartiallyEjected { class: String, tenant: String },
}

/// A fault from its first to its last observation.
#[derive(Clone, Debug)]
pub(super) struct FaultPeriod {
    pub since: u64,
    pub last_observed_at: u64,
    /// Attempts that had failed there when it began.
    pub failed_before: u64,
    /// Attempts that had been cancelled there when it began.
    pub cancelled_before: u64,
}

impl FaultPeriod {
    /// A fault that is observed for the first time.
    pub fn new(now: u64, engine: &EngineView) -> FaultPeriod {
        FaultPeriod {
            since: now,
            last_observed_at: now,
            failed_before: engine.failed,
            cancelled_before: engine.cancelled,
        }
    }
}

/// The faults that an engine has now.
pub(super) fn faults(engine: &EngineView) -> impl Iterator<Item = Fault> + '_ {
    let of_all_traffic = engine.avoid_reason.and_then(fault_of);
    of_all_traffic.into_iter().chain(engine.partial_ejections.iter().map(partial_fault))
}

fn fault_of(reason: AvoidReason) -> Option<Fault> {
    match reason {
        AvoidReason::Unreachable => Some(Fault::Unreachable),
        AvoidReason::Ejected => Some(Fault::Ejected),
        AvoidReason::Outlier => Some(Fault::Outlier),
        // Nothing is wrong with an engine that is not ready by the list, in slow start or saturated.
        AvoidReason::NotReady | AvoidReason::WarmingUp | AvoidReason::Saturated => None,
    }
}

fn partial_fault(ejection: &PartialEjection) -> Fault {
    Fault::PartiallyEjected { class: ejection.class.clone(), tenant: ejection.tenant.clone() }
}
