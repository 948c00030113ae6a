//! The state of the fleet as one member shows it.

use crate::counters::Counters;
use crate::local_health::Connectivity;
use crate::Nanos;
use gaparch_protocol::fleet::{MemberInfo, MemberState};

/// Another member, as this router sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// The member as it last described itself.
    pub info: MemberInfo,
    /// Its state.
    pub state: MemberState,
    /// When it entered that state, by the clock here.
    pub state_since: Nanos,
    /// When its last new heartbeat became known, from any member.
    pub last_alive_at: Nanos,
    /// When this router itself last received a message of it.
    pub last_received_at: Option<Nanos>,
    /// Who suspects it, or has declared it dead.
    pub accused_by: Vec<String>,
    /// The address of another process under the same name.
    pub duplicate_address: Option<String>,
    /// Whether it reports that it receives messages from no other member.
    pub is_isolated: bool,
}

/// A link that fails in one direction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkFailure {
    /// The member whose messages do not arrive.
    pub from: String,
    /// The member that does not receive them, though others do.
    pub to: String,
    /// Since when that is known here.
    pub since: Nanos,
}

/// The fleet as one router sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The router that shows this view.
    pub local: MemberInfo,
    /// All other members, in the order of their names.
    pub members: Vec<MemberView>,
    /// Links that fail in one direction.
    pub failed_links: Vec<LinkFailure>,
    /// Whether the present routers are a majority of those that must be counted.
    pub has_quorum: bool,
    /// The number of routers that are present in this view, this one among them.
    pub present: u32,
    /// The number of routers that may be running: present ones, and dead ones for some time.
    pub counted: u32,
    /// The number of routers by which this one divides the site's limits.
    pub divisor: u32,
    /// How far this router's messages get out, and those of others come in.
    pub connectivity: Connectivity,
    /// Whether this router has resumed after a pause or isolation, and suspects nobody until a ping is
    /// answered.
    pub is_recovering: bool,
    /// Lifeguard's local health multiplier less one: 0 is healthy, and each step makes the router more
    /// patient.
    pub local_health: u32,
    /// What the router has counted since its start.
    pub counters: Counters,
}
