//! Requests of clients, as their heads state them.

use crate::head::{HeaderValue, RequestHead};
use gaparch_platform_settings::PlatformSettings;
use gaparch_scheduler::api::{AffinityKey, ClassId, Nanos, TenantId};
use thiserror::Error;

/// Path of the completions endpoint, which clients send their requests to.
pub const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path of the readiness check.
pub const HEALTH_PATH: &str = "/_health";
/// Estimated bytes of a body per token of its prompt, where the client states no length.
const BYTES_PER_TOKEN: usize = 4;
/// Longest transaction id in bytes; those of the platform have 16.
const MAX_ID_BYTES: usize = 64;
/// Longest time that a client may state for its first token: an hour, in milliseconds.
const MAX_REMAINING_MS: u64 = 3_600_000;
/// Largest number of tokens that a label may state.
const MAX_TOKENS: u32 = 100_000_000;
const NANOS_PER_MS: Nanos = 1_000_000;

/// Id of a request, chosen by its client: 1 to 64 letters, digits, `-` and `_`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TransactionId(String);

impl TransactionId {
    /// Parses an id; `None` where the text can't be one.
    pub fn new(id: &str) -> Option<TransactionId> {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        let is_valid = (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(is_allowed);
        is_valid.then(|| TransactionId(id.to_owned()))
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Why the request of a client is not accepted. The text is the body of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ClientRequestError {
    /// The path is none that the router serves.
    #[error("nothing is served there")]
    Path,
    /// The method is not POST.
    #[error("that is done with POST")]
    Method,
    /// The transaction id is missing, repeated or malformed.
    #[error("X-Txn must be there once: up to {MAX_ID_BYTES} letters, digits, '-' or '_'")]
    Id,
    /// The traffic class is missing, repeated or unknown.
    #[error("X-Lane must name a class of the settings")]
    Class,
    /// The time that is left to the client is missing, repeated or malformed.
    #[error("X-Remaining-Ms must be a whole number of milliseconds")]
    Deadline,
    /// An optional header is repeated.
    #[error("X-Org, X-Entity, X-Labels and X-Resent may be there once each")]
    Repeated,
    /// The body is empty.
    #[error("a request must have a body")]
    NoBody,
}

impl ClientRequestError {
    /// Returns the HTTP status of the answer.
    pub fn status(self) -> u16 {
        match self {
            ClientRequestError::Path => 404,
            ClientRequestError::Method => 405,
            _ => 400,
        }
    }
}

/// A client's request without its body.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Id that the client has given the request.
    pub transaction: TransactionId,
    /// Traffic class.
    pub class: ClassId,
    /// Tenant; `None` where the client names none that is known.
    pub tenant: Option<TenantId>,
    /// Conversation that the request belongs to.
    pub session: Option<AffinityKey>,
    /// Prefix that its prompt shares with other requests.
    pub prefix: Option<AffinityKey>,
    /// Tokens of the prompt; 0 where the client does not state them.
    pub prompt_tokens: u32,
    /// Tokens of the shared prefix; 0 where the client does not state them.
    pub prefix_tokens: u32,
    /// Most tokens of the answer; 0 where the client does not state them.
    pub max_output_tokens: u32,
    /// How long the client waits for the first token, from the arrival of its request, in nanoseconds.
    pub remaining: Nanos,
    /// Whether the client has sent the request before.
    pub client_retry: bool,
    /// Whether the client asks for the rest of a stream that broke.
    pub client_reconnect: bool,
}

impl ClientRequest {
    /// Reads the head of a request.
    ///
    /// # Errors
    /// When something in it is missing or malformed.
    pub fn from_head(
        head: &RequestHead,
        settings: &PlatformSettings,
    ) -> Result<ClientRequest, ClientRequestError> {
        check_target(head)?;
        let transaction = required_transaction(head)?;
        let class = class(head, settings);
        let remaining_ms = remaining_ms(head);
        let resent = optional(head, "x-resent")?;
        let mut request = ClientRequest {
            transaction,
            class: class.ok_or(ClientRequestError::Class)?,
            tenant: optional(head, "x-org")?.and_then(|name| tenant(name, settings)),
            session: optional(head, "x-entity")?.map(AffinityKey::from_text),
            prefix: None,
            prompt_tokens: 0,
            prefix_tokens: 0,
            max_output_tokens: 0,
            remaining: remaining_ms.ok_or(ClientRequestError::Deadline)? * NANOS_PER_MS,
            client_retry: resent.is_some(),
            client_reconnect: resent == Some("again"),
        };
        request.apply_labels(optional(head, "x-labels")?.unwrap_or_default());
        Ok(request)
    }

    /// Takes what the labels state. They are hints: a malformed one counts as absent.
    fn apply_labels(&mut self, labels: &str) {
        for label in labels.split(',') {
            let Some((name, value)) = label.trim().split_once('=') else { continue };
            match name {
                "prefix" if !value.is_empty() => self.prefix = Some(AffinityKey::from_text(value)),
                "prompt_len" => self.prompt_tokens = label_tokens(value),
                "prefix_len" => self.prefix_tokens = label_tokens(value),
                "max_out" => self.max_output_tokens = label_tokens(value),
                _ => {}
            }
        }
    }

    /// Estimates the tokens of the prompt from the length of the body, where the client has not stated them.
    pub fn with_body_length(mut self, bytes: usize) -> ClientRequest {
        if self.prompt_tokens == 0 {
            let estimate = u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(MAX_TOKENS);
            self.prompt_tokens = estimate.min(MAX_TOKENS);
        }
        self
    }
}

fn check_target(head: &RequestHead) -> Result<(), ClientRequestError> {
    let path = head.target.split('?').next().unwrap_or_default();
    if path != COMPLETIONS_PATH {
        return Err(ClientRequestError::Path);
    }
    if head.method != "POST" {
        return Err(ClientRequestError::Method);
    }
    Ok(())
}

fn required_transaction(head: &RequestHead) -> Result<TransactionId, ClientRequestError> {
    match head.header("x-txn") {
        HeaderValue::Single(id) => TransactionId::new(id).ok_or(ClientRequestError::Id),
        HeaderValue::Absent | HeaderValue::Repeated => Err(ClientRequestError::Id),
    }
}

fn class(head: &RequestHead, settings: &PlatformSettings) -> Option<ClassId> {
    let HeaderValue::Single(name) = head.header("x-lane") else { return None };
    settings.classes.iter().position(|class| class == name).map(ClassId)
}

fn tenant(name: &str, settings: &PlatformSettings) -> Option<TenantId> {
    settings.tenants.iter().position(|tenant| tenant == name).map(TenantId)
}

fn remaining_ms(head: &RequestHead) -> Option<u64> {
    let HeaderValue::Single(digits) = head.header("x-remaining-ms") else { return None };
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    digits.parse::<u64>().ok().filter(|ms| *ms <= MAX_REMAINING_MS)
}

fn optional<'h>(head: &'h RequestHead, name: &'h str) -> Result<Option<&'h str>, ClientRequestError> {
    match head.header(name) {
        HeaderValue::Absent => Ok(None),
        HeaderValue::Single(value) => Ok(Some(value)),
        HeaderValue::Repeated => Err(ClientRequestError::Repeated),
    }
}

fn label_tokens(value: &str) -> u32 {
    value.parse::<u32>().ok().filter(|tokens| *tokens <= MAX_TOKENS).unwrap_or(0)
}
