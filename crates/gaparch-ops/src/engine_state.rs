//! The effective state of an engine, which combines the endpoint list and operators' orders.
//!
//! | order | listed state | effective state | reason |
//! | --- | --- | --- | --- |
//! | none | any | as listed | |
//! | drained | ready | draining | the operator may know what the list service doesn't |
//! | drained | draining | draining | |
//! | drained | removed | removed | there is nothing left to drain |
//! | detached | any | removed | the operator wants no connection to it either |
//!
//! An order applies to the engine's name, not to one process: an engine that restarts under the same name
//! stays drained until an operator undrains it, which [`restart_warning`] points out. The router's own
//! observations (unreachable, slow, restarted) neither start nor end a drain: they concern the engine's
//! health, which the scheduler handles. An order for an engine that is no longer listed stays in force and
//! applies when the engine is listed again.

use crate::registry::EngineDrain;
use gaparch_protocol::ops::intent::DrainMode;
use gaparch_protocol::ops::view::EngineState;

/// Returns the effective state according to the table above.
pub fn effective_state(ordered: Option<DrainMode>, listed: EngineState) -> EngineState {
    match (ordered, listed) {
        (None, listed) => listed,
        (Some(DrainMode::Detach), _) | (Some(DrainMode::Drain), EngineState::Removed) => EngineState::Removed,
        (Some(DrainMode::Drain), EngineState::Ready | EngineState::Draining) => EngineState::Draining,
    }
}

/// Returns a warning for operators if the engine's process started after the engine was drained.
pub fn restart_warning(drain: EngineDrain, started_at: Option<u64>) -> Option<String> {
    started_at.filter(|started| *started > drain.since)?;
    let ordered = match drain.mode {
        DrainMode::Drain => "drained",
        DrainMode::Detach => "set aside",
    };
    Some(format!("a new process since it was {ordered}, and still {ordered}: undrain it to use it"))
}
