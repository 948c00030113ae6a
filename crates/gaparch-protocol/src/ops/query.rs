//! What operators ask of a router, and its answers.

use super::intent::{Change, Intent, LimitView};
use super::outcome::{GlobalRequestId, OutcomeFilter, OutcomeGroup, RequestOutcome};
use super::view::{
    AuditView, Event, FleetView, ListVersionsView, OrderReplicationView, RequestView, Snapshot,
};
use crate::versions::AuditFilter;
use crate::wire::{choice, closed_set, record};

record! {
    /// A change, as an operator orders it.
    pub struct Order {
        /// The change.
        pub change: Change,
        /// The operator's reason, for colleagues who read it later.
        #[serde(rename = "why")]
        pub reason: String,
        /// Whether to do it even if no engine of a role is left.
        pub force: bool,
        /// The revision that the operator has seen. The order is denied if the same thing was changed since.
        pub revision: Option<u64>,
    }
}

choice! {
    /// A query of an operator.
    pub enum Query {
        /// All that the router shows of itself.
        1 => Snapshot {},
        /// A snapshot now, and updates from now on.
        2 => Subscribe {},
        /// No more updates.
        3 => Unsubscribe {},
        /// Carry out an order; it is for all routers of the site where these share orders.
        4 => Order {
            /// The order.
            order: Order,
        },
        /// The outcomes of requests that were not served, in groups.
        #[serde(rename = "groups")]
        5 => OutcomeGroups {
            /// Which outcomes are wanted.
            filter: OutcomeFilter,
        },
        /// The same one by one, the latest first.
        #[serde(rename = "endings")]
        6 => Outcomes {
            /// Which outcomes are wanted.
            filter: OutcomeFilter,
        },
        /// All that is known of one request.
        #[serde(rename = "story")]
        7 => RequestDetails {
            /// The request's id.
            request: GlobalRequestId,
        },
        /// The requests that are open now, the oldest first.
        #[serde(rename = "live")]
        8 => OpenRequests {
            /// The most to return.
            #[serde(rename = "most")]
            max: u32,
        },
        /// Events of one engine or of all, the latest last.
        9 => Events {
            /// The engine's name; `None`: all engines and the router.
            engine: Option<String>,
            /// The earliest time, in nanoseconds since the Unix epoch.
            since: u64,
            /// The most to return: the latest ones.
            #[serde(rename = "most")]
            max: u32,
        },
        /// The limits that operators can change.
        10 => Limits {},
        /// What is in force by operators' orders.
        11 => Intents {},
        /// The other routers of the site, as this one sees them.
        12 => Members {},
        /// Which router holds which version of the endpoint list.
        #[serde(rename = "versions")]
        13 => ListVersions {},
        /// Carry out an order at this router alone, where others would be for all routers of the site.
        #[serde(rename = "order-here")]
        14 => LocalOrder {
            /// The order.
            order: Order,
        },
        /// Which routers have stored all of the site's orders that are in force here.
        #[serde(rename = "spread")]
        15 => OrderReplication {},
        /// What the audit logs of all routers say.
        16 => Audit {
            /// Which sends are wanted.
            filter: AuditFilter,
        },
    }
}

closed_set! {
    /// Why a query was not answered, or an order not carried out.
    pub enum DenyCode {
        /// The session may read only.
        ReadOnly = 1, "role";
        /// There is no such engine, limit or feature.
        Unknown = 2, "unknown";
        /// No engine of a role would be left; `force` does it all the same.
        LastOfRole = 3, "leaves-none";
        /// Another operator has changed the same thing meanwhile.
        Conflict = 4, "changed";
        /// The query makes no sense; the message says why.
        Invalid = 5, "invalid";
        /// The order is in force, but could not be stored: a restart would forget it.
        NotPersisted = 6, "not-kept";
        /// Too many orders wait for the disk; nothing was changed.
        Busy = 7, "busy";
    }
}

choice! {
    /// The answer to a query.
    pub enum Answer {
        /// To [`Query::Snapshot`].
        1 => Snapshot {
            /// The snapshot.
            snapshot: Box<Snapshot>,
        },
        /// To [`Query::Subscribe`]; the snapshot follows as an update.
        2 => Subscribed {},
        /// To [`Query::Unsubscribe`].
        3 => Unsubscribed {},
        /// To [`Query::Order`] and [`Query::LocalOrder`]: it is carried out and stored.
        4 => Done {
            /// The revision of the change.
            revision: u64,
            /// What it does to the requests in flight, for people.
            effect: String,
        },
        /// The query is not answered, or the order not carried out.
        5 => Denied {
            /// Why not.
            code: DenyCode,
            /// The same for people, with what would help.
            message: String,
        },
        /// To [`Query::OutcomeGroups`].
        #[serde(rename = "groups")]
        6 => OutcomeGroups {
            /// The largest groups first.
            groups: Vec<OutcomeGroup>,
            /// How many outcomes there are in all.
            total: u64,
        },
        /// To [`Query::Outcomes`].
        #[serde(rename = "endings")]
        7 => Outcomes {
            /// The latest outcomes first.
            #[serde(rename = "endings")]
            outcomes: Vec<RequestOutcome>,
            /// How many there are in all.
            total: u64,
        },
        /// To [`Query::RequestDetails`].
        #[serde(rename = "story")]
        8 => RequestDetails {
            /// How the request ended, if it has.
            #[serde(rename = "ending")]
            outcome: Option<Box<RequestOutcome>>,
            /// Where it is now, if it is open.
            #[serde(rename = "live")]
            open: Option<Box<RequestView>>,
        },
        /// To [`Query::OpenRequests`].
        #[serde(rename = "live")]
        9 => OpenRequests {
            /// The oldest first.
            #[serde(rename = "live")]
            requests: Vec<RequestView>,
            /// How many there are in all.
            total: u64,
        },
        /// To [`Query::Events`].
        10 => Events {
            /// The latest last.
            events: Vec<Event>,
        },
        /// To [`Query::Limits`].
        11 => Limits {
            /// All limits.
            limits: Vec<LimitView>,
        },
        /// To [`Query::Intents`].
        12 => Intents {
            /// The latest last.
            intents: Vec<Intent>,
        },
        /// To [`Query::Members`].
        13 => Members {
            /// The routers of the site.
            fleet: Box<FleetView>,
        },
        /// To [`Query::ListVersions`].
        #[serde(rename = "versions")]
        14 => ListVersions {
            /// The versions.
            versions: Box<ListVersionsView>,
        },
        /// To [`Query::OrderReplication`].
        #[serde(rename = "spread")]
        15 => OrderReplication {
            /// The orders and the routers that have them.
            #[serde(rename = "spread")]
            replication: Box<OrderReplicationView>,
        },
        /// To [`Query::Audit`].
        16 => Audit {
            /// What the audit logs say.
            audit: Box<AuditView>,
        },
    }
}
