//! The names that the operations protocol has for what the scheduler calls otherwise.

use super::request::{Phase, Stage};
use gaparch_protocol::ops::ending;
use gaparch_protocol::ops::view::{self, Avoid, EngineRole, EngineState};
use gaparch_scheduler::api::{Idempotency, Nanos, Role, ServerState};
use gaparch_scheduler::view::AvoidReason;

pub(super) fn listed_state(state: ServerState) -> EngineState {
    match state {
        ServerState::Ready => EngineState::Ready,
        ServerState::Draining => EngineState::Draining,
        ServerState::Removed => EngineState::Gone,
    }
}

pub(super) fn server_state(state: EngineState) -> ServerState {
    match state {
        EngineState::Ready => ServerState::Ready,
        EngineState::Draining => ServerState::Draining,
        EngineState::Gone => ServerState::Removed,
    }
}

pub(super) fn engine_role(role: Role) -> EngineRole {
    match role {
        Role::Prefill => EngineRole::Read,
        Role::Decode => EngineRole::Write,
        Role::Mixed => EngineRole::Both,
    }
}

pub(super) fn avoid_word(avoided: AvoidReason) -> Avoid {
    match avoided {
        AvoidReason::NotReady => Avoid::NotReady,
        AvoidReason::Unreachable => Avoid::Unreachable,
        AvoidReason::Ejected { .. } => Avoid::Resting,
        AvoidReason::Outlier => Avoid::Slow,
        AvoidReason::WarmingUp => Avoid::Cold,
        AvoidReason::Saturated => Avoid::Full,
    }
}

pub(super) fn request_phase(phase: Phase) -> view::Phase {
    match phase {
        Phase::Queued => view::Phase::Held,
        Phase::Prefilling => view::Phase::Reading,
        Phase::Prefilled => view::Phase::Read,
        Phase::Decoding => view::Phase::Writing,
        Phase::Streaming => view::Phase::Streaming,
        Phase::Ended => view::Phase::Ended,
    }
}

pub(super) fn attempt_stage(stage: Stage) -> ending::Stage {
    match stage {
        Stage::Prefill => ending::Stage::Read,
        Stage::Decode => ending::Stage::Write,
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
