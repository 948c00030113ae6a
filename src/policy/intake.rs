//! What a router takes in while it ends, and which connection makes room for another.
//!
//! Times count from when the router was told to end. Connections go on arriving for a while then; what is
//! taken late could still be under way when the process is killed, and would be lost.

use crate::api::Nanos;

/// New connections arrive for up to 0.4 s: until then and a little longer they are accepted.
pub const ACCEPTED_FOR: Nanos = 450_000_000;
/// What is read later is refused. The platform counts from 0.7 s, and a router may be held up for 0.15 s
/// between its clock and its next step.
pub const TAKEN_FOR: Nanos = 500_000_000;

/// What a connection without an open request has carried, in the order in which they make room for others.
/// Who opens one to ask does so at once: one that has carried nothing is wanted least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Carried {
    Nothing,
    Requests,
}
