//! Submits requests to the owner and receives the responses.

use super::error_response::ErrorResponse;
use super::ClientContext;
use crate::core::{AcceptedRequest, ResponseEvent};
use crate::memory::Reservation;
use crate::shell::owner::NewRequest;
use gaparch_protocol::client::{Answer, Usage};
use gaparch_protocol::ops::outcome::QueueingReason;
use gaparch_scheduler::api::RequestId;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, OwnedSemaphorePermit};

/// The response to a submitted request. Dropping it before the last event tells the owner that the client has
/// disconnected.
pub(super) struct PendingResponse {
    pub(super) id: RequestId,
    pub(super) events: mpsc::Receiver<ResponseEvent>,
    disconnected: mpsc::UnboundedSender<RequestId>,
    /// Whether the last event was received.
    pub(super) is_finished: bool,
    _permit: OwnedSemaphorePermit,
    /// The memory of the prompt, which the core keeps until the request has ended.
    _memory: Option<Reservation>,
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        if !self.is_finished {
            // Fails only if the owner has ended.
            let _ = self.disconnected.send(self.id);
        }
    }
}

/// Submits a request to the owner.
pub(super) fn submit(
    context: &ClientContext,
    request: AcceptedRequest,
    memory: Option<Reservation>,
) -> Result<PendingResponse, ErrorResponse> {
    let id = RequestId(context.next_id.fetch_add(1, Ordering::Relaxed));
    let Ok(permit) = Arc::clone(&context.open_requests).try_acquire_owned() else {
        return Err(context.reject(id, &request));
    };
    let (response, events) = mpsc::channel(context.config.limits.stream_buffer);
    let sent = context.requests.try_send(NewRequest { id, request, response });
    if let Err(TrySendError::Full(request) | TrySendError::Closed(request)) = sent {
        return Err(context.reject(id, &request.request));
    }
    Ok(PendingResponse {
        id,
        events,
        disconnected: context.disconnected.clone(),
        is_finished: false,
        _permit: permit,
        _memory: memory,
    })
}

/// Waits until the response starts, or the request has failed or is rejected.
pub(super) async fn wait_for_start(pending: &mut PendingResponse) -> Result<Usage, ErrorResponse> {
    let first = pending.events.recv().await;
    pending.is_finished = first.as_ref().is_none_or(ResponseEvent::is_last);
    match first {
        Some(ResponseEvent::Started { usage }) => Ok(usage),
        Some(ResponseEvent::Rejected { retry_after, cause, waited_for }) => {
            let reason = waited_for.map_or(cause.name(), QueueingReason::name);
            let message = format!("nothing was done; a retry is harmless ({reason})");
            // Over quota concerns this tenant only; otherwise the whole site is busy.
            Err(match waited_for {
                Some(QueueingReason::OverQuota) => ErrorResponse::over_quota(retry_after, &message),
                _ => ErrorResponse::busy(retry_after, &message),
            })
        }
        Some(ResponseEvent::Failed { message, cause }) => Err(ErrorResponse::failed_for(cause, message)),
        _ => Err(ErrorResponse::failed("the router has ended")),
    }
}

/// Collects the whole response.
pub(super) async fn collect_answer(
    mut pending: PendingResponse,
    id: String,
    model: String,
) -> Result<Answer, ErrorResponse> {
    let mut text = String::new();
    loop {
        match pending.events.recv().await {
            Some(ResponseEvent::Text { text: delta }) => text.push_str(&delta),
            Some(ResponseEvent::Finished { usage, reason }) => {
                pending.is_finished = true;
                return Ok(Answer { id, model, text, usage, reason });
            }
            Some(ResponseEvent::Started { .. }) => {}
            Some(ResponseEvent::Failed { message, cause }) => {
                pending.is_finished = true;
                return Err(ErrorResponse::failed_for(cause, message));
            }
            Some(ResponseEvent::Rejected { .. }) | None => {
                pending.is_finished = true;
                return Err(ErrorResponse::failed("the answer broke off"));
            }
        }
    }
}
