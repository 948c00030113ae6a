//! Streaming response bodies (server-sent events).

use super::pending_response::PendingResponse;
use super::AnyBody;
use crate::core::ResponseEvent;
use bytes::{Bytes, BytesMut};
use gaparch_protocol::client::{ClientEvent, Dialect, ErrorKind};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use hyper::header::CONTENT_TYPE;
use hyper::Response;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// The most events in one body frame.
const MAX_COALESCED_EVENTS: usize = 32;

/// The stream ended without its last event.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stream broke off")]
pub(super) struct StreamBroken;

/// A streaming response with this body.
pub(super) fn event_stream(body: EventStreamBody) -> Response<AnyBody> {
    let mut response = Response::new(body.boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("text/event-stream"));
    headers.insert(hyper::header::CACHE_CONTROL, hyper::header::HeaderValue::from_static("no-store"));
    response
}

/// A body that streams events, and sends keep-alives while there are none.
pub(super) struct EventStreamBody {
    pending: PendingResponse,
    dialect: Arc<Dialect>,
    /// The event that is sent before those of the channel.
    opening_event: Option<ClientEvent>,
    keep_alive_timer: Pin<Box<Sleep>>,
    keep_alive_interval: Duration,
    done: bool,
}

impl EventStreamBody {
    pub(super) fn new(
        pending: PendingResponse,
        dialect: Arc<Dialect>,
        opening_event: ClientEvent,
        keep_alive_interval: Duration,
    ) -> EventStreamBody {
        let keep_alive_timer = Box::pin(sleep(keep_alive_interval));
        EventStreamBody {
            pending,
            dialect,
            opening_event: Some(opening_event),
            keep_alive_timer,
            keep_alive_interval,
            done: false,
        }
    }

    fn encode(&mut self, event: ResponseEvent, out: &mut BytesMut) {
        self.done = event.is_last();
        self.pending.is_finished = self.done;
        let mut encode = |event: ClientEvent| self.dialect.encode(&event, out);
        match event {
            ResponseEvent::Started { .. } => {}
            ResponseEvent::Text { text } => encode(ClientEvent::TextDelta { text }),
            ResponseEvent::Finished { usage, reason } => {
                encode(ClientEvent::ContentBlockStop);
                encode(ClientEvent::Usage { usage, reason });
                encode(ClientEvent::MessageStop { reason });
            }
            // Once the response has started the request may have had an effect, so a rejection becomes a
            // failure.
            ResponseEvent::Rejected { .. } => encode(failed("the answer broke off")),
            ResponseEvent::Failed { message, .. } => encode(failed(message)),
        }
    }
}

fn failed(message: &str) -> ClientEvent {
    ClientEvent::Failed { kind: ErrorKind::Failed, message: message.to_owned(), retry_harmless: false }
}

impl Body for EventStreamBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        let this = self.get_mut();
        if this.done {
            return Poll::Ready(None);
        }
        let mut out = BytesMut::new();
        if let Some(event) = this.opening_event.take() {
            this.dialect.encode(&event, &mut out);
            this.dialect.encode(&ClientEvent::ContentBlockStart, &mut out);
        }
        for _ in 0..MAX_COALESCED_EVENTS {
            match this.pending.events.poll_recv(cx) {
                Poll::Ready(Some(event)) => this.encode(event, &mut out),
                // The owner dropped the sender: the client read too slowly, or the router has ended.
                Poll::Ready(None) => {
                    this.pending.is_finished = true;
                    return Poll::Ready(Some(Err(StreamBroken)));
                }
                Poll::Pending => break,
            }
            if this.done {
                break;
            }
        }
        if out.is_empty() {
            if this.keep_alive_timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            this.dialect.encode(&ClientEvent::KeepAlive, &mut out);
        }
        this.keep_alive_timer.as_mut().reset(Instant::now() + this.keep_alive_interval);
        Poll::Ready(Some(Ok(Frame::data(out.freeze()))))
    }
}
