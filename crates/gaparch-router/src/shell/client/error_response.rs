//! Error responses.

use super::AnyBody;
use bytes::Bytes;
use gaparch_protocol::client::{Dialect, ErrorKind};
use gaparch_protocol::ops::outcome::OutcomeCause;
use gaparch_scheduler::api::Nanos;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::convert::Infallible;

/// An error response, independent of the client's dialect.
pub(super) struct ErrorResponse {
    status: StatusCode,
    kind: ErrorKind,
    message: String,
    /// Whether a retry is safe.
    retry_harmless: bool,
    retry_after: Option<Nanos>,
}

impl ErrorResponse {
    /// The request is invalid.
    pub(super) fn invalid(status: StatusCode, message: impl Into<String>) -> ErrorResponse {
        ErrorResponse {
            status,
            kind: ErrorKind::Invalid,
            message: message.into(),
            retry_harmless: true,
            retry_after: None,
        }
    }

    /// The request is rejected without effect, so a retry is safe.
    pub(super) fn busy(retry_after: Nanos, message: &str) -> ErrorResponse {
        ErrorResponse {
            status: StatusCode::SERVICE_UNAVAILABLE,
            kind: ErrorKind::Rejected,
            message: message.to_owned(),
            retry_harmless: true,
            // Zero if the settings allow no retry time to be sent.
            retry_after: Some(retry_after).filter(|wait| *wait > 0),
        }
    }

    /// The client sent no known API key.
    pub(super) fn unauthorized(message: &str) -> ErrorResponse {
        ErrorResponse {
            kind: ErrorKind::Unauthorized,
            ..ErrorResponse::invalid(StatusCode::UNAUTHORIZED, message)
        }
    }

    /// The request is rejected because its tenant's quota is exhausted.
    pub(super) fn over_quota(retry_after: Nanos, message: &str) -> ErrorResponse {
        ErrorResponse { status: StatusCode::TOO_MANY_REQUESTS, ..ErrorResponse::busy(retry_after, message) }
    }

    /// The request failed, and may have had an effect.
    pub(super) fn failed(message: &str) -> ErrorResponse {
        ErrorResponse::failed_with(StatusCode::BAD_GATEWAY, message)
    }

    /// The request failed, with a status that depends on the cause.
    pub(super) fn failed_for(cause: OutcomeCause, message: &str) -> ErrorResponse {
        let is_overdue = cause == OutcomeCause::Overdue;
        let status = if is_overdue { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        ErrorResponse::failed_with(status, message)
    }

    fn failed_with(status: StatusCode, message: &str) -> ErrorResponse {
        ErrorResponse {
            status,
            kind: ErrorKind::Failed,
            message: message.to_owned(),
            retry_harmless: false,
            retry_after: None,
        }
    }

    /// Encodes the error in the client's dialect.
    pub(super) fn response(&self, dialect: &Dialect) -> Response<AnyBody> {
        let body = dialect.encode_error(self.kind, &self.message, self.retry_harmless).freeze();
        let mut response = json(self.status, body);
        if let Some(wait) = self.retry_after {
            // `Retry-After` has whole seconds, so another header carries the exact time.
            let seconds = wait.div_ceil(1_000_000_000).max(1);
            let headers = response.headers_mut();
            headers.insert(RETRY_AFTER, seconds.into());
            headers.insert("x-gaparch-retry-after-ms", (wait / 1_000_000).into());
        }
        response
    }
}

/// A response with a JSON body.
pub(super) fn json(status: StatusCode, body: Bytes) -> Response<AnyBody> {
    let body = Full::new(body).map_err(|never: Infallible| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    response
}
