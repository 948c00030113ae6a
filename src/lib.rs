//! Decides, for one router, which prefill worker and which decode worker serves each request, without I/O and without
//! a clock of its own.
//!
//! [`policy`] holds every decision, [`api`] is its interface, [`state`] the tables and statistics that it goes by,
//! [`view`] shows what it thinks of each server.

#![warn(missing_docs)]

pub mod api;
pub mod counts;
pub mod policy;
pub mod state;
pub mod view;
