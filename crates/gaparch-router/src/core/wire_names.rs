//! The names that the operations protocol has for what the scheduler and the core call otherwise.

use super::request::{Phase, Stage};
use gaparch_protocol::ops::outcome;
use gaparch_protocol::ops::view::{self, EngineRole, EngineState};
use gaparch_scheduler::api::{Idempotency, Nanos, Role, ServerState};
use gaparch_scheduler::view::AvoidReason;

pub(super) fn listed_state(state: ServerState) -> EngineState {
    match state {
        ServerState::Ready => EngineState::Ready,
        ServerState::Draining => EngineState::Draining,
        ServerState::Removed => EngineState::Removed,
    }
}

pub(super) fn server_state(state: EngineState) -> ServerState {
    match state {
        EngineState::Ready => ServerState::Ready,
        EngineState::Draining => ServerState::Draining,
        EngineState::Removed => ServerState::Removed,
    }
}

pub(super) fn engine_role(role: Role) -> EngineRole {
    match role {
        Role::Prefill => EngineRole::Prefill,
        Role::Decode => EngineRole::Decode,
        Role::Mixed => EngineRole::Mixed,
    }
}

pub(super) fn avoid_reason(avoided: AvoidReason) -> view::AvoidReason {
    match avoided {
        AvoidReason::NotReady => view::AvoidReason::NotReady,
        AvoidReason::Unreachable => view::AvoidReason::Unreachable,
        AvoidReason::Ejected { .. } => view::AvoidReason::Ejected,
        AvoidReason::Outlier => view::AvoidReason::Outlier,
        AvoidReason::WarmingUp => view::AvoidReason::WarmingUp,
        AvoidReason::Saturated => view::AvoidReason::Saturated,
    }
}

pub(super) fn request_phase(phase: Phase) -> view::Phase {
    match phase {
        Phase::Queued => view::Phase::Queued,
        Phase::Prefilling => view::Phase::Prefilling,
        Phase::Prefilled => view::Phase::Prefilled,
        Phase::Decoding => view::Phase::Decoding,
        Phase::Streaming => view::Phase::Streaming,
        Phase::Ended => view::Phase::Ended,
    }
}

pub(super) fn attempt_stage(stage: Stage) -> outcome::Stage {
    match stage {
        Stage::Prefill => outcome::Stage::Prefill,
        Stage::Decode => outcome::Stage::Decode,
    }
}

/// The word of the settings file for a class's idempotency, as operators' tools have always printed it.
pub(super) fn idempotency_setting(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "safe",
        Idempotency::WithKey => "keyed",
        Idempotency::NotIdempotent => "unsafe",
    }
}

/// The time after which a rejected client was told to retry, in milliseconds, if it was told one.
pub(crate) fn retry_after_millis(retry_after: Nanos) -> Option<u64> {
    (retry_after > 0).then_some(retry_after / 1_000_000)
}

/// A span in microseconds.
pub(super) fn micros(nanos: Nanos) -> u64 {
    nanos / 1000
}
