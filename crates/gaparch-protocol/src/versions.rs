//! What routers send one another about endpoint lists, fleet orders and audit records, and what they store of
//! these.
//!
//! The messages travel inside the fleet's datagrams ([`crate::fleet::MessageBody::Payload`]);
//! `docs/protocols/fleet.md` describes them. `gaparch-audit` owns the state behind them.

use crate::list::ListEntry;
use crate::ops::intent::{Change, ChangeNote};
use crate::wire::{choice, record};

/// The number of claims of other routers that one list status passes on at most.
pub const MAX_CLAIMS: usize = 2;

record! {
    /// A version of the endpoint list.
    #[derive(Copy, Eq, PartialOrd, Ord, Default)]
    pub struct ListVersion {
        /// The position of the epoch among those that a router has seen: epochs have no order of their own.
        pub rank: u32,
        /// Which run of the list service counted.
        pub epoch: u64,
        /// The count of the list service, growing by one with each change.
        pub version: u64,
    }
}

impl ListVersion {
    /// Whether both name the same list. Ranks are not compared: a router that started later counts lower.
    pub fn is_same_list(&self, other: &ListVersion) -> bool {
        (self.epoch, self.version) == (other.epoch, other.version)
    }

    /// Whether this version replaces the other: by its count within an epoch, by rank across epochs.
    pub fn is_later_than(&self, other: &ListVersion) -> bool {
        match self.epoch == other.epoch {
            true => self.version > other.version,
            false => (self.rank, self.epoch) > (other.rank, other.epoch),
        }
    }
}

record! {
    /// States that a router has received a version from the list service itself.
    #[derive(Eq)]
    pub struct Claim {
        /// The router that has received it.
        pub router: String,
        /// The version that it has received.
        pub version: ListVersion,
        /// The digest of the list at that version.
        pub digest: u64,
        /// Milliseconds since the service last confirmed the version to that router.
        #[serde(rename = "age")]
        pub age_ms: u32,
    }
}

record! {
    /// Identifies an order of the fleet. The greater id wins; of two orders that knew nothing of each other
    /// the more restrictive one does.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct OrderId {
        /// A logical clock: one more than any number that the issuing router knew of.
        pub number: u64,
        /// Decides between equal numbers: a drain precedes its end, a small limit a large one.
        #[serde(rename = "care")]
        pub restrictiveness: u64,
        /// The router that issued the order.
        pub router: String,
        /// The incarnation of that router, so that a restored state folder does not issue the same id twice.
        pub incarnation: u64,
    }
}

record! {
    /// An operator's order that every router of a site carries out.
    pub struct FleetOrder {
        /// Identifies the order.
        pub id: OrderId,
        /// The order that it replaces, as far as the issuing router knew.
        #[serde(rename = "over")]
        pub replaces: Option<OrderId>,
        /// What the order changes.
        pub change: Change,
        /// Who gave the order, why and when.
        pub note: ChangeNote,
    }
}

record! {
    /// The configuration under which a router sends requests.
    #[derive(Eq, Default)]
    pub struct SendContext {
        /// The endpoint list in use.
        pub list: ListVersion,
        /// Whether the list service itself confirmed that list in time.
        #[serde(rename = "sure")]
        pub confirmed: bool,
        /// The number of the last change by an operator that is in force.
        #[serde(rename = "orders")]
        pub order_revision: u64,
        /// The version of the router's program.
        pub build: String,
    }
}

record! {
    /// Counts of what was sent to one server under one context. Times are nanoseconds since the Unix epoch.
    #[derive(Eq)]
    pub struct SendCounts {
        /// The name of the server.
        pub engine: String,
        /// Prefill attempts.
        #[serde(rename = "reads")]
        pub prefills: u64,
        /// Decode attempts.
        #[serde(rename = "writes")]
        pub decodes: u64,
        /// Health checks.
        pub probes: u64,
        /// When the first of these was sent.
        pub first_at: u64,
        /// When the last of these was sent.
        pub last_at: u64,
    }
}

record! {
    /// One attempt or health check that was sent.
    #[derive(Copy, Eq)]
    pub struct SendRecord {
        /// When it was sent, in nanoseconds since the Unix epoch.
        pub at: u64,
        /// The request's number; 0 for a health check.
        pub request: u64,
        /// The attempt's number within the request.
        pub attempt: u32,
        /// The index of the server among the segment's counts.
        pub engine: u16,
        /// 1 for a prefill, 2 for a decode, 3 for a health check.
        pub kind: u8,
    }
}

