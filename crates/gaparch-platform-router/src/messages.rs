//! Messages between the tasks of a router.

use crate::forwarded_request::ForwardedRequest;
use bytes::Bytes;
use gaparch_platform_protocol::client_request::ClientRequest;
use gaparch_router::core::ListUpdate;
use gaparch_scheduler::api::{AttemptNumber, AttemptStatus, Nanos, RequestId, ServerId};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit};

/// A message to the owner.
#[derive(Debug)]
pub(crate) enum OwnerMessage {
    /// A client has sent a request.
    RequestArrived(Box<ArrivedRequest>),
    /// A client has disconnected before its response was complete.
    ClientDisconnected(RequestId),
    /// An attempt has made progress.
    Attempt(AttemptUpdate),
    /// A health check has finished.
    ProbeFinished { server: ServerId, nonce: u64, at: Nanos, status: AttemptStatus },
    /// The endpoint list, or a change of it.
    EndpointsChanged(ListUpdate),
    /// The discovery service does not answer.
    DiscoveryDown,
    /// A question for the number of requests and releases that are not finished.
    CountOpen(oneshot::Sender<usize>),
    /// Requests are rejected from that time on.
    StopAt(Nanos),
    /// Requests that still run are ended.
    StopNow,
}

/// A request that has just arrived.
#[derive(Debug)]
pub(crate) struct ArrivedRequest {
    pub id: RequestId,
    pub request: ClientRequest,
    pub forwarded: Arc<ForwardedRequest>,
    /// When its first byte arrived.
    pub arrived_at: Nanos,
    /// Where its response goes.
    pub response: oneshot::Sender<ClientResponse>,
    /// Its place in the queue of the owner, free again once the message is taken.
    pub queue_permit: OwnedSemaphorePermit,
}

/// Progress of one attempt at a worker.
#[derive(Debug)]
pub(crate) struct AttemptUpdate {
    pub server: ServerId,
    pub request: RequestId,
    pub attempt: AttemptNumber,
    /// When it was seen on the socket.
    pub at: Nanos,
    pub event: AttemptEvent,
}

/// What has happened to an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// The first event of its stream has come. The owner sends back where the stream goes, or drops the sender where no
    /// client waits for it any more.
    FirstToken(oneshot::Sender<mpsc::Sender<StreamPart>>),
    /// Its prompt is prefilled.
    Prefilled { cached_prompt_tokens: u32 },
    /// It has ended.
    Ended(AttemptEnd),
    /// The reservation beside it has been answered.
    ReservationAnswered { reserved: bool },
}

/// How an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptEnd {
    pub status: AttemptStatus,
    /// Whether the worker said that the KV cache that it was to decode from is not there.
    pub kv_cache_missing: bool,
}

impl From<AttemptStatus> for AttemptEnd {
    fn from(status: AttemptStatus) -> AttemptEnd {
        AttemptEnd { status, kv_cache_missing: false }
    }
}

/// The response to a client's request.
#[derive(Debug)]
pub(crate) enum ClientResponse {
    /// Events follow.
    Stream(mpsc::Receiver<StreamPart>),
    /// The request was rejected, and has not run.
    Rejected {
        /// Whether the tenant's own quota stands in its way.
        over_quota: bool,
        /// When the client may retry, in nanoseconds from now; 0 where that is not stated.
        retry_after: Nanos,
    },
    /// The request has failed, and may have run.
    Failed,
}

/// A part of the stream from a worker to a client.
#[derive(Debug)]
pub(crate) enum StreamPart {
    /// A run of complete events.
    Events(Bytes),
    /// The stream is complete.
    End,
}
