//! A reference implementation of the decisions: an earlier version of the module, which computes every sum
//! and average anew at each event. It is slow but simple, and the module, which updates them incrementally,
//! is compared with it.
#![allow(dead_code)]

pub mod policy;
pub mod state;
