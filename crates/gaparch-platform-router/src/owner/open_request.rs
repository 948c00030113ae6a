//! State that the shell keeps for a request for as long as the core knows the request.

use crate::forwarded_request::ForwardedRequest;
use crate::messages::ClientResponse;
use gaparch_scheduler::api::AttemptNumber;
use std::sync::Arc;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

/// A request that the core knows.
pub(super) struct OpenRequest {
    pub forwarded: Arc<ForwardedRequest>,
    /// Receives the response; `None` once it was sent.
    pub response: Option<oneshot::Sender<ClientResponse>>,
    pub last_attempt: Option<RunningAttempt>,
    /// Closes when the last release is finished. Later attempts must not overtake the release.
    pub release_done: Option<oneshot::Receiver<()>>,
}

impl OpenRequest {
    pub fn new(forwarded: Arc<ForwardedRequest>, response: oneshot::Sender<ClientResponse>) -> OpenRequest {
        OpenRequest { forwarded, response: Some(response), last_attempt: None, release_done: None }
    }
}

/// The task of an attempt.
pub(super) struct RunningAttempt {
    pub number: AttemptNumber,
    pub task: JoinHandle<()>,
    /// Becomes `true` when the last byte of the attempt's request is written.
    pub written: watch::Receiver<bool>,
}
