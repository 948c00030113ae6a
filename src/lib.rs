//! The scheduler of one router: assigns each request to a prefill worker and a decode worker. It
//! performs no I/O and does not read a clock; the caller passes the time with each event.
//!
//! [`policy`] makes all decisions, [`api`] is its interface, [`state`] holds the tables and statistics
//! that the decisions depend on, and [`view`] exposes the current assessment of each server.

#![warn(missing_docs)]

pub mod api;
pub mod counts;
pub mod policy;
pub mod state;
pub mod view;
