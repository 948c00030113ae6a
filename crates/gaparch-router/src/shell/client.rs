//! The client side: HTTP/1.1, one JSON answer or a stream of events.

use super::ops::RejectionReporter;
use super::owner::NewRequest;
use super::stall::Stall;
use crate::core::{AcceptedRequest, ResponseEvent};
use bytes::{Bytes, BytesMut};
use gaparch_config::Config;
use gaparch_protocol::client::{
    parse_request, Answer, ClientEvent, Dialect, ErrorKind, MessageRequest, Usage,
};
use gaparch_protocol::engine::RouterRun;
use gaparch_protocol::ops::outcome::{GlobalRequestId, QueueingReason};
use gaparch_scheduler::api::{AffinityKey, ClassId, Nanos, RequestId, TenantId};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout, Instant, Sleep};

/// Bytes of a request's head, and of a connection's read buffer.
const HEAD: usize = 8 * 1024;
/// Names an accepted request in every answer to it.
const REQUEST_ID: &str = "x-gaparch-request-id";
/// Events put into one piece of a body.
const COALESCE: usize = 32;

/// What all client connections share.
pub(super) struct Shared {
    pub run: RouterRun,
    pub config: Config,
    pub requests: mpsc::Sender<NewRequest>,
    pub disconnected: mpsc::UnboundedSender<RequestId>,
    pub next_id: AtomicU64,
    pub open_requests: Arc<Semaphore>,
    pub connections: Arc<Semaphore>,
    pub rejections: Option<Arc<RejectionReporter>>,
}

impl Shared {
    /// Refuses a request that the owner never hears of.
    fn reject(&self, id: RequestId, ask: &AcceptedRequest) -> Refusal {
        let retry_after = self.config.module.advertised_retry_after();
        if let Some(rejections) = &self.rejections {
            let names = &self.config.names;
            let class = names.classes.get(ask.class.0).map_or("", String::as_str);
            let tenant = ask.tenant.and_then(|t| names.tenants.get(t.0)).map_or("", String::as_str);
            rejections.report(id, class, tenant, retry_after, ask.fingerprint);
        }
        Refusal::busy(retry_after, "too much is open here; nothing was done")
    }
}

type AnyBody = UnsyncBoxBody<Bytes, BrokenOff>;

/// A stream that ends without its last event.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stream broke off")]
pub(super) struct BrokenOff;

/// Accepts connections until it is aborted.
pub(super) async fn accept(listener: TcpListener, dialect: Arc<Dialect>, shared: Arc<Shared>) {
    // A client that reads nothing for as long as an engine may be silent is gone.
    let silence = shared.config.class_times.iter().map(|t| t.silence).max().unwrap_or(Nanos::MAX);
    let silence = Duration::from_nanos(silence).min(Duration::from_secs(86_400));
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(error) => {
                tracing::warn!(%error, "can't accept");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        // Past the bound a connection is closed at once: there is nothing to answer it with.
        let Ok(permit) = Arc::clone(&shared.connections).try_acquire_owned() else { continue };
        let _ = socket.set_nodelay(true);
        let (dialect, shared) = (Arc::clone(&dialect), Arc::clone(&shared));
        tokio::spawn(async move {
            let head_time = shared.config.limits.head_time.duration();
            let service = service_fn(|request| answer(request, &dialect, &shared));
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(head_time)
                .max_buf_size(HEAD)
                .serve_connection(TokioIo::new(Stall::new(socket, silence)), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "a client's connection ended");
            }
            drop(permit);
        });
    }
}

async fn answer(
    request: Request<Incoming>,
    dialect: &Arc<Dialect>,
    shared: &Arc<Shared>,
) -> Result<Response<AnyBody>, Infallible> {
    let whole = handle(request, dialect, shared).await;
    Ok(whole.unwrap_or_else(|refusal| refusal.response(dialect)))
}

/// An answer that is an error.
struct Refusal {
    status: StatusCode,
    kind: ErrorKind,
    message: String,
    harmless: bool,
    retry_after: Option<Nanos>,
}

