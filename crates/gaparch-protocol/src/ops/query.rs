//! Queries of operators and the router's answers.

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
        /// The operator's reason, for other operators.
        #[serde(rename = "why")]
        pub reason: String,
        /// Whether to carry it out even if no engine of a role is left.
        pub force: bool,
        /// The revision that the operator has seen. The order is denied if its subject was changed later.
        pub revision: Option<u64>,
    }
}

choice! {
    /// A query of an operator.
    pub enum Query {
        /// Returns a snapshot of the router.
        1 => Snapshot {},
        /// Subscribes to updates, the first of which is a snapshot.
        2 => Subscribe {},
        /// Ends the subscription.
        3 => Unsubscribe {},
        /// Carries out an order. It applies to all routers of the site if these replicate orders.
        4 => Order {
            /// The order.
            order: Order,
        },
        /// Returns the outcomes of requests that were not served, in groups.
        #[serde(rename = "groups")]
        5 => OutcomeGroups {
            /// Selects the outcomes.
            filter: OutcomeFilter,
        },
        /// Returns the same outcomes individually, the latest first.
        #[serde(rename = "endings")]
        6 => Outcomes {
            /// Selects the outcomes.
            filter: OutcomeFilter,
        },
        /// Returns everything that is known about a request.
        #[serde(rename = "story")]
        7 => RequestDetails {
            /// The request's id.
            request: GlobalRequestId,
        },
        /// Returns the open requests, the oldest first.
        #[serde(rename = "live")]
        8 => OpenRequests {
            /// The maximum number to return.
            #[serde(rename = "most")]
            max: u32,
        },
        /// Returns events, the latest last.
        9 => Events {
            /// The engine's name; `None` for all engines and the router.
            engine: Option<String>,
            /// The earliest time, in nanoseconds since the Unix epoch.
            since: u64,
            /// The maximum number to return; earlier events are omitted.
            #[serde(rename = "most")]
            max: u32,
        },
        /// Returns the limits that operators can change.
        10 => Limits {},
        /// Returns the intents in force.
        11 => Intents {},
        /// Returns the other routers of the site, as this one sees them.
        12 => Members {},
        /// Returns the version of the endpoint list at each router.
        #[serde(rename = "versions")]
        13 => ListVersions {},
        /// Carries out an order at this router only, even if orders are replicated to all routers of the
        /// site.
        #[serde(rename = "order-here")]
        14 => LocalOrder {
            /// The order.
            order: Order,
        },
        /// Returns which routers have stored all of the fleet orders that are in force here.
        #[serde(rename = "spread")]
        15 => OrderReplication {},
        /// Returns rows of the audit logs of all routers.
        16 => Audit {
            /// Selects the sends.
            filter: AuditFilter,
        },
    }
}

closed_set! {
    /// The reason why a query was not answered or an order was not carried out.
    pub enum DenyCode {
        /// The session is read-only.
        ReadOnly = 1, "role";
        /// There is no such engine, limit or feature.
        Unknown = 2, "unknown";
        /// No engine of a role would be left; `force` overrides this.
        LastOfRole = 3, "leaves-none";
        /// Another operator has changed the same subject in the meantime.
        Conflict = 4, "changed";
        /// The query is invalid; the message states why.
        Invalid = 5, "invalid";
        /// The order is in force, but could not be stored: it would not survive a restart.
        NotPersisted = 6, "not-kept";
        /// Too many orders are waiting to be stored; nothing was changed.
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
        /// To [`Query::Order`] and [`Query::LocalOrder`]: the order was carried out and stored.
        4 => Done {
            /// The revision of the change.
            revision: u64,
            /// The human-readable effect on the requests in flight.
            effect: String,
        },
        /// The query was not answered, or the order was not carried out.
        5 => Denied {
            /// The reason.
            code: DenyCode,
            /// The human-readable reason, with a suggestion.
            message: String,
        },
        /// To [`Query::OutcomeGroups`].
        #[serde(rename = "groups")]
        6 => OutcomeGroups {
            /// The groups, the largest first.
            groups: Vec<OutcomeGroup>,
            /// The total number of outcomes.
            total: u64,
        },
        /// To [`Query::Outcomes`].
        #[serde(rename = "endings")]
        7 => Outcomes {
            /// The outcomes, the latest first.
            #[serde(rename = "endings")]
            outcomes: Vec<RequestOutcome>,
            /// The total number.
            total: u64,
        },
        /// To [`Query::RequestDetails`].
        #[serde(rename = "story")]
        8 => RequestDetails {
            /// The outcome, if the request has ended.
            #[serde(rename = "ending")]
            outcome: Option<Box<RequestOutcome>>,
            /// The state of the request, if it is open.
            #[serde(rename = "live")]
            open: Option<Box<RequestView>>,
        },
        /// To [`Query::OpenRequests`].
        #[serde(rename = "live")]
        9 => OpenRequests {
            /// The requests, the oldest first.
            #[serde(rename = "live")]
            requests: Vec<RequestView>,
            /// The total number.
            total: u64,
        },
        /// To [`Query::Events`].
        10 => Events {
            /// The events, the latest last.
            events: Vec<Event>,
        },
        /// To [`Query::Limits`].
        11 => Limits {
            /// All limits.
            limits: Vec<LimitView>,
        },
        /// To [`Query::Intents`].
        12 => Intents {
            /// The intents, the latest last.
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
            /// The orders, and the routers that have stored them.
            #[serde(rename = "spread")]
            replication: Box<OrderReplicationView>,
        },
        /// To [`Query::Audit`].
        16 => Audit {
            /// The rows of the audit logs.
            audit: Box<AuditView>,
        },
    }
}
