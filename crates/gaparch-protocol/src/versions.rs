//! Messages by which routers replicate endpoint lists, fleet orders and audit records, and the stored form of
//! these.
//!
//! The messages are payloads of the datagrams between routers ([`crate::fleet::MessageBody::Payload`]);
//! `docs/protocols/fleet.md` specifies them. `gaparch-audit` maintains the replicated state.

use crate::list::ListEntry;
use crate::ops::intent::{Change, ChangeNote};
use crate::wire::{choice, record};

/// The maximum number of claims of other routers in a list status.
pub const MAX_CLAIMS: usize = 2;

record! {
    /// A version of the endpoint list.
    #[derive(Copy, Eq, PartialOrd, Ord, Default)]
    pub struct ListVersion {
        /// The position of the epoch among those that a router has seen, since epochs have no inherent order.
        pub rank: u32,
        /// The run of the list service's version counter.
        pub epoch: u64,
        /// The version counter of the list service, which increases by one with each change.
        pub version: u64,
    }
}

impl ListVersion {
    /// Whether both identify the same list. Ranks are not compared: a router that started later assigns lower
    /// ones.
    pub fn is_same_list(&self, other: &ListVersion) -> bool {
        (self.epoch, self.version) == (other.epoch, other.version)
    }

    /// Whether this version replaces the other: versions are compared within an epoch, ranks across epochs.
    pub fn is_later_than(&self, other: &ListVersion) -> bool {
        match self.epoch == other.epoch {
            true => self.version > other.version,
            false => (self.rank, self.epoch) > (other.rank, other.epoch),
        }
    }
}

record! {
    /// The claim that a router has received a version from the list service itself.
    #[derive(Eq)]
    pub struct Claim {
        /// The router that received it.
        pub router: String,
        /// The version that it received.
        pub version: ListVersion,
        /// The digest of the list at that version.
        pub digest: u64,
        /// Milliseconds since the service last confirmed the version to that router.
        #[serde(rename = "age")]
        pub age_ms: u32,
    }
}

record! {
    /// Identifies a fleet order. Of two orders with the same subject, the one with the greater id is in
    /// force. Concurrent orders may have the same number; then it is the more restrictive one.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct OrderId {
        /// A logical clock: one more than the highest number known to the issuing router.
        pub number: u64,
        /// Breaks ties between equal numbers: a drain wins over an undrain, a lower limit over a higher one.
        #[serde(rename = "care")]
        pub restrictiveness: u64,
        /// The router that issued the order.
        pub router: String,
        /// The incarnation of that router, so that no id is issued twice after a state folder has been
        /// restored.
        pub incarnation: u64,
    }
}

record! {
    /// An operator's order that applies to every router of a site.
    pub struct FleetOrder {
        /// Identifies the order.
        pub id: OrderId,
        /// The order that it replaces, as far as known to the issuing router.
        #[serde(rename = "over")]
        pub replaces: Option<OrderId>,
        /// What the order changes.
        pub change: Change,
        /// The operator, the reason and the time.
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
        /// The revision of the last change by an operator that is in force.
        #[serde(rename = "orders")]
        pub order_revision: u64,
        /// The version of the router's program.
        pub build: String,
    }
}

record! {
    /// Counts of the sends to one server under one context. Times are nanoseconds since the Unix epoch.
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
    /// A segment of a router's audit log: the sends of a period of time, and their context.
    #[derive(Eq)]
    pub struct AuditSegment {
        /// Increases by one with each segment, also across restarts.
        pub number: u64,
        /// The first eight bytes of the SHA-256 hash of the previous segment, as a big-endian number.
        #[serde(rename = "before")]
        pub previous_hash_high: u64,
        /// The next eight bytes of that hash, as a big-endian number.
        #[serde(rename = "before_low")]
        pub previous_hash_low: u64,
        /// The run id of the process that wrote it.
        #[serde(rename = "run")]
        pub run_id: u64,
        /// When the segment starts, in nanoseconds since the Unix epoch.
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
        /// The context of all sends.
        #[serde(rename = "stamp")]
        pub context: SendContext,
        /// Counts of the sends, by server.
        #[serde(rename = "sends")]
        pub counts: Vec<SendCounts>,
        /// The individual sends.
        #[serde(rename = "singles")]
        pub records: Vec<SendRecord>,
        /// The number of sends that are counted but have no individual record.
        #[serde(rename = "left_out")]
        pub omitted_records: u64,
    }
}

