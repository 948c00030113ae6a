//! The adapter between the simulator's wire and the decision module: it hosts one instance of the module for each
//! simulated router and translates events and actions. It decides nothing.

#![warn(missing_docs)]

pub mod action;
pub mod endpoint;
pub mod error;
pub mod event;
pub mod field;
pub mod host;
pub mod stream;
