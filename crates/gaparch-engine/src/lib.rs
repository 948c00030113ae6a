//! Engines for when there are none: a model of how they behave, and a socket server around it.
//!
//! [`model::Model`] has no I/O and no clock: frames and times go in, frames and times come out, so that a
//! laboratory can run thousands of them in virtual time. [`server`] puts it behind a socket and is what
//! `gaparch engine` runs. [`fault`] holds what can be made to go wrong, and the scripts that do it.

pub mod fault;
pub mod link;
pub mod model;
pub mod observe;
pub mod server;
pub mod spec;

pub use fault::{Fault, Script, ScriptError};
pub use model::{ConnId, Input, Model, Output};
pub use spec::EngineSpec;