record! {
    /// Selects rows of audit logs.
    #[derive(Eq, Default)]
    pub struct AuditFilter {
        /// Only sends to this server.
        pub engine: Option<String>,
        /// Only sends at this time or later, in nanoseconds since the Unix epoch.
        pub since: u64,
        /// Only sends at this time or earlier, in nanoseconds since the Unix epoch.
        pub until: Option<u64>,
        /// Only sends under a lower list version than this one.
        #[serde(rename = "below")]
        pub below_version: Option<u64>,
        /// Only segments with an attempt of this request.
        pub request: Option<u64>,
    }
}

record! {
    /// The sends of one router to one server under one version of the endpoint list.
    #[derive(Eq)]
    pub struct AuditRow {
        /// The version of the list.
        pub list: ListVersion,
        /// Whether the list service had confirmed the list in time for all of these sends.
        #[serde(rename = "sure")]
        pub confirmed: bool,
        /// Counts of the sends.
        #[serde(rename = "sends")]
        pub counts: SendCounts,
    }
}

choice! {
    /// A message that replicates endpoint lists or orders, or queries audit logs.
    pub enum ReplicationMessage {
        /// The endpoint list in use at the sender.
        #[serde(rename = "stamp")]
        1 => ListStatus {
            /// The version of that list.
            #[serde(rename = "held")]
            version: ListVersion,
            /// The digest of that list.
            digest: u64,
            /// The number of its entries.
            entries: u32,
            /// Milliseconds since the list service itself confirmed it; `None` if it was not confirmed in
            /// time.
            #[serde(rename = "sure")]
            confirmed_ms_ago: Option<u32>,
            /// Claims of other routers, at most [`MAX_CLAIMS`].
            claims: Vec<Claim>,
        },
        /// Requests an endpoint list.
        #[serde(rename = "want")]
        2 => ListRequest {
            /// The requested version.
            version: ListVersion,
            /// The index of the first requested entry.
            #[serde(rename = "from")]
            first: u32,
        },
        /// A page of the entries of a list, in the order of their names.
        #[serde(rename = "page")]
        3 => ListPage {
            /// The version of the list.
            version: ListVersion,
            /// The digest of the complete list.
            digest: u64,
            /// The index of the page's first entry.
            #[serde(rename = "from")]
            first: u32,
            /// The number of entries in the complete list.
            #[serde(rename = "of")]
            total: u32,
            /// The entries.
            entries: Vec<ListEntry>,
        },
        /// Digests of the sender's orders.
        #[serde(rename = "orders")]
        4 => OrderSummary {
            /// The digest of all orders that the sender has.
            #[serde(rename = "held")]
            digest: u64,
            /// The digest of those that are in force and stored on disk there.
            #[serde(rename = "kept")]
            complete_digest: u64,
            /// Whether the receiver has to reply with its own summary.
            #[serde(rename = "answer")]
            answer_requested: bool,
        },
        /// A single order.
        5 => Order {
            /// The order.
            order: FleetOrder,
        },
        /// Requests a page of orders.
        #[serde(rename = "want-orders")]
        6 => OrderRequest {
            /// The subject after which the page starts.
            after: String,
        },
        /// Requests rows of the receiver's audit log.
        #[serde(rename = "audit-ask")]
        7 => AuditRequest {
            /// Identifies the request in its answers.
            nonce: u64,
            /// Selects the rows.
            filter: AuditFilter,
            /// The index of the first requested row.
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
            /// The total number of matching rows.
            #[serde(rename = "of")]
            total: u32,
            /// The rows.
            rows: Vec<AuditRow>,
        },
    }
}
