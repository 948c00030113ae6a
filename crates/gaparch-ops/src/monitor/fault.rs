//! The faults that an engine can have.

use gaparch_protocol::ops::view::{AvoidReason, EngineView, PartialEjection};

/// What is wrong with an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Fault {
    /// It can't be reached, or doesn't answer.
    Unreachable,
    /// It has failed, and is ejected temporarily.
    Ejected,
    /// It is much slower than its peers.
    Outlier,
    /// It rejects the traffic of a class, or of one tenant in a class, or leaves it unanswered.
    PartiallyEjected { class: String, tenant: String },
}

/// The period from the first to the last observation of a fault.
#[derive(Clone, Debug)]
pub(super) struct FaultPeriod {
    pub since: u64,
    pub last_observed_at: u64,
    /// The engine's count of failed attempts when the fault began.
    pub failed_before: u64,
    /// The engine's count of cancelled attempts when the fault began.
    pub cancelled_before: u64,
}

impl FaultPeriod {
    /// Starts a period with the first observation of a fault.
    pub fn new(now: u64, engine: &EngineView) -> FaultPeriod {
        FaultPeriod {
            since: now,
            last_observed_at: now,
            failed_before: engine.failed,
            cancelled_before: engine.cancelled,
        }
    }
}

/// Returns the faults in an observation of an engine.
pub(super) fn faults(engine: &EngineView) -> impl Iterator<Item = Fault> + '_ {
    let full_fault = engine.avoid_reason.and_then(full_fault);
    full_fault.into_iter().chain(engine.partial_ejections.iter().map(partial_fault))
}

/// Returns the fault because of which an engine is avoided for all traffic, if the reason is a fault.
fn full_fault(reason: AvoidReason) -> Option<Fault> {
    match reason {
        AvoidReason::Unreachable => Some(Fault::Unreachable),
        AvoidReason::Ejected => Some(Fault::Ejected),
        AvoidReason::Outlier => Some(Fault::Outlier),
        // An engine that is not ready according to the list, in slow start or saturated has no fault.
        AvoidReason::NotReady | AvoidReason::WarmingUp | AvoidReason::Saturated => None,
    }
}

fn partial_fault(ejection: &PartialEjection) -> Fault {
    Fault::PartiallyEjected { class: ejection.class.clone(), tenant: ejection.tenant.clone() }
}
