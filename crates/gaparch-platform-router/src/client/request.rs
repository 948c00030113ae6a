//! Handling of one client request, from its head to the owner's response.

use super::connection::{AfterResponse, ArrivedHead, Connection, ConnectionEnd, Rejection};
use super::request_body::BodyDeadlines;
use super::response_trace::ResponseTrace;
use crate::close_reason::CloseReason;
use crate::forwarded_request::ForwardedRequest;
use crate::messages::{ArrivedRequest, ClientResponse, OwnerMessage};
use crate::shared_state::{Phase, SharedState};
use gaparch_platform_protocol::body::Framing;
use gaparch_platform_protocol::client_request::{ClientRequest, HEALTH_PATH};
use gaparch_platform_protocol::head::{encode_response, OpenRequestHead, RequestHead};
use gaparch_scheduler::api::{Nanos, RequestId};
use gaparch_scheduler::policy::intake_wait::longest_wait;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, OwnedSemaphorePermit};
use tokio::time::{timeout_at, Instant};

/// Response body for a request that the owner rejected.
pub(super) const REJECTED_TEXT: &str = "not done; a retry is harmless";
/// Response body for a request that failed.
const FAILED_TEXT: &str = "not answered; it may have run";
const NANOS_PER_SECOND: f64 = 1e9;

/// Tracks a request that is open at the owner. If it is dropped before the response is complete, the client
/// counts as disconnected.
pub(super) struct RequestGuard {
    id: RequestId,
    forwarded: Arc<ForwardedRequest>,
    shared: Arc<SharedState>,
    is_complete: bool,
    pub(super) trace: ResponseTrace,
}

impl RequestGuard {
    /// Marks the response as complete, so that the owner is not notified of a disconnect.
    pub fn complete(&mut self) {
        self.is_complete = true;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.is_complete {
            // Attempts check this flag before they are sent, however long the owner's queue is.
            self.forwarded.set_client_disconnected();
            self.forwarded.free_body();
            self.shared.notify_owner(OwnerMessage::ClientDisconnected(self.id));
        }
    }
}

impl Connection {
    /// Serves one request.
    pub(super) async fn serve_request(
        &mut self,
        arrived: ArrivedHead,
    ) -> Result<AfterResponse, ConnectionEnd> {
        let ArrivedHead { head, arrived_at, deadline } = arrived;
        if is_health_check(&head) {
            return self.respond_to_health_check(&head).await;
        }
        let settings = &self.shared.config.settings;
        let request = ClientRequest::from_head(&head, settings).map_err(Rejection::from)?;
        // A pattern would keep the header lines until the request has ended.
        let OpenRequestHead { target, framing, close: client_closes } = head.without_headers();
        let rejected_at = arrived_at + Duration::from_nanos(longest_wait(Some(request.remaining)));
        let deadlines = BodyDeadlines { complete: deadline, memory: deadline.min(rejected_at) };
        let body = self.read_request_body(framing, deadlines).await?;
        let request = request.with_body_length(body.len());
        let request_queue = Arc::clone(&self.shared.request_queue);
        let permit = self.while_connected(timeout_at(rejected_at, request_queue.acquire_owned())).await?;
        let permit = permit.map_err(|_| Rejection::no_memory())?;
        let Ok(queue_permit) = permit else { return Err(ConnectionEnd::CloseRequested) };
        self.shared.register_transaction(&request.transaction).map_err(Rejection::from)?;
        let transaction = request.transaction.clone();
        let forwarded = Arc::new(ForwardedRequest::new(target, transaction, body));
        let (mut open, response) = self.open_request(request, forwarded, arrived_at, queue_permit);
        let response = self.while_connected(response).await?;
        let close = client_closes || self.shared.phase() >= Phase::Draining;
        match response {
            Ok(ClientResponse::Stream(parts)) => self.write_stream(parts, &mut open, close).await,
            Ok(ClientResponse::Rejected { over_quota, retry_after }) => {
                open.complete();
                let status = if over_quota { 429 } else { 503 };
                let headers = retry_after_header(retry_after);
                let response = encode_response(status, &headers, REJECTED_TEXT, close);
                self.write_response(status, &response, &mut open, close).await
            }
            // An error means that the owner has ended, so the outcome of the request is unknown.
            Ok(ClientResponse::Failed) | Err(_) => {
                open.complete();
                let response = encode_response(500, &[], FAILED_TEXT, close);
                self.write_response(500, &response, &mut open, close).await
            }
        }
    }

    /// Writes a response that is not a stream.
    async fn write_response(
        &mut self,
        status: u16,
        response: &[u8],
        open: &mut RequestGuard,
        close: bool,
    ) -> Result<AfterResponse, ConnectionEnd> {
        let after = self.write(response, close).await?;
        open.trace.record_write(status);
        Ok(after)
    }

    async fn respond_to_health_check(&mut self, head: &RequestHead) -> Result<AfterResponse, ConnectionEnd> {
        self.shared.client_statistics.count_health_check();
        let is_ready = self.shared.phase() == Phase::Serving;
        let status = if is_ready { 200 } else { 503 };
        let close = head.close || !is_ready;
        self.write(&encode_response(status, &[], "", close), close).await
    }

    /// Passes a request to the owner.
    fn open_request(
        &mut self,
        request: ClientRequest,
        forwarded: Arc<ForwardedRequest>,
        arrived_at: Instant,
        queue_permit: OwnedSemaphorePermit,
    ) -> (RequestGuard, oneshot::Receiver<ClientResponse>) {
        let id = self.shared.next_request_id();
        let trace = ResponseTrace::new(
            id,
            request.transaction.clone(),
            Arc::clone(&self.shared.client_statistics),
            arrived_at,
            arrived_at + Duration::from_nanos(request.remaining),
        );
        let open = RequestGuard {
            id,
            forwarded: Arc::clone(&forwarded),
            shared: Arc::clone(&self.shared),
            is_complete: false,
            trace,
        };
        self.reason_if_client_closes = CloseReason::ClientDisconnected;
        let arrived_at = self.shared.clock.at(arrived_at.into_std());
        let (response, receiver) = oneshot::channel();
        let arrived = ArrivedRequest { id, request, forwarded, arrived_at, response, queue_permit };
        self.shared.notify_owner(OwnerMessage::RequestArrived(Box::new(arrived)));
        (open, receiver)
    }
}

fn is_health_check(head: &RequestHead) -> bool {
    head.target == HEALTH_PATH && head.method == "GET" && head.framing == Framing::Length(0)
}

/// Returns the `Retry-After` header with the time in seconds, or no header if the time is 0.
fn retry_after_header(retry_after: Nanos) -> Vec<(&'static str, String)> {
    if retry_after == 0 {
        return Vec::new();
    }
    let seconds = retry_after as f64 / NANOS_PER_SECOND;
    vec![("Retry-After", format!("{seconds:.3}"))]
}
