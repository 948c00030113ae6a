//! Views of the routers of a site, as one of them sees them.

use crate::fleet::MemberState;
use crate::versions::{FleetOrder, ListVersion, SendCounts};
use crate::wire::record;

record! {
    /// The view of another router. Times are nanoseconds since the Unix epoch.
    pub struct MemberView {
        /// The router's name.
        pub name: String,
        /// The zone in which it is located.
        pub zone: String,
        /// The version of its program.
        pub build: String,
        /// The address of its datagrams.
        pub address: String,
        /// Its incarnation.
        pub incarnation: u64,
        /// Its member state.
        pub state: MemberState,
        /// When it entered that state.
        pub since: u64,
        /// When its last heartbeat became known, from any router.
        #[serde(rename = "alive_at")]
        pub last_alive_at: u64,
        /// When this router last received a message from it.
        #[serde(rename = "heard_at")]
        pub last_received_at: Option<u64>,
        /// The routers that suspect it or declared it dead.
        #[serde(rename = "accused_by")]
        pub suspected_by: Vec<String>,
        /// The address of a duplicate process with the same name.
        #[serde(rename = "twin_at")]
        pub duplicate_at: Option<String>,
        /// Whether it reports that it receives messages from no other router.
        #[serde(rename = "hears_nobody")]
        pub receives_nothing: bool,
    }
}

record! {
    /// A link that fails in one direction: `to` receives nothing from `from`, although others do.
    pub struct LinkFault {
        /// The sending router.
        pub from: String,
        /// The router that receives nothing.
        pub to: String,
        /// When the router that answers learned of the failure, in nanoseconds since the Unix epoch.
        pub since: u64,
    }
}

record! {
    /// The version of the endpoint list that a router last reported.
    pub struct ListVersionRow {
        /// The router's name.
        pub router: String,
        /// The version.
        #[serde(rename = "held")]
        pub version: ListVersion,
        /// A digest of all entries of that list.
        pub digest: u64,
        /// Nanoseconds from the last confirmation by the list service itself to `reported_at`; `None` if the
        /// list came from another router.
        #[serde(rename = "sure")]
        pub confirmed_ago: Option<u64>,
        /// When the router reported it, in nanoseconds since the Unix epoch.
        #[serde(rename = "said_at")]
        pub reported_at: u64,
    }
}

record! {
    /// The sends of one router to one engine under one version of the endpoint list.
    pub struct RouterAuditRow {
        /// The router's name.
        pub router: String,
        /// The version of the list.
        pub list: ListVersion,
        /// Whether the list service itself had confirmed that list in time.
        #[serde(rename = "sure")]
        pub confirmed: bool,
        /// Counts of the sends. Times are by the clock of the router that answered the query.
        pub sends: SendCounts,
    }
}

record! {
    /// Rows of the audit logs of a site's routers.
    pub struct AuditView {
        /// Whether every router that may be alive has answered and none has a gap in its log.
        pub complete: bool,
        /// The routers whose log is unknown or has gaps, with the reason.
        pub unknown: Vec<String>,
        /// The rows.
        pub rows: Vec<RouterAuditRow>,
    }
}

record! {
    /// Whether a router has stored all of the fleet orders that are in force at the router that answers.
    pub struct ReplicationRow {
        /// The router's name.
        pub router: String,
        /// Its member state.
        pub state: MemberState,
        /// Whether all of the orders are in force there and stored on its disk.
        #[serde(rename = "keeps")]
        pub has_all: bool,
        /// When it last reported which orders it has, in nanoseconds since the Unix epoch.
        #[serde(rename = "said_at")]
        pub reported_at: Option<u64>,
    }
}

record! {
    /// An order that was superseded by a concurrent one, which was issued without knowledge of it.
    pub struct SupersededOrder {
        /// The superseded order.
        pub order: FleetOrder,
        /// The order in force.
        pub by: FleetOrder,
    }
}

record! {
    /// Which routers have stored the fleet orders.
    pub struct OrderReplicationView {
        /// Whether every router that may be alive has stored all of them.
        pub complete: bool,
        /// The orders in force.
        pub orders: Vec<FleetOrder>,
        /// Orders that were superseded by concurrent ones.
        #[serde(rename = "overtaken")]
        pub superseded: Vec<SupersededOrder>,
        /// The router that answers, followed by the others. Routers that left gracefully are omitted.
        pub rows: Vec<ReplicationRow>,
    }
}

record! {
    /// The version of the endpoint list at each router.
    pub struct ListVersionsView {
        /// The version at the router that answers.
        #[serde(rename = "held")]
        pub version: ListVersion,
        /// The number of entries in that list.
        pub entries: u32,
        /// Nanoseconds since the list service last confirmed it; `None` if it was not confirmed in time.
        #[serde(rename = "sure")]
        pub confirmed_ago: Option<u64>,
        /// The latest version that other routers have received from the list service itself.
        #[serde(rename = "believed")]
        pub latest_known: Option<ListVersion>,
        /// Whether more than one router reports that version.
        pub corroborated: bool,
        /// Since when other routers have had a later version than the router that answers, in nanoseconds
        /// since the Unix epoch.
        pub behind_since: Option<u64>,
        /// The number of lists fetched from other routers since the start.
        #[serde(rename = "brought_up")]
        pub lists_from_peers: u64,
        /// The number of lists and claims of other routers that were rejected since the start.
        #[serde(rename = "refused")]
        pub rejected_claims: u64,
        /// The other routers.
        pub rows: Vec<ListVersionRow>,
    }
}

record! {
    /// The routers of a site, as one of them sees them.
    pub struct FleetView {
        /// The router that answers.
        pub router: String,
        /// Its incarnation.
        pub incarnation: u64,
        /// Whether it has a quorum: more than half of the counted routers, and of the number of routers in
        /// the settings, are present. A change takes effect after some probe intervals.
        pub majority: bool,
        /// The number of present routers, including itself.
        pub present: u32,
        /// The number of routers that may be running, present or not.
        pub counted: u32,
        /// The number of routers by which it divides the quotas that all of them share.
        pub divisor: u32,
        /// Whether it receives messages from no other router.
        #[serde(rename = "hears_nobody")]
        pub receives_nothing: bool,
        /// Whether it receives messages from others, but none of them answers it.
        #[serde(rename = "unheard")]
        pub is_unanswered: bool,
        /// The number of steps by which it extends its timeouts because of poor local health; 0 for no
        /// extension.
        #[serde(rename = "doubt")]
        pub timeout_extension: u32,
        /// The other routers.
        pub members: Vec<MemberView>,
        /// The links that fail in one direction.
        #[serde(rename = "edges")]
        pub link_faults: Vec<LinkFault>,
        /// The number of datagrams sent since the start.
        pub sent: u64,
        /// The total size of these datagrams in bytes.
        pub sent_bytes: u64,
        /// The number of datagrams received and accepted since the start.
        pub received: u64,
        /// The number of datagrams dropped because of a bad authentication tag.
        pub forged: u64,
        /// The number of datagrams dropped because they could not be parsed.
        pub malformed: u64,
        /// The number of datagrams dropped because of another protocol version.
        pub newer: u64,
        /// The number of datagrams dropped because they had been received before.
        pub replayed: u64,
        /// The number of datagrams dropped because they were addressed to another router.
        pub misdirected: u64,
        /// The number of datagrams not sent because of the limit on bytes per second.
        pub throttled: u64,
    }
}
