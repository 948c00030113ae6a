//! What a router reports to the scheduler.

use super::{
    AttemptNumber, AttemptOutcome, AttemptStatus, Endpoint, EndpointUpdate, LoadReport, Nanos, Request,
    RequestId, ServerId, TenantId, TimerToken,
};
use std::sync::Arc;

/// Something that has happened at the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed.
    EndpointsChanged {
        /// How it relates to the list before.
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
        /// Index of the router that sent it.
        from: u32,
        /// The message.
        data: Vec<u8>,
    },
    /// An attempt has produced its first token.
    FirstToken {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The server that it was sent to.
        server: ServerId,
        /// Time from its send to the first token.
        latency: Nanos,
    },
    /// A server has answered a reservation.
    ReservationAnswered {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The server that was asked.
        server: ServerId,
        /// Whether the place is reserved.
        reserved: bool,
    },
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// A probe has ended.
    ProbeFinished {
        /// The server that was probed.
        server: ServerId,
        /// How it ended.
        status: AttemptStatus,
        /// Time from its send to its end.
        latency: Nanos,
        /// The server's load, if it came with the answer.
        report: Option<LoadReport>,
    },
    /// A tenant's quota is another from now on.
    QuotaChanged {
        /// The tenant.
        tenant: TenantId,
        /// Requests per second within the quota, all routers together.
        quota_per_second: f64,
    },
    /// The number of routers at work is another from now on, this one included. Without this event the number of the
    /// settings holds.
    RouterCountChanged(u32),
    /// An attempt has ended.
    AttemptFinished(AttemptOutcome),
}
