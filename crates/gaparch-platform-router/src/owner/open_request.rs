//! What the shell keeps of a request for as long as the core knows it.

use crate::forwarded_request::ForwardedRequest;
use crate::messages::ClientResponse;
use gaparch_scheduler::api::AttemptNumber;
use std::sync::Arc;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

/// A request that the core knows.
pub(super) struct OpenRequest {
    pub forwarded: Arc<ForwardedRequest>,
    /// Where its response goes, until there is one.
    pub response: Option<oneshot::Sender<ClientResponse>>,
    pub last_attempt: Option<RunningAttempt>,
    /// Closes with its last release: what is sent after that must not overtake it.
    pub releasing: Option<oneshot::Receiver<()>>,
}

impl OpenRequest {
    pub fn new(forwarded: Arc<ForwardedRequest>, response: oneshot::Sender<ClientResponse>) -> OpenRequest {
        OpenRequest { forwarded, response: Some(response), last_attempt: None, releasing: None }
    }
}

/// The task of an attempt.
pub(super) struct RunningAttempt {
    pub number: AttemptNumber,
    pub task: JoinHandle<()>,
    /// Becomes `true` when the last byte of its request is written.
    pub written: watch::Receiver<bool>,
}
