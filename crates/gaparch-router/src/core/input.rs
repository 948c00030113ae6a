//! Inputs of the router core: everything that it learns from clients, engines, other routers and operators.

use super::{AcceptedRequest, ConnectionNumber, ListUpdate};
use gaparch_protocol::engine::{EngineFacts, EngineFrame};
use gaparch_protocol::ops::intent::AcceptedChange;
use gaparch_scheduler::api::{AttemptStatus, Nanos, RequestId, ServerId};

/// Something that has happened outside the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client has sent a request.
    RequestArrived {
        /// Identifies the request in this run; it must not have been used before.
        id: RequestId,
        /// The request itself.
        request: AcceptedRequest,
    },
    /// The client of a request has disconnected, or reads its response too slowly.
    ClientDisconnected(RequestId),
    /// A requested connection is established, and the engine has sent its facts.
    EngineConnected {
        /// The engine at the other end.
        engine: ServerId,
        /// The connection, as named in [`Output::Connect`](super::Output::Connect).
        conn: ConnectionNumber,
        /// What the engine reports about itself.
        facts: EngineFacts,
    },
    /// A connection was lost, or could not be established.
    EngineDisconnected {
        /// The engine at the other end.
        engine: ServerId,
        /// The connection, as named in [`Output::Connect`](super::Output::Connect).
        conn: ConnectionNumber,
    },
    /// An engine has sent a frame.
    EngineFrame {
        /// The engine that sent it.
        engine: ServerId,
        /// The connection on which it came.
        conn: ConnectionNumber,
        /// The frame.
        frame: EngineFrame,
    },
    /// The list service can be reached.
    ListServiceUp,
    /// The list service can't be reached, or says that it can't answer.
    ListServiceDown,
    /// The list service has sent a list or a change of it.
    ListUpdated(ListUpdate),
    /// A probe has ended without an answer of the engine.
    ProbeFinished {
        /// The engine that was probed.
        engine: ServerId,
        /// The nonce of the probe.
        nonce: u64,
        /// How it ended.
        status: AttemptStatus,
    },
    /// Another router has sent a gossip message.
    GossipReceived {
        /// The index of the sender in the settings.
        from: u32,
        /// The message, as the scheduler of the sender encoded it.
        data: Vec<u8>,
    },
    /// The number of routers that share quotas and limits now, this one included.
    RouterCountChanged(u32),
    /// A change by an operator that was [proposed](super::Core::propose) here, or
    /// [adopted](super::Core::adopt_fleet_order) from another router.
    OperatorChange(AcceptedChange),
    /// New requests are rejected from this time on, in nanoseconds since the Unix epoch.
    StopAt(Nanos),
    /// All requests whose answer has not begun are ended at once. Streams go on.
    StopUnanswered,
    /// All requests that are still open are ended at once.
    StopNow,
}
