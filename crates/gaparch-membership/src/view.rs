//! The state of the fleet as one member sees it.

use crate::counters::Counters;
use crate::local_health::Connectivity;
use crate::Nanos;
use gaparch_protocol::fleet::{MemberInfo, MemberState};

/// Another member as this router sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// The member as it last described itself.
    pub info: MemberInfo,
    /// Its state.
    pub state: MemberState,
    /// When it entered that state, by the local clock.
    pub state_since: Nanos,
    /// When its last new heartbeat became known, from any member.
    pub last_alive_at: Nanos,
    /// When this router itself last received a message from it.
    pub last_received_at: Option<Nanos>,
    /// The members that suspect it, or the one that declared it dead.
    pub accused_by: Vec<String>,
    /// The address of another process with the same name.
    pub duplicate_address: Option<String>,
    /// Whether it reports that it receives no messages from other members.
    pub is_isolated: bool,
}

/// A link that failed in one direction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkFailure {
    /// The member whose messages do not arrive.
    pub from: String,
    /// The member that does not receive them, though others do.
    pub to: String,
    /// When this router learned of the failure.
    pub since: Nanos,
}

/// The fleet as one router sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The router that has this view.
    pub local: MemberInfo,
    /// All other members, in the order of their names.
    pub members: Vec<MemberView>,
    /// Links that failed in one direction.
    pub failed_links: Vec<LinkFailure>,
    /// Whether the present routers are a majority of those that must be counted.
    pub has_quorum: bool,
    /// The number of present routers, including this one.
    pub present: u32,
    /// The number of routers that may be running: present ones, and dead ones until their dead hold is over.
    pub counted: u32,
    /// The number of routers by which this one divides the site's limits.
    pub divisor: u32,
    /// Whether this router's messages reach other members, and theirs reach this router.
    pub connectivity: Connectivity,
    /// Whether this router has resumed after a pause or isolation, and suspects no member until a ping is
    /// answered.
    pub is_recovering: bool,
    /// Lifeguard's local health multiplier less one: 0 is healthy, and each increment extends the probe
    /// timeout by one probe interval.
    pub local_health: u32,
    /// The router's counters since its start.
    pub counters: Counters,
}
