//! Events: what a router reports to the scheduler.

use super::{
    AttemptNumber, AttemptOutcome, AttemptStatus, Endpoint, EndpointUpdate, LoadReport, Nanos, Request,
    RequestId, ServerId, TenantId, TimerToken,
};
use std::sync::Arc;

/// An event at the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed.
    EndpointsChanged {
        /// How the update relates to the previous list.
        update: EndpointUpdate,
        /// The servers of the update.
        endpoints: Arc<[Endpoint]>,
    },
    /// A request has arrived.
    RequestArrived(Request),
    /// A timer has fired.
    TimerFired(TimerToken),
    /// Another router has sent a gossip message.
    GossipReceived {
        /// Index of the sending router.
        from: u32,
        /// The encoded message.
        data: Vec<u8>,
    },
    /// An attempt has produced its first token.
    FirstToken {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The server that the attempt was sent to.
        server: ServerId,
        /// Time from the send of the attempt to the first token.
        latency: Nanos,
    },
    /// A server has answered a reservation request.
    ReservationAnswered {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The server that was asked.
        server: ServerId,
        /// Whether the capacity is reserved.
        reserved: bool,
    },
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// A probe has ended.
    ProbeFinished {
        /// The server that was probed.
        server: ServerId,
        /// The result of the probe.
        status: AttemptStatus,
        /// Time from the send of the probe to its end.
        latency: Nanos,
        /// The load report in the answer, if any.
        report: Option<LoadReport>,
    },
    /// The quota of a tenant has changed.
    QuotaChanged {
        /// The tenant.
        tenant: TenantId,
        /// The new quota in requests per second, for all routers together.
        quota_per_second: f64,
    },
    /// The number of active routers, this one included, has changed. Until the first such event the
    /// number in the settings applies.
    RouterCountChanged(u32),
    /// An attempt has ended.
    AttemptFinished(AttemptOutcome),
}
