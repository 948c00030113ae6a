//! The endpoint lists of all routers, as one router reports them to operators.

use crate::Nanos;
use gaparch_protocol::versions::ListVersion;

/// The list that another router uses, as it last reported.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerListStatus {
    /// The name of the router.
    pub router: String,
    /// The version that it uses.
    pub version: ListVersion,
    /// The digest of that list.
    pub digest: u64,
    /// How long before the report the list service confirmed it, in nanoseconds; `None` if it was fetched
    /// from another router, or the service has not confirmed it recently enough.
    pub confirmed_ago: Option<Nanos>,
    /// When the router reported it.
    pub reported_at: Nanos,
}

/// The lists of all routers, as far as one router knows them.
#[derive(Clone, Debug, PartialEq)]
pub struct ListView {
    /// The version in use here.
    pub in_use: ListVersion,
    /// The number of its entries.
    pub entries: u32,
    /// Nanoseconds since the list service confirmed it; `None` if that was too long ago, or never.
    pub confirmed_ago: Option<Nanos>,
    /// The version that the list service is believed to have, by the claims of other routers.
    pub believed: Option<ListVersion>,
    /// Whether more than one router has that version from the service.
    pub is_corroborated: bool,
    /// Since when the believed version is later than the one in use.
    pub behind_since: Option<Nanos>,
    /// The number of lists that were fetched from other routers.
    pub fetched: u64,
    /// The number of lists and claims of other routers that were rejected.
    pub rejected: u64,
    /// The lists of the other routers, in the order of their names.
    pub peers: Vec<PeerListStatus>,
}
