//! Response bodies that are a stream of events.

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

/// Events put into one piece of a body.
const MAX_COALESCED_EVENTS: usize = 32;

/// A stream that ends without its last event.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stream broke off")]
pub(super) struct StreamBroken;

/// The response that is a stream of events.
pub(super) fn event_stream(body: EventStreamBody) -> Response<AnyBody> {
    let mut response = Response::new(body.boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("text/event-stream"));
    headers.insert(hyper::header::CACHE_CONTROL, hyper::header::HeaderValue::from_static("no-store"));
    response
}

/// A stream of events, with keep-alives while nothing else comes.
pub(super) struct EventStreamBody {
    pending: PendingResponse,
    dialect: Arc<Dialect>,
    /// The event that is sent before anything from the channel.
    first: Option<ClientEvent>,
    idle: Pin<Box<Sleep>>,
    keep_alive: Duration,
    done: bool,
}

impl EventStreamBody {
    pub(super) fn new(
        pending: PendingResponse,
        dialect: Arc<Dialect>,
        opened: ClientEvent,
        keep_alive: Duration,
    ) -> EventStreamBody {
        let idle = Box::pin(sleep(keep_alive));
        EventStreamBody { pending, dialect, first: Some(opened), idle, keep_alive, done: false }
    }

    fn encode(&mut self, event: ResponseEvent, out: &mut BytesMut) {
        self.done = event.is_last();
        self.pending.is_over = self.done;
        let mut encode = |event: ClientEvent| self.dialect.encode(&event, out);
        match event {
            ResponseEvent::Started { .. } => {}
            ResponseEvent::Text { text } => encode(ClientEvent::TextDelta { text }),
            ResponseEvent::Finished { usage, reason } => {
                encode(ClientEvent::ContentBlockStop);
                encode(ClientEvent::Usage { usage, reason });
                encode(ClientEvent::MessageStop { reason });
            }
            // After the first event the request may have had an effect: a rejection becomes a failure.
            ResponseEvent::Rejected { .. } => encode(failed("the answer broke off")),
            ResponseEvent::Failed { message, .. } => encode(failed(message)),
        }
    }
}

fn failed(why: &str) -> ClientEvent {
    ClientEvent::Failed { kind: ErrorKind::Failed, message: why.to_owned(), retry_harmless: false }
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
        if let Some(opened) = this.first.take() {
            this.dialect.encode(&opened, &mut out);
            this.dialect.encode(&ClientEvent::ContentBlockStart, &mut out);
        }
        for _ in 0..MAX_COALESCED_EVENTS {
            match this.pending.events.poll_recv(cx) {
                Poll::Ready(Some(event)) => this.encode(event, &mut out),
                // The owner released it: this client read too slowly, or the router ended.
                Poll::Ready(None) => {
                    this.pending.is_over = true;
                    return Poll::Ready(Some(Err(StreamBroken)));
                }
                Poll::Pending => break,
            }
            if this.done {
                break;
            }
        }
        if out.is_empty() {
            if this.idle.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            this.dialect.encode(&ClientEvent::KeepAlive, &mut out);
        }
        this.idle.as_mut().reset(Instant::now() + this.keep_alive);
        Poll::Ready(Some(Ok(Frame::data(out.freeze()))))
    }
}
