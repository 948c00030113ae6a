//! Messages to workers, and the interpretation of their responses.

use crate::client_request::TransactionId;
use crate::head::ResponseHead;
use bytes::Bytes;
use gaparch_scheduler::api::AttemptStatus;
use serde::Deserialize;

/// Maximum number of interim responses (1xx) before a response.
pub const MAX_INTERIM_RESPONSES: usize = 8;

/// The stage of a request that a worker runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The worker computes the KV cache of the prompt.
    Prefill,
    /// The worker generates tokens.
    Decode,
}

impl Stage {
    /// Returns the name used in the log.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Prefill => "prefill",
            Stage::Decode => "decode",
        }
    }
}

/// Encodes the head of a request to a worker. `remaining_ms` is the time that the client still waits, and
/// `body_length` is in bytes.
pub fn encode_request_head(
    target: &str,
    transaction: &TransactionId,
    host: &str,
    remaining_ms: u32,
    body_length: usize,
) -> Bytes {
    Bytes::from(format!(
        "POST {target} HTTP/1.1\r\nHost: {host}\r\nX-Txn: {}\r\nX-Remaining-Ms: {remaining_ms}\r\n\
         Content-Type: application/json\r\nContent-Length: {body_length}\r\n\r\n",
        transaction.as_str()
    ))
}

/// Encodes a call that reserves capacity for a request.
pub fn encode_reserve(transaction: &TransactionId, host: &str) -> Bytes {
    encode_call("POST", &reservation_path(transaction), host)
}

/// Encodes a call that releases everything that a worker has reserved or cached for a request.
pub fn encode_release(transaction: &TransactionId, host: &str) -> Bytes {
    encode_call("DELETE", &reservation_path(transaction), host)
}

/// Encodes a health check.
pub fn encode_probe(host: &str) -> Bytes {
    encode_call("GET", "/ping", host)
}

fn reservation_path(transaction: &TransactionId) -> String {
    format!("/internal/reservations/{}", transaction.as_str())
}

fn encode_call(method: &str, path: &str, host: &str) -> Bytes {
    let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
    Bytes::from(format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n{length}\r\n"))
}

/// What the head of a worker's response means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMeaning {
    /// The prompt is prefilled. The body states how much of it was cached.
    Prefilled,
    /// A stream of events follows.
    EventStream,
    /// The attempt has ended.
    Ended {
        /// How the attempt has ended.
        status: AttemptStatus,
        /// Whether the KV cache to decode from is missing.
        kv_cache_missing: bool,
    },
}

impl ResponseMeaning {
    fn ended(status: AttemptStatus) -> ResponseMeaning {
        ResponseMeaning::Ended { status, kv_cache_missing: false }
    }
}

/// Interprets the response to an attempt of this stage.
pub fn interpret_response(head: &ResponseHead, stage: Stage) -> ResponseMeaning {
    let rejected = head.first_value("x-turned-away") == Some("1");
    match head.status {
        202 if stage == Stage::Prefill => ResponseMeaning::Prefilled,
        200 if stage == Stage::Decode => ResponseMeaning::EventStream,
        410 if rejected => ResponseMeaning::Ended { status: AttemptStatus::Rejected, kv_cache_missing: true },
        503 | 504 if rejected => ResponseMeaning::ended(AttemptStatus::Rejected),
        500 => ResponseMeaning::ended(AttemptStatus::Error),
        // With any other response, the request may have run.
        _ => ResponseMeaning::ended(AttemptStatus::Unknown),
    }
}

/// Interprets the response to a health check.
pub fn interpret_probe(status: u16) -> AttemptStatus {
    match status {
        200 => AttemptStatus::Ok,
        503 => AttemptStatus::Rejected,
        _ => AttemptStatus::Unknown,
    }
}

/// State of a reservation after its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The capacity is reserved.
    Reserved,
    /// The capacity may be reserved.
    Unknown,
    /// The capacity is not reserved.
    Rejected,
}

impl Reservation {
    /// Whether the capacity must be treated as reserved.
    pub fn may_be_reserved(self) -> bool {
        self != Reservation::Rejected
    }
}

/// Interprets the response to a reservation.
pub fn interpret_reservation(status: u16) -> Reservation {
    match status {
        200 => Reservation::Reserved,
        204 => Reservation::Unknown,
        _ => Reservation::Rejected,
    }
}

/// Returns how many tokens of a prompt were cached, as stated in the body of a prefill response; 0 if it does
/// not state that.
pub fn cached_prompt_tokens(body: &[u8]) -> u32 {
    #[derive(Deserialize)]
    struct PrefillResponse {
        cached_tokens: f64,
    }
    let response = serde_json::from_slice::<PrefillResponse>(body);
    let tokens = response.map_or(0.0, |response| response.cached_tokens);
    if tokens.is_finite() {
        tokens.clamp(0.0, f64::from(u32::MAX)) as u32
    } else {
        0
    }
}
