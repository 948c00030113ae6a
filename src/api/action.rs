//! Actions: what the scheduler instructs a router to do.

use super::{AttemptNumber, GiveUpCause, Nanos, RequestId, ServerId, TimerToken};

/// An instruction of the scheduler to the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt of a request to a server.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// Timeout of the attempt; 0: until the client's deadline.
        timeout: Nanos,
        /// Time by which the last byte of the request has to be written. If that is not possible,
        /// nothing is sent and the attempt ends as
        /// [`AttemptStatus::Expired`](super::AttemptStatus::Expired).
        send_by: Nanos,
    },
    /// Cancels an attempt that is in flight.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// Rejects a request: the client may safely retry it.
    Reject {
        /// The request.
        id: RequestId,
        /// Retry-After sent to the client; 0: none.
        retry_after: Nanos,
        /// Why the request was given up.
        cause: GiveUpCause,
    },
    /// Fails a request that may have had an effect.
    Fail {
        /// The request.
        id: RequestId,
        /// Why the request was given up.
        cause: GiveUpCause,
    },
    /// Releases all KV caches and reservations of a request.
    ReleaseKv(RequestId),
    /// Reserves capacity at a decode server while the prefill is still running.
    ReserveKv {
        /// The request.
        id: RequestId,
        /// The decode server.
        server: ServerId,
    },
    /// Migrates a stream: asks its client to reconnect, to be served elsewhere.
    Migrate(RequestId),
    /// Probes a server.
    Probe(ServerId),
    /// Closes the connections to a server.
    CloseConnections(ServerId),
    /// Sets a timer.
    SetTimer {
        /// The token that the event of the timer carries.
        token: TimerToken,
        /// Time from now until the timer fires.
        delay: Nanos,
    },
    /// Sends a gossip message.
    SendGossip {
        /// Index of the receiving router; `None`: all routers.
        peer: Option<u32>,
        /// The encoded message.
        data: Vec<u8>,
    },
    /// Starts or stops watching the endpoint list.
    WatchEndpoints(bool),
    /// Fetches the whole endpoint list.
    FetchEndpoints,
    /// Writes a line to the log.
    Log(String),
}
