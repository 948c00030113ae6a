//! The client-facing HTTP/1.1 server. A response is one JSON body or a stream of events.

mod admission;
mod error_response;
mod event_stream;
mod pending_response;
mod request_body;

use super::client_socket::ClientSocket;
use super::ops::RejectionReporter;
use super::owner::NewRequest;
use crate::core::AcceptedRequest;
use crate::memory::MemoryPool;
use admission::{accepted_request, class, tenant};
use bytes::Bytes;
use error_response::{json, ErrorResponse};
use event_stream::{event_stream, EventStreamBody, StreamBroken};
use gaparch_config::Config;
use gaparch_protocol::client::{parse_request, ClientEvent, Dialect};
use gaparch_protocol::engine::RouterRun;
use gaparch_protocol::ops::outcome::GlobalRequestId;
use gaparch_scheduler::api::{Nanos, RequestId};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use pending_response::{collect_answer, submit, wait_for_start};
use request_body::{read_body, RequestBody};
use std::convert::Infallible;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Semaphore};
use tokio::time::sleep;

/// Maximum size of a request's head and of a connection's read buffer.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The header with the id of an accepted request, in every response to it.
const REQUEST_ID_HEADER: &str = "x-gaparch-request-id";
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Upper limit of the write timeout of a client's socket.
const MAX_WRITE_TIMEOUT: Duration = Duration::from_secs(86_400);

type AnyBody = UnsyncBoxBody<Bytes, StreamBroken>;

/// State shared by all client connections.
pub(super) struct ClientContext {
    pub run: RouterRun,
    pub config: Config,
    pub requests: mpsc::Sender<NewRequest>,
    /// Notifies the owner of clients that have disconnected.
    pub disconnected: mpsc::UnboundedSender<RequestId>,
    /// The number of the next request.
    pub next_id: AtomicU64,
    /// Limits the number of open requests.
    pub open_requests: Arc<Semaphore>,
    /// Memory for bodies and prompts.
    pub body_memory: Arc<MemoryPool>,
    /// Limits the number of connections.
    pub connections: Arc<Semaphore>,
    /// Reports rejections to operators, if there is an operations side.
    pub rejections: Option<Arc<RejectionReporter>>,
}

impl ClientContext {
    /// Rejects a request that was not passed to the owner.
    fn reject(&self, id: RequestId, request: &AcceptedRequest) -> ErrorResponse {
        let retry_after = self.config.scheduler.advertised_retry_after();
        if let Some(rejections) = &self.rejections {
            let names = &self.config.names;
            let class = names.classes.get(request.class.0).map_or("", String::as_str);
            let tenant =
                request.tenant.and_then(|tenant| names.tenants.get(tenant.0)).map_or("", String::as_str);
            rejections.report(id, class, tenant, retry_after, request.fingerprint);
        }
        ErrorResponse::busy(retry_after, "too much is open here; nothing was done")
    }
}

/// Accepts connections until the task is aborted.
pub(super) async fn accept(listener: TcpListener, dialect: Arc<Dialect>, context: Arc<ClientContext>) {
    // A client may read nothing for at most as long as an engine may be silent.
    let write_timeout =
        context.config.class_times.iter().map(|times| times.silence).max().unwrap_or(Nanos::MAX);
    let write_timeout = Duration::from_nanos(write_timeout).min(MAX_WRITE_TIMEOUT);
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(error) => {
                tracing::warn!(%error, "accepting a client's connection failed");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // Over the limit a connection is closed at once: no request has been read that could be answered.
        let Ok(permit) = Arc::clone(&context.connections).try_acquire_owned() else { continue };
        let _ = socket.set_nodelay(true);
        let (dialect, context) = (Arc::clone(&dialect), Arc::clone(&context));
        tokio::spawn(async move {
            let head_time = context.config.limits.head_time.duration();
            let service = service_fn(|request| respond(request, &dialect, &context));
            let socket = ClientSocket::new(socket, write_timeout);
            let closed = socket.closed();
            let serving = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(head_time)
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(socket), service);
            tokio::select! {
                served = serving => {
                    if let Err(error) = served {
                        tracing::debug!(%error, "client connection ended");
                    }
                }
                // Nothing more is sent for a client that is gone, whatever it has sent before.
                () = closed => tracing::debug!("client closed its connection"),
            }
            drop(permit);
        });
    }
}

async fn respond(
    request: Request<Incoming>,
    dialect: &Arc<Dialect>,
    context: &Arc<ClientContext>,
) -> Result<Response<AnyBody>, Infallible> {
    let response = handle(request, dialect, context).await;
    Ok(response.unwrap_or_else(|error| error.response(dialect)))
}

/// Handles one request.
async fn handle(
    request: Request<Incoming>,
    dialect: &Arc<Dialect>,
    context: &Arc<ClientContext>,
) -> Result<Response<AnyBody>, ErrorResponse> {
    if request.uri().path() != "/v1/messages" {
        return Err(ErrorResponse::invalid(StatusCode::NOT_FOUND, "there is /v1/messages here"));
    }
    if request.method() != Method::POST {
        return Err(ErrorResponse::invalid(StatusCode::METHOD_NOT_ALLOWED, "POST is wanted"));
    }
    let (head, body) = request.into_parts();
    let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    let tenant = tenant(context, header)?;
    let RequestBody { bytes, memory } = read_body(body, context).await?;
    let request = parse_request(dialect, &bytes, header)
        .map_err(|error| ErrorResponse::invalid(StatusCode::BAD_REQUEST, error.to_string()))?;
    drop(bytes);
    let class = class(context, &request)?;
    let (model, stream) = (request.model.clone(), request.stream);
    let mut pending = submit(context, accepted_request(context, request, class, tenant), memory)?;
    let id = GlobalRequestId { run: context.run.0, number: pending.id.0 }.to_string();
    let mut response = match wait_for_start(&mut pending).await {
        Err(error) => error.response(dialect),
        Ok(usage) if stream => {
            let opening_event = ClientEvent::MessageStart { id: id.clone(), model, usage };
            event_stream(EventStreamBody::new(
                pending,
                Arc::clone(dialect),
                opening_event,
                context.config.limits.keep_alive.duration(),
            ))
        }
        Ok(_) => match collect_answer(pending, id.clone(), model).await {
            Ok(answer) => json(StatusCode::OK, dialect.encode_answer(&answer).freeze()),
            Err(error) => error.response(dialect),
        },
    };
    if let Ok(id) = id.parse() {
        response.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    Ok(response)
}
