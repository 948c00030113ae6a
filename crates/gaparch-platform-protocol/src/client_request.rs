//! Client requests, as stated by the heads of HTTP requests.

use crate::head::{HeaderValue, RequestHead};
use gaparch_platform_settings::PlatformSettings;
use gaparch_scheduler::api::{AffinityKey, ClassId, Nanos, TenantId};
use thiserror::Error;

/// Path of the completions endpoint, to which clients send their requests.
pub const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path of the readiness check.
pub const HEALTH_PATH: &str = "/_health";
/// Estimated bytes of the body per token of the prompt, used if the client does not state its length.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum length of a transaction id in bytes; those of the platform have 16.
const MAX_ID_BYTES: usize = 64;
/// Maximum time that a client may allow for its first token: an hour, in milliseconds.
const MAX_REMAINING_MS: u64 = 3_600_000;
/// Maximum number of tokens in a label.
const MAX_TOKENS: u32 = 100_000_000;
const NANOS_PER_MS: Nanos = 1_000_000;
/// Name of the header that states how long the client waits, in lower case.
const REMAINING_HEADER: &str = "x-remaining-ms";

/// Request id chosen by the client: 1 to 64 letters, digits, `-` and `_`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TransactionId(String);

impl TransactionId {
    /// Parses an id. Returns `None` if the text is not a valid one.
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

/// Why a client's request is rejected. The error text is sent as the response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ClientRequestError {
    /// The router does not serve the path.
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
    /// The client's remaining time is missing, repeated or malformed.
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
    /// Returns the HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            ClientRequestError::Path => 404,
            ClientRequestError::Method => 405,
            _ => 400,
        }
    }
}

/// A client's request, without its body.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Request id chosen by the client.
    pub transaction: TransactionId,
    /// Traffic class.
    pub class: ClassId,
    /// Tenant; `None` if the client states none, or an unknown one.
    pub tenant: Option<TenantId>,
    /// Conversation that the request belongs to.
    pub session: Option<AffinityKey>,
    /// Prefix that the prompt shares with other requests.
    pub prefix: Option<AffinityKey>,
    /// Number of tokens of the prompt; 0 if the client does not state it.
    pub prompt_tokens: u32,
    /// Number of tokens of the shared prefix; 0 if the client does not state it.
    pub prefix_tokens: u32,
    /// Maximum number of tokens to generate; 0 if the client does not state it.
    pub max_output_tokens: u32,
    /// How long the client waits for the first token after the arrival of its request, in nanoseconds.
    pub remaining: Nanos,
    /// Whether the client has sent the request before.
    pub client_retry: bool,
    /// Whether the client requests the rest of a stream that broke off.
    pub client_reconnect: bool,
}

impl ClientRequest {
    /// Interprets the head of a request.
    ///
    /// # Errors
    /// Returns an error if the router does not serve the path or method, a required header is missing, or a
    /// header is malformed or repeated.
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

    /// Applies the labels. They are hints: a malformed one counts as absent.
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

    /// Estimates the tokens of the prompt from the length of the body, if the client has not stated them.
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
    let HeaderValue::Single(digits) = head.header(REMAINING_HEADER) else { return None };
    parse_remaining_ms(digits)
}

/// Returns how long a client waits for its first token, in nanoseconds, by a head of which only the first bytes
/// have arrived; `None` if that is not stated in a complete line of them.
pub fn remaining_of_incomplete_head(bytes: &[u8]) -> Option<Nanos> {
    let text = String::from_utf8_lossy(bytes);
    let (complete_lines, _) = text.rsplit_once("\r\n")?;
    let mut headers = complete_lines.split("\r\n").filter_map(|line| line.split_once(':'));
    let (_, digits) = headers.find(|(name, _)| name.eq_ignore_ascii_case(REMAINING_HEADER))?;
    parse_remaining_ms(digits.trim()).map(|ms| ms * NANOS_PER_MS)
}

fn parse_remaining_ms(digits: &str) -> Option<u64> {
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
