//! Sends the responses to clients that the core requests.

use super::Owner;
use crate::client::STREAM_QUEUE_LENGTH;
use crate::messages::ClientResponse;
use crate::stream_queue::stream_queue;
use gaparch_protocol::ops::outcome::QueueingReason;
use gaparch_router::core::ResponseEvent;
use gaparch_scheduler::api::RequestId;

impl Owner {
    /// Sends the response to a request to its client.
    pub(super) fn respond(&mut self, id: RequestId, event: ResponseEvent) {
        self.touched.push(id);
        let Some(open) = self.open.get_mut(&id) else { return };
        // The request has its answer with the first event, so no attempt needs its body any more.
        open.forwarded.free_body();
        let txn = open.forwarded.transaction.as_str();
        let response = match event {
            ResponseEvent::Started { .. } => {
                let (parts, stream) =
                    stream_queue(STREAM_QUEUE_LENGTH, self.shared.memory.stream_queue_bytes);
                if let Some(start) = self.stream_start.take_if(|start| start.request == id) {
                    let _ = start.reply.send(parts);
                }
                ClientResponse::Stream(stream)
            }
            ResponseEvent::Rejected { retry_after, waited_for, cause } => {
                tracing::debug!(
                    target: "gaparch_platform_router::wire",
                    request = id.0,
                    txn,
                    ?cause,
                    ?waited_for,
                    "request rejected"
                );
                let over_quota = waited_for == Some(QueueingReason::OverQuota);
                ClientResponse::Rejected { over_quota, retry_after }
            }
            ResponseEvent::Failed { message, cause } => {
                tracing::debug!(
                    target: "gaparch_platform_router::wire",
                    request = id.0,
                    txn,
                    ?cause,
                    detail = message,
                    "request failed"
                );
                ClientResponse::Failed
            }
            // Stream events go directly from the worker exchange to the client connection.
            ResponseEvent::Text { .. } | ResponseEvent::Finished { .. } => return,
        };
        // Once a stream has begun, the end of the stream tells the client its outcome.
        if let Some(client) = open.response.take() {
            let _ = client.send(response);
        }
    }
}
