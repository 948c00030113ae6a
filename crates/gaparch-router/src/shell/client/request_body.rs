//! Reads the body of a request. A long body is read only once memory is reserved for it.

use super::error_response::ErrorResponse;
use super::ClientContext;
use crate::memory::{MemoryPool, ProgressCheck, Reservation};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::StatusCode;
use tokio::time::{timeout_at, Instant};

/// Bodies up to this many bytes need no reservation: every connection may hold that much.
const MAX_UNRESERVED_BODY: usize = 4 * 1024;
/// A request is held as its body, then as its prompt and as a frame that is written to an engine.
const COPIES: usize = 2;

/// A complete body, with the memory reserved for it and for the prompt made from it.
pub(super) struct RequestBody {
    pub(super) bytes: Bytes,
    pub(super) memory: Option<Reservation>,
}

/// Reads a body within the limits on its length and time.
pub(super) async fn read_body(body: Incoming, context: &ClientContext) -> Result<RequestBody, ErrorResponse> {
    let limits = &context.config.limits;
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > limits.body {
        return Err(too_long(limits.body));
    }
    // A body in chunks may have any allowed length.
    let expected = body.size_hint().exact().map_or(limits.body, |_| stated);
    let deadline = Instant::now() + limits.body_time.duration();
    let memory = match expected {
        0..=MAX_UNRESERVED_BODY => None,
        _ => Some(reserve(&context.body_memory, expected, deadline, context).await?),
    };
    let bytes = collect(body, expected, deadline, memory.is_some(), context).await?;
    let memory = memory.map(|mut memory| {
        memory.shrink_to(COPIES * bytes.len());
        memory
    });
    Ok(RequestBody { bytes, memory })
}

async fn reserve(
    pool: &MemoryPool,
    length: usize,
    deadline: Instant,
    context: &ClientContext,
) -> Result<Reservation, ErrorResponse> {
    timeout_at(deadline, pool.reserve(COPIES * length)).await.map_err(|_| no_memory(context))
}

async fn collect(
    mut body: Incoming,
    expected: usize,
    deadline: Instant,
    holds_memory: bool,
    context: &ClientContext,
) -> Result<Bytes, ErrorResponse> {
    let max_length = context.config.limits.body;
    let mut bytes = BytesMut::new();
    let mut progress = ProgressCheck::new(expected);
    loop {
        let frame = tokio::select! {
            biased;
            frame = timeout_at(deadline, body.frame()) => frame,
            () = progress.due(), if holds_memory => {
                if !progress.may_continue(&context.body_memory, expected.saturating_sub(bytes.len())) {
                    return Err(no_memory(context));
                }
                continue;
            }
        };
        let frame = match frame {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(invalid(StatusCode::BAD_REQUEST, "the body broke off")),
            Ok(None) => return Ok(bytes.freeze()),
            Err(_) => return Err(invalid(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
        };
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > max_length {
            return Err(too_long(max_length));
        }
        if bytes.is_empty() {
            // Growing step by step would copy the body again and again.
            bytes.reserve(expected.max(data.len()));
        }
        bytes.extend_from_slice(&data);
    }
}

fn invalid(status: StatusCode, message: &str) -> ErrorResponse {
    ErrorResponse::invalid(status, message)
}

fn too_long(max_length: usize) -> ErrorResponse {
    let message = format!("a body has at most {max_length} bytes here");
    ErrorResponse::invalid(StatusCode::PAYLOAD_TOO_LARGE, message)
}

/// The answer to a request that got no memory in time. Nothing of it was passed on.
fn no_memory(context: &ClientContext) -> ErrorResponse {
    let retry_after = context.config.scheduler.advertised_retry_after();
    ErrorResponse::busy(retry_after, "too much is open here; nothing was done")
}
