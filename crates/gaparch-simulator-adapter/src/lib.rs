//! An adapter between the simulator and the scheduler: it runs one scheduler instance per simulated router,
//! and translates the simulator's JSON events and the scheduler's actions. It makes no decisions itself.

#![warn(missing_docs)]

pub mod action;
pub mod endpoint;
pub mod error;
pub mod event;
pub mod field;
pub mod host;
pub mod stream;
