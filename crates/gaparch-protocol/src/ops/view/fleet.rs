//! The routers of a site as one of them sees them.

use crate::fleet::MemberState;
use crate::versions::{FleetOrder, ListVersion, SendCounts};
use crate::wire::record;

record! {
    /// One router, as another sees it. Times are nanoseconds since the Unix epoch.
    pub struct MemberView {
        /// The router's name.
        pub name: String,
        /// The zone in which it stands.
        pub zone: String,
        /// Its version of the program.
        pub build: String,
        /// Where its datagrams come from.
        pub address: String,
        /// Its incarnation.
        pub incarnation: u64,
        /// Its member state.
        pub state: MemberState,
        /// When it entered that state.
        pub since: u64,
        /// The last sign of life that any router had of it.
        #[serde(rename = "alive_at")]
        pub last_alive_at: u64,
        /// The last sign of life that this router had of it.
        #[serde(rename = "heard_at")]
        pub last_received_at: Option<u64>,
        /// The routers that suspect it or have declared it dead.
        #[serde(rename = "accused_by")]
        pub suspected_by: Vec<String>,
        /// The address of another process under the same name.
        #[serde(rename = "twin_at")]
        pub duplicate_at: Option<String>,
        /// It says that it receives from no other router.
        #[serde(rename = "hears_nobody")]
        pub receives_nothing: bool,
    }
}

record! {
    /// A link that fails in one direction: `to` receives nothing from `from`, though others do.
    pub struct LinkFault {
        /// The router that sends.
        pub from: String,
        /// The router that doesn't receive.
        pub to: String,
        /// Since when, in nanoseconds since the Unix epoch.
        pub since: u64,
    }
}

record! {
    /// The version of the endpoint list that one router last said it has.
    pub struct ListVersionRow {
        /// The router's name.
        pub router: String,
        /// The version.
        #[serde(rename = "held")]
        pub version: ListVersion,
        /// A digest of all entries of that list.
        pub digest: u64,
        /// How long ago the list service itself confirmed it, in nanoseconds before `reported_at`; `None`: the list
        /// came from another router.
        #[serde(rename = "sure")]
        pub confirmed_ago: Option<u64>,
        /// When the router said so, in nanoseconds since the Unix epoch.
        #[serde(rename = "said_at")]
        pub reported_at: u64,
    }
}

record! {
    /// What one router sent to one engine under one version of the endpoint list.
    pub struct RouterAuditRow {
        /// The router's name.
        pub router: String,
        /// The version of the list.
        pub list: ListVersion,
        /// Whether the list service itself had confirmed that list in time.
        #[serde(rename = "sure")]
        pub confirmed: bool,
        /// What was sent. Times are by the clock of the router that answered the query.
        pub sends: SendCounts,
    }
}

record! {
    /// What the audit logs of a site's routers say.
    pub struct AuditView {
        /// Every router that may be alive has answered, and none has a gap in its log.
        pub complete: bool,
        /// The routers whose log is not known, with the reason.
        pub unknown: Vec<String>,
        /// What was sent.
        pub rows: Vec<RouterAuditRow>,
    }
}

record! {
    /// Whether one router has stored all of the site's orders that are in force at the router that answers.
    pub struct ReplicationRow {
        /// The router's name.
        pub router: String,
        /// Its member state.
        pub state: MemberState,
        /// All of the orders are in force there and on its disk.
        #[serde(rename = "keeps")]
        pub has_all: bool,
        /// When it last said what it has, in nanoseconds since the Unix epoch.
        #[serde(rename = "said_at")]
        pub reported_at: Option<u64>,
    }
}

record! {
    /// An order that gave way to a concurrent one: neither operator knew of the other's order.
    pub struct SupersededOrder {
        /// The order that is not in force.
        pub order: FleetOrder,
        /// The order that is.
        pub by: FleetOrder,
    }
}

record! {
    /// Which routers have stored the site's orders.
    pub struct OrderReplicationView {
        /// Every router that may be alive has stored all of them.
        pub complete: bool,
        /// The orders in force.
        pub orders: Vec<FleetOrder>,
        /// Orders that gave way to concurrent ones.
        #[serde(rename = "overtaken")]
        pub superseded: Vec<SupersededOrder>,
        /// The router that answers first, then the others; those that left gracefully are left out.
        pub rows: Vec<ReplicationRow>,
    }
}

record! {
    /// Which router has which version of the endpoint list.
    pub struct ListVersionsView {
        /// The version at the router that answers.
        #[serde(rename = "held")]
        pub version: ListVersion,
        /// How many entries that list has.
        pub entries: u32,
        /// Nanoseconds since the list service last confirmed it, if it did in time.
        #[serde(rename = "sure")]
        pub confirmed_ago: Option<u64>,
        /// The latest version that others have from the list service itself.
        #[serde(rename = "believed")]
        pub latest_known: Option<ListVersion>,
        /// Whether more than one router says so.
        pub corroborated: bool,
        /// Since when others have a later version than the router that answers, in nanoseconds since the Unix epoch.
        pub behind_since: Option<u64>,
        /// Lists taken over from other routers since the start.
        #[serde(rename = "brought_up")]
        pub lists_from_peers: u64,
        /// Claims of other routers that were not believed since the start.
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
        /// Whether more than half of the routers that it counts are present.
        pub majority: bool,
        /// Routers that are present, itself among them.
        pub present: u32,
        /// Routers that it counts, present or not.
        pub counted: u32,
        /// By how many routers it divides quotas that all of them share.
        pub divisor: u32,
        /// It receives from no other router.
        #[serde(rename = "hears_nobody")]
        pub receives_nothing: bool,
        /// It receives from others, but none answers it.
        #[serde(rename = "unheard")]
        pub is_unanswered: bool,
        /// By how much its timeouts are lengthened since it doubts its own reachability; 0: not at all.
        #[serde(rename = "doubt")]
        pub timeout_extension: u32,
        /// The other routers.
        pub members: Vec<MemberView>,
        /// Links that fail in one direction.
        #[serde(rename = "edges")]
        pub link_faults: Vec<LinkFault>,
        /// Datagrams sent since the start.
        pub sent: u64,
        /// Their bytes.
        pub sent_bytes: u64,
        /// Datagrams received and accepted since the start.
        pub received: u64,
        /// Datagrams dropped since their authentication code was wrong.
        pub forged: u64,
        /// Datagrams dropped since they could not be parsed.
        pub malformed: u64,
        /// Datagrams dropped since they were of a newer version.
        pub newer: u64,
        /// Datagrams dropped since they had been received before.
        pub replayed: u64,
        /// Datagrams dropped since they were for another router.
        pub misdirected: u64,
        /// Datagrams not sent, to keep the bytes sent a second within their bound.
        pub throttled: u64,
    }
}
