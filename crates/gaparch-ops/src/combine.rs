//! What an operator's word, the list and the router's own sight make of an engine together.
//!
//! | operator | list | outcome | why |
//! | --- | --- | --- | --- |
//! | nothing | any | as listed | |
//! | drained | ready | draining | the operator knows what the list does not |
//! | drained | draining | draining | |
//! | drained | gone | gone | there is nothing left to drain |
//! | set aside | any | gone | the operator wants no connection to it either |
//!
//! An operator's word is about the engine's name, not about one process: an engine that goes and comes back under
//! the same name is still drained, whether the list or the router saw it go, until an operator frees it
//! ([`remark`] says so). What the router sees by itself (unreachable, slow, restarted) never makes or lifts a
//! drain: that is health, and the decision module's. A hold on an engine that is no longer listed is kept and
//! waits for it.

use gaparch_protocol::ops::intent::Hold;
use gaparch_protocol::ops::view::EngineState;

/// The table above.
pub fn combine(hold: Option<Hold>, listed: EngineState) -> EngineState {
    match (hold, listed) {
        (None, listed) => listed,
        (Some(Hold::Aside), _) | (Some(Hold::Drain), EngineState::Gone) => EngineState::Gone,
        (Some(Hold::Drain), EngineState::Ready | EngineState::Draining) => EngineState::Draining,
    }
}

/// What an operator should know of a hold that now meets another process than the one it was laid on.
pub fn remark(hold: Hold, held_at: u64, started_at: Option<u64>) -> Option<String> {
    started_at.filter(|started| *started > held_at)?;
    let what = match hold {
        Hold::Drain => "drained",
        Hold::Aside => "set aside",
    };
    Some(format!("a new process since it was {what}, and still {what}: undrain it to use it"))
}
