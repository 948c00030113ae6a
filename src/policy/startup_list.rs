//! What a router does from its start until its discovery service has sent the endpoint list.
//!
//! Where lists are pushed, what the discovery agent on the router's machine has counts as told from the first
//! moment of the process, whether or not the agent answers. The list that the router held before its start
//! may name workers as ready that the agent knows to drain, so nothing may be sent by it while the agent
//! might have a newer one. Where lists are asked for, a change is told by an answer.

use crate::api::Nanos;

/// A process reports that it is ready after this time even if no list has arrived, and rejects what it can't
/// serve. The platform wants this within 10 s of the start. Until then clients use other routers.
pub const READY_WITHOUT_LIST_AFTER: Nanos = 9_000_000_000;

/// Why the endpoint list is not available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// Nothing listens at the address: there is no agent that could have a list.
    NotListening,
    /// The agent does not answer, or not with a list.
    NoList,
}

/// Whether requests may be sent by the list that the router held before its start.
pub fn may_use_last_known_list(polls_endpoints: bool, fault: DiscoveryFault) -> bool {
    polls_endpoints || fault == DiscoveryFault::NotListening
}
