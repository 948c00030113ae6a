//! State that the shell keeps for a request for as long as the core knows the request.

use crate::forwarded_request::ForwardedRequest;
use crate::messages::ClientResponse;
use gaparch_platform_protocol::worker::Stage;
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
    /// Whether an attempt may have run that must not run again.
    pub may_have_run: bool,
    is_repeat_harmful: bool,
    /// Closes when the last release is finished. Later attempts must not overtake the release.
    pub release_done: Option<oneshot::Receiver<()>>,
}

impl OpenRequest {
    /// `is_repeat_harmful`: whether the class of the request forbids to run it again.
    pub fn new(
        forwarded: Arc<ForwardedRequest>,
        response: oneshot::Sender<ClientResponse>,
        is_repeat_harmful: bool,
    ) -> OpenRequest {
        OpenRequest {
            forwarded,
            response: Some(response),
            last_attempt: None,
            may_have_run: false,
            is_repeat_harmful,
            release_done: None,
        }
    }

    /// Records that an attempt may have run. A prefill has no effect.
    pub fn record_possible_run(&mut self, number: AttemptNumber) {
        let is_decode = |attempt: &RunningAttempt| attempt.number == number && attempt.stage == Stage::Decode;
        self.may_have_run |= self.is_repeat_harmful && self.last_attempt.as_ref().is_some_and(is_decode);
    }
}

/// The task of an attempt.
pub(super) struct RunningAttempt {
    pub number: AttemptNumber,
    pub stage: Stage,
    pub task: JoinHandle<()>,
    /// Becomes `true` when the last byte of the attempt's request is written.
    pub written: watch::Receiver<bool>,
}
