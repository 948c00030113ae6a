//! Messages between the tasks of a router.

use crate::forwarded_request::ForwardedRequest;
use crate::stream_queue::{StreamReceiver, StreamSender};
use gaparch_platform_protocol::client_request::ClientRequest;
use gaparch_router::core::ListUpdate;
use gaparch_scheduler::api::{AttemptNumber, AttemptStatus, Nanos, RequestId, ServerId};
use gaparch_scheduler::policy::repeated_ids;
use std::sync::Arc;
use tokio::sync::{oneshot, OwnedSemaphorePermit};

/// A message to the owner.
#[derive(Debug)]
pub(crate) enum OwnerMessage {
    /// A client sent a request.
    RequestArrived(Box<ArrivedRequest>),
    /// A client disconnected before its response was complete.
    ClientDisconnected(RequestId),
    /// An attempt made progress.
    Attempt(AttemptUpdate),
    /// A health check finished.
    ProbeFinished { server: ServerId, nonce: u64, at: Nanos, status: AttemptStatus },
    /// The full endpoint list or a delta.
    EndpointsChanged(ListUpdate),
    /// The discovery service is unavailable.
    DiscoveryDown,
    /// Send requests by the list that the router held before its start.
    UseLastKnownList,
    /// Asks what is not finished.
    CountOpen(oneshot::Sender<OpenCounts>),
    /// Reject new requests from this time on.
    StopAt(Nanos),
    /// End all requests whose answer has not begun.
    StopUnanswered,
}

/// What the owner has not finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OpenCounts {
    /// Requests whose answer is being streamed.
    pub streams: usize,
    /// All other requests, and releases.
    pub others: usize,
}

impl OpenCounts {
    /// Whether everything is finished.
    pub fn is_empty(self) -> bool {
        self == OpenCounts::default()
    }
}

/// A request that a client connection passes to the owner.
#[derive(Debug)]
pub(crate) struct ArrivedRequest {
    pub id: RequestId,
    pub request: ClientRequest,
    pub forwarded: Arc<ForwardedRequest>,
    /// When the first byte of the request arrived.
    pub arrived_at: Nanos,
    /// Receives the response.
    pub response: oneshot::Sender<ClientResponse>,
    /// The request's slot in the owner's queue; freed when the owner receives the message.
    pub queue_permit: OwnedSemaphorePermit,
}

/// Progress of one attempt at a worker.
#[derive(Debug)]
pub(crate) struct AttemptUpdate {
    pub server: ServerId,
    pub request: RequestId,
    pub attempt: AttemptNumber,
    /// When the event was seen on the socket.
    pub at: Nanos,
    pub event: AttemptEvent,
}

/// An event of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// The first event of the response stream arrived. The owner replies with the channel to the client, or
    /// drops the sender if no client is waiting any more.
    FirstToken(oneshot::Sender<StreamSender>),
    /// The prompt is prefilled.
    Prefilled { cached_prompt_tokens: u32 },
    /// The attempt ended.
    Ended(AttemptEnd),
    /// The reservation made alongside the attempt was answered.
    ReservationAnswered { reserved: bool },
}

impl AttemptEvent {
    /// Whether the event means that the attempt has run, or may have.
    pub fn may_have_run(&self) -> bool {
        match self {
            AttemptEvent::FirstToken(_) => true,
            AttemptEvent::Ended(end) => repeated_ids::may_have_run(end.status),
            AttemptEvent::Prefilled { .. } | AttemptEvent::ReservationAnswered { .. } => false,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptEnd {
    pub status: AttemptStatus,
    /// Whether the worker reported that the KV cache to decode from does not exist.
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
    /// The response is streamed through this channel.
    Stream(StreamReceiver),
    /// The request was rejected and has not run.
    Rejected {
        /// Whether it was rejected because the tenant is over quota.
        over_quota: bool,
        /// Time from now until the client may retry, in nanoseconds; 0 if unspecified.
        retry_after: Nanos,
    },
    /// The request failed and may have run.
    Failed,
}
