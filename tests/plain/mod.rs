//! The decision module as it was when it computed every sum and average anew at each event: slow and plain. It is
//! kept as the reference for the one that updates them step by step.
#![allow(dead_code)]

pub mod policy;
pub mod state;
