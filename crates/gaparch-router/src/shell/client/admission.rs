//! Resolves the traffic class, the tenant and the affinity keys of a request.

use super::error_response::ErrorResponse;
use super::ClientContext;
use crate::core::AcceptedRequest;
use gaparch_protocol::client::MessageRequest;
use gaparch_scheduler::api::{AffinityKey, ClassId, TenantId};
use hyper::header::AUTHORIZATION;
use hyper::StatusCode;

/// The tenant of the API key that the client sends; `None` if the settings have no keys.
pub(super) fn tenant<'h>(
    context: &ClientContext,
    header: impl Fn(&str) -> Option<&'h str>,
) -> Result<Option<TenantId>, ErrorResponse> {
    if context.config.keys.is_empty() {
        return Ok(None);
    }
    let bearer = header(AUTHORIZATION.as_str()).and_then(|value| value.strip_prefix("Bearer "));
    let key = bearer.or_else(|| header("x-api-key")).map(str::trim);
    match key.and_then(|key| context.config.keys.get(key)) {
        Some(tenant) => Ok(Some(*tenant)),
        None => Err(ErrorResponse::unauthorized("a known key is wanted")),
    }
}

/// The traffic class that the client names, or the default class.
pub(super) fn class(context: &ClientContext, request: &MessageRequest) -> Result<ClassId, ErrorResponse> {
    let names = &context.config.names;
    match &request.class {
        Some(name) => names.class(name).ok_or_else(|| {
            ErrorResponse::invalid(StatusCode::BAD_REQUEST, format!("'class' '{name}' is not known here"))
        }),
        None => {
            let only_class = (names.classes.len() == 1).then_some(ClassId(0));
            context.config.default_class.or(only_class).ok_or_else(|| {
                ErrorResponse::invalid(StatusCode::BAD_REQUEST, "'class' is missing, and there is no default")
            })
        }
    }
}

/// Builds the request for the owner, with its class, tenant and affinity keys.
pub(super) fn accepted_request(
    context: &ClientContext,
    request: MessageRequest,
    class: ClassId,
    tenant: Option<TenantId>,
) -> AcceptedRequest {
    // The fingerprint is only used by the operations side, to recognize retries; without one nothing is
    // hashed.
    let fingerprint = context.rejections.as_ref().map_or(0, |_| fingerprint(&request, class, tenant));
    AcceptedRequest {
        class,
        tenant,
        session: request.session.as_deref().map(AffinityKey::from_text),
        prefix: request.prefix.as_deref().map(AffinityKey::from_text),
        prompt_tokens: request.prompt_tokens,
        prefix_tokens: request.prefix_tokens,
        max_output_tokens: request.max_tokens,
        expected_output_tokens: request.answer_hint,
        client_retry: request.is_retry,
        client_reconnect: false,
        deadline_at: None,
        fingerprint,
        prompt: request.prompt,
    }
}

/// A hash of the prompt, session, class and tenant that stays the same across restarts.
fn fingerprint(request: &MessageRequest, class: ClassId, tenant: Option<TenantId>) -> u64 {
    let session = request.session.as_deref().unwrap_or_default();
    let sender = format!("{session}/{}/{}", class.0, tenant.map_or(0, |tenant| tenant.0 + 1));
    AffinityKey::from_text(&request.prompt).0 ^ AffinityKey::from_text(&sender).0.rotate_left(32)
}
