//! The state of an engine by the endpoint list and operators' orders together.
//!
//! | operator | list | outcome | why |
//! | --- | --- | --- | --- |
//! | nothing | any | as listed | |
//! | drained | ready | draining | the operator knows what the list does not |
//! | drained | draining | draining | |
//! | drained | removed | removed | there is nothing left to drain |
//! | detached | any | removed | the operator wants no connection to it either |
//!
//! An order is about the engine's name, not about one process: an engine that restarts under the same name is still
//! drained, until an operator undrains it ([`restart_warning`] says so). What the router observes itself (unreachable,
//! slow, restarted) neither begins nor ends a drain: that is health, and decided by the scheduler. An order for an
//! engine that is no longer listed stays in force and applies when the engine is listed again.

use crate::registry::EngineDrain;
use gaparch_protocol::ops::intent::DrainMode;
use gaparch_protocol::ops::view::EngineState;

/// The state by the table above.
pub fn effective_state(ordered: Option<DrainMode>, listed: EngineState) -> EngineState {
    match (ordered, listed) {
        (None, listed) => listed,
        (Some(DrainMode::Detach), _) | (Some(DrainMode::Drain), EngineState::Removed) => EngineState::Removed,
        (Some(DrainMode::Drain), EngineState::Ready | EngineState::Draining) => EngineState::Draining,
    }
}

/// What an operator should know of an engine whose process started after it was drained.
pub fn restart_warning(drain: EngineDrain, started_at: Option<u64>) -> Option<String> {
    started_at.filter(|started| *started > drain.since)?;
    let ordered = match drain.mode {
        DrainMode::Drain => "drained",
        DrainMode::Detach => "set aside",
    };
    Some(format!("a new process since it was {ordered}, and still {ordered}: undrain it to use it"))
}