impl Refusal {
    fn invalid(status: StatusCode, message: impl Into<String>) -> Refusal {
        Refusal {
            status,
            kind: ErrorKind::Invalid,
            message: message.into(),
            harmless: true,
            retry_after: None,
        }
    }

    /// Not accepted, or refused: either way a retry is harmless.
    fn busy(retry_after: Nanos, message: &str) -> Refusal {
        Refusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: ErrorKind::Rejected,
            message: message.to_owned(),
            harmless: true,
            // Where the settings allow no time to be told, none is.
            retry_after: Some(retry_after).filter(|wait| *wait > 0),
        }
    }

    fn failed(why: &str) -> Refusal {
        let late = why.contains("in time");
        Refusal {
            status: if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY },
            kind: ErrorKind::Failed,
            message: why.to_owned(),
            harmless: false,
            retry_after: None,
        }
    }

    fn response(&self, dialect: &Dialect) -> Response<AnyBody> {
        let body = dialect.encode_error(self.kind, &self.message, self.harmless).freeze();
        let mut response = json(self.status, body);
        if let Some(wait) = self.retry_after {
            // Whole seconds, as HTTP has them; the exact time stands beside it.
            let seconds = wait.div_ceil(1_000_000_000).max(1);
            let headers = response.headers_mut();
            headers.insert(RETRY_AFTER, seconds.into());
            headers.insert("x-gaparch-retry-after-ms", (wait / 1_000_000).into());
        }
        response
    }
}

