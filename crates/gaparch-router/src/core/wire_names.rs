//! Converts between types of the scheduler and the core and those of the operations protocol, which names
//! some of them differently.

use super::request::{Phase, Stage};
use gaparch_protocol::ops::outcome;
use gaparch_protocol::ops::view::{self, EngineRole, EngineState};
use gaparch_scheduler::api::{Idempotency, Nanos, Role, ServerState};
use gaparch_scheduler::view::AvoidReason;

pub(super) fn engine_state(state: ServerState) -> EngineState {
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

pub(super) fn avoid_reason(reason: AvoidReason) -> view::AvoidReason {
    match reason {
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

/// A class's idempotency as the settings file spells it. Operators' tools print this value, so it must not
/// change.
pub(super) fn idempotency_setting(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "safe",
        Idempotency::WithKey => "keyed",
        Idempotency::NotIdempotent => "unsafe",
    }
}

/// The Retry-After of a rejection in milliseconds, if it has one.
pub(crate) fn retry_after_millis(retry_after: Nanos) -> Option<u64> {
    (retry_after > 0).then_some(retry_after / 1_000_000)
}

/// Converts nanoseconds to microseconds.
pub(super) fn micros(nanos: Nanos) -> u64 {
    nanos / 1000
}