record! {
    /// A segment of a router's audit log: the context of a stretch of time, and what was sent in it.
    #[derive(Eq)]
    pub struct AuditSegment {
        /// Grows by one with each segment, over restarts too.
        pub number: u64,
        /// The first eight bytes of the SHA-256 of the segment before, as a big-endian number.
        #[serde(rename = "before")]
        pub previous_hash_high: u64,
        /// The next eight bytes of that hash.
        #[serde(rename = "before_low")]
        pub previous_hash_low: u64,
        /// The random number of the process that wrote it.
        #[serde(rename = "run")]
        pub run_id: u64,
        /// When the segment begins, in nanoseconds since the Unix epoch.
        #[serde(rename = "from")]
        pub from_at: u64,
        /// When the segment ends, in nanoseconds since the Unix epoch.
        #[serde(rename = "to")]
        pub to_at: u64,
        /// Whether it is the first segment of its process.
        #[serde(rename = "begins")]
        pub starts_process: bool,
        /// Whether it is the last segment of a process that shut down gracefully.
        #[serde(rename = "ends")]
        pub ends_process: bool,
        /// The context of all that was sent.
        #[serde(rename = "stamp")]
        pub context: SendContext,
        /// What was sent, by server.
        #[serde(rename = "sends")]
        pub counts: Vec<SendCounts>,
        /// What was sent, one by one.
        #[serde(rename = "singles")]
        pub records: Vec<SendRecord>,
        /// The number of sends that are counted but have no record of their own.
        #[serde(rename = "left_out")]
        pub omitted_records: u64,
    }
}

record! {
    /// Selects rows of audit logs.
    #[derive(Eq, Default)]
    pub struct AuditFilter {
        /// Only what was sent to this server.
        pub engine: Option<String>,
        /// Only what was sent at this time or later, in nanoseconds since the Unix epoch.
        pub since: u64,
        /// Only what was sent at this time or before, in nanoseconds since the Unix epoch.
        pub until: Option<u64>,
        /// Only what was sent under a lower list version than this one.
        #[serde(rename = "below")]
        pub below_version: Option<u64>,
        /// Only segments that sent an attempt of this request.
        pub request: Option<u64>,
    }
}

record! {
    /// What one router sent to one server under one version of the list.
    #[derive(Eq)]
    pub struct AuditRow {
        /// The version of the list.
        pub list: ListVersion,
        /// Whether the list service had confirmed the list in time, for all that was sent.
        #[serde(rename = "sure")]
        pub confirmed: bool,
        /// What was sent.
        #[serde(rename = "sends")]
        pub counts: SendCounts,
    }
}

choice! {
    /// A message of the components that keep lists, orders and audit logs in step.
    pub enum ReplicationMessage {
        /// The list that the sender holds.
        #[serde(rename = "stamp")]
        1 => ListStatus {
            /// The version of that list.
            #[serde(rename = "held")]
            version: ListVersion,
            /// The digest of that list.
            digest: u64,
            /// The number of its entries.
            entries: u32,
            /// Milliseconds since the list service itself confirmed it; `None` if it did not do so in time.
            #[serde(rename = "sure")]
            confirmed_ms_ago: Option<u32>,
            /// Claims of other routers, at most [`MAX_CLAIMS`].
            claims: Vec<Claim>,
        },
        /// Asks for a list.
        #[serde(rename = "want")]
        2 => ListRequest {
            /// The version that is wanted.
            version: ListVersion,
            /// The index of the first entry that is wanted.
            #[serde(rename = "from")]
            first: u32,
        },
        /// A page of a list's entries, in the order of their names.
        #[serde(rename = "page")]
        3 => ListPage {
            /// The version of the list.
            version: ListVersion,
            /// The digest of the whole list.
            digest: u64,
            /// The index of the page's first entry.
            #[serde(rename = "from")]
            first: u32,
            /// The number of entries of the whole list.
            #[serde(rename = "of")]
            total: u32,
            /// The entries.
            entries: Vec<ListEntry>,
        },
        /// Digests of the orders at the sender.
        #[serde(rename = "orders")]
        4 => OrderSummary {
            /// The digest of the orders that it holds.
            #[serde(rename = "held")]
            digest: u64,
            /// The digest of those that are in force and on disk there.
            #[serde(rename = "kept")]
            complete_digest: u64,
            /// Whether it wants the receiver's summary back.
            #[serde(rename = "answer")]
            answer_requested: bool,
        },
        /// One order.
        5 => Order {
            /// The order.
            order: FleetOrder,
        },
        /// Asks for a page of orders.
        #[serde(rename = "want-orders")]
        6 => OrderRequest {
            /// The subject after which the page begins.
            after: String,
        },
        /// Asks for rows of the receiver's audit log.
        #[serde(rename = "audit-ask")]
        7 => AuditRequest {
            /// Identifies the query in its answers.
            nonce: u64,
            /// Selects the rows.
            filter: AuditFilter,
            /// The index of the first row that is wanted.
            #[serde(rename = "from")]
            first: u32,
        },
        /// A page of rows of the sender's audit log.
        #[serde(rename = "audit-rows")]
        8 => AuditPage {
            /// The nonce of the request.
            nonce: u64,
            /// The sender's clock, in nanoseconds since the Unix epoch.
            now: u64,
            /// The number of gaps in its audit log.
            gaps: u32,
            /// The index of the page's first row.
            #[serde(rename = "from")]
            first: u32,
            /// The number of rows that match in all.
            #[serde(rename = "of")]
            total: u32,
            /// The rows.
            rows: Vec<AuditRow>,
        },
    }
}