fn json(status: StatusCode, body: Bytes) -> Response<AnyBody> {
    let body = Full::new(body).map_err(|never: Infallible| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    response
}

async fn handle(
    request: Request<Incoming>,
    dialect: &Arc<Dialect>,
    shared: &Arc<Shared>,
) -> Result<Response<AnyBody>, Refusal> {
    if request.uri().path() != "/v1/messages" {
        return Err(Refusal::invalid(StatusCode::NOT_FOUND, "there is /v1/messages here"));
    }
    if request.method() != Method::POST {
        return Err(Refusal::invalid(StatusCode::METHOD_NOT_ALLOWED, "POST is wanted"));
    }
    let (head, body) = request.into_parts();
    let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    let tenant = tenant(shared, header)?;
    let limits = &shared.config.limits;
    let body = timeout(limits.body_time.duration(), Limited::new(body, limits.body).collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let message = format!("a body has at most {} bytes here", limits.body);
            return Err(Refusal::invalid(StatusCode::PAYLOAD_TOO_LARGE, message));
        }
        Ok(Err(_)) => return Err(Refusal::invalid(StatusCode::BAD_REQUEST, "the body broke off")),
        Err(_) => return Err(Refusal::invalid(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
    };
    let ask = parse_request(dialect, &body, header)
        .map_err(|e| Refusal::invalid(StatusCode::BAD_REQUEST, e.to_string()))?;
    drop(body);
    let class = class(shared, &ask)?;
    let (model, stream) = (ask.model.clone(), ask.stream);
    let mut ticket = submit(shared, accepted(shared, ask, class, tenant))?;
    let id = GlobalRequestId { run: shared.run.0, number: ticket.id.0 }.to_string();
    let mut response = match first(&mut ticket).await {
        Err(refusal) => refusal.response(dialect),
        Ok(usage) if stream => {
            let opened = ClientEvent::MessageStart { id: id.clone(), model, usage };
            events(EventBody::new(ticket, Arc::clone(dialect), opened, limits.keep_alive.duration()))
        }
        Ok(_) => match collect(ticket, id.clone(), model).await {
            Ok(answer) => json(StatusCode::OK, dialect.encode_answer(&answer).freeze()),
            Err(refusal) => refusal.response(dialect),
        },
    };
    if let Ok(id) = id.parse() {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    Ok(response)
}

fn tenant<'h>(
    shared: &Shared,
    header: impl Fn(&str) -> Option<&'h str>,
) -> Result<Option<TenantId>, Refusal> {
    if shared.config.keys.is_empty() {
        return Ok(None);
    }
    let bearer = header(AUTHORIZATION.as_str()).and_then(|value| value.strip_prefix("Bearer "));
    let key = bearer.or_else(|| header("x-api-key")).map(str::trim);
    match key.and_then(|key| shared.config.keys.get(key)) {
        Some(tenant) => Ok(Some(*tenant)),
        None => Err(Refusal {
            kind: ErrorKind::Unauthorized,
            ..Refusal::invalid(StatusCode::UNAUTHORIZED, "a known key is wanted")
        }),
    }
}

fn class(shared: &Shared, ask: &MessageRequest) -> Result<ClassId, Refusal> {
    let names = &shared.config.names;
    match &ask.class {
        Some(name) => names.class(name).ok_or_else(|| {
            Refusal::invalid(StatusCode::BAD_REQUEST, format!("'class' '{name}' is not known here"))
        }),
        None => {
            let only = (names.classes.len() == 1).then_some(ClassId(0));
            shared.config.default_class.or(only).ok_or_else(|| {
                Refusal::invalid(StatusCode::BAD_REQUEST, "'class' is missing, and there is no default")
            })
        }
    }
}

fn accepted(
    shared: &Shared,
    ask: MessageRequest,
    class: ClassId,
    tenant: Option<TenantId>,
) -> AcceptedRequest {
    // Nobody follows a client up where there is no ledger: then the prompt need not be read through.
    let fingerprint = shared.rejections.as_ref().map_or(0, |_| fingerprint(&ask, class, tenant));
    AcceptedRequest {
        class,
        tenant,
        session: ask.session.as_deref().map(AffinityKey::from_text),
        prefix: ask.prefix.as_deref().map(AffinityKey::from_text),
        prompt_tokens: ask.prompt_tokens,
        prefix_tokens: ask.prefix_tokens,
        max_output_tokens: ask.max_tokens,
        expected_output_tokens: ask.answer_hint,
        client_retry: ask.is_retry,
        client_reconnect: false,
        deadline_at: None,
        fingerprint,
        prompt: ask.prompt,
    }
}

/// The same for the same question in the same session of a tenant, after a restart too.
fn fingerprint(ask: &MessageRequest, class: ClassId, tenant: Option<TenantId>) -> u64 {
    let session = ask.session.as_deref().unwrap_or_default();
    let of_whom = format!("{session}/{}/{}", class.0, tenant.map_or(0, |t| t.0 + 1));
    AffinityKey::from_text(&ask.prompt).0 ^ AffinityKey::from_text(&of_whom).0.rotate_left(32)
}

/// A request that the owner has, or will have. Dropped before its last event, its client has left.
struct Ticket {
    id: RequestId,
    events: mpsc::Receiver<ResponseEvent>,
    disconnected: mpsc::UnboundedSender<RequestId>,
    over: bool,
    _open: OwnedSemaphorePermit,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.over {
            // The owner may have ended: then nobody has to know.
            let _ = self.disconnected.send(self.id);
        }
    }
}

fn submit(shared: &Shared, request: AcceptedRequest) -> Result<Ticket, Refusal> {
    let id = RequestId(shared.next_id.fetch_add(1, Ordering::Relaxed));
    let Ok(open) = Arc::clone(&shared.open_requests).try_acquire_owned() else {
        return Err(shared.reject(id, &request));
    };
    let (response, events) = mpsc::channel(shared.config.limits.stream_buffer);
    let sent = shared.requests.try_send(NewRequest { id, request, response });
    if let Err(TrySendError::Full(request) | TrySendError::Closed(request)) = sent {
        return Err(shared.reject(id, &request.request));
    }
    Ok(Ticket { id, events, disconnected: shared.disconnected.clone(), over: false, _open: open })
}

/// Waits until the answer begins, or it is clear that none will.
async fn first(ticket: &mut Ticket) -> Result<Usage, Refusal> {
    let first = ticket.events.recv().await;
    ticket.over = first.as_ref().is_none_or(ResponseEvent::is_last);
    match first {
        Some(ResponseEvent::Started { usage }) => Ok(usage),
        Some(ResponseEvent::Rejected { retry_after, cause, waited_for }) => {
            let over_share = waited_for == Some(QueueingReason::OverQuota);
            let why = waited_for.map_or(cause.name(), QueueingReason::name);
            let message = format!("nothing was done; a retry is harmless ({why})");
            let refusal = Refusal::busy(retry_after, &message);
            // Its own share is what stands in its way: 429; else it is the site.
            let status = if over_share { StatusCode::TOO_MANY_REQUESTS } else { refusal.status };
            Err(Refusal { status, ..refusal })
        }
        Some(ResponseEvent::Failed { message: why, .. }) => Err(Refusal::failed(why)),
        _ => Err(Refusal::failed("the router has ended")),
    }
}

async fn collect(mut ticket: Ticket, id: String, model: String) -> Result<Answer, Refusal> {
    let mut text = String::new();
    loop {
        match ticket.events.recv().await {
            Some(ResponseEvent::Text { text: part }) => text.push_str(&part),
            Some(ResponseEvent::Finished { usage, reason }) => {
                ticket.over = true;
                return Ok(Answer { id, model, text, usage, reason });
            }
            Some(ResponseEvent::Started { .. }) => {}
            Some(ResponseEvent::Failed { message: why, .. }) => {
                ticket.over = true;
                return Err(Refusal::failed(why));
            }
            Some(ResponseEvent::Rejected { .. }) | None => {
                ticket.over = true;
                return Err(Refusal::failed("the answer broke off"));
            }
        }
    }
}

fn events(body: EventBody) -> Response<AnyBody> {
    let mut response = Response::new(body.boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("text/event-stream"));
    headers.insert(hyper::header::CACHE_CONTROL, hyper::header::HeaderValue::from_static("no-store"));
    response
}

/// A stream of events, with keep-alives while nothing else comes.
struct EventBody {
    ticket: Ticket,
    dialect: Arc<Dialect>,
    /// What is to be sent before anything from the channel.
    first: Option<ClientEvent>,
    idle: Pin<Box<Sleep>>,
    keep_alive: Duration,
    done: bool,
}

impl EventBody {
    fn new(ticket: Ticket, dialect: Arc<Dialect>, opened: ClientEvent, keep_alive: Duration) -> EventBody {
        let idle = Box::pin(sleep(keep_alive));
        EventBody { ticket, dialect, first: Some(opened), idle, keep_alive, done: false }
    }

    fn put(&mut self, event: ResponseEvent, out: &mut BytesMut) {
        self.done = event.is_last();
        self.ticket.over = self.done;
        let mut encode = |event: ClientEvent| self.dialect.encode(&event, out);
        match event {
            ResponseEvent::Started { .. } => {}
            ResponseEvent::Text { text } => encode(ClientEvent::TextDelta { text }),
            ResponseEvent::Finished { usage, reason } => {
                encode(ClientEvent::ContentBlockStop);
                encode(ClientEvent::Usage { usage, reason });
                encode(ClientEvent::MessageStop { reason });
            }
            // A refusal after the first event would be a broken promise; it is told as a failure.
            ResponseEvent::Rejected { .. } => encode(failed("the answer broke off")),
            ResponseEvent::Failed { message: why, .. } => encode(failed(why)),
        }
    }
}

fn failed(why: &str) -> ClientEvent {
    ClientEvent::Failed { kind: ErrorKind::Failed, message: why.to_owned(), retry_harmless: false }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let this = self.get_mut();
        if this.done {
            return Poll::Ready(None);
        }
        let mut out = BytesMut::new();
        if let Some(opened) = this.first.take() {
            this.dialect.encode(&opened, &mut out);
            this.dialect.encode(&ClientEvent::ContentBlockStart, &mut out);
        }
        for _ in 0..COALESCE {
            match this.ticket.events.poll_recv(cx) {
                Poll::Ready(Some(event)) => this.put(event, &mut out),
                // The owner let go of it: this client read too slowly, or the router ended.
                Poll::Ready(None) => {
                    this.ticket.over = true;
                    return Poll::Ready(Some(Err(BrokenOff)));
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
