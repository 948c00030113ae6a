//! What the scheduler tells a router to do.

use super::{AttemptNumber, GiveUpCause, Nanos, RequestId, ServerId, TimerToken};

/// Something that the router is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt of a request to a server.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// How long the attempt may take; 0: until the client's deadline.
        timeout: Nanos,
        /// When the request's last byte has to be written. If that can't be met nothing is sent, and the attempt ends as
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
    /// Rejects a request: a retry by the client is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// The Retry-After for the client; 0: none.
        retry_after: Nanos,
        /// Why.
        cause: GiveUpCause,
    },
    /// Fails a request, which may have had an effect.
    Fail {
        /// The request.
        id: RequestId,
        /// Why.
        cause: GiveUpCause,
    },
    /// Releases all KV caches and reservations of a request.
    ReleaseKv(RequestId),
    /// Reserves a place at a decode server while the prefill is still running.
    ReserveKv {
        /// The request.
        id: RequestId,
        /// The decode server.
        server: ServerId,
    },
    /// Migrates a stream: its client is asked to reconnect elsewhere.
    Migrate(RequestId),
    /// Probes a server.
    Probe(ServerId),
    /// Closes the connections to a server.
    CloseConnections(ServerId),
    /// Sets a timer.
    SetTimer {
        /// Its token, given back when it fires.
        token: TimerToken,
        /// When it fires, from now.
        delay: Nanos,
    },
    /// Sends a gossip message.
    SendGossip {
        /// Index of the router to send it to; `None`: all.
        peer: Option<u32>,
        /// The message.
        data: Vec<u8>,
    },
    /// Starts or stops watching the endpoint list.
    WatchEndpoints(bool),
    /// Fetches the whole endpoint list.
    FetchEndpoints,
    /// Writes a line to the log.
    Log(String),
}
