//! Outcomes of attempts and probes, and the load reports in their answers.

use super::{AttemptNumber, Nanos, RequestId, ServerId};

/// A load report of a server. Fields that the site does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight, of all routers.
    pub in_flight: Option<f64>,
    /// Queued requests.
    pub queued: Option<f64>,
    /// Share of its slots in use, 0 to 1.
    pub slot_utilization: Option<f64>,
    /// Share of its KV cache memory in use, 0 to 1 (field `x0` on the wire).
    pub memory_utilization: Option<f64>,
    /// Thousands of prompt tokens that wait for prefill or for a KV cache transfer (field `x1` on the
    /// wire).
    pub pending_prefill_kilotokens: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The answer is complete, or the probe was answered.
    Ok,
    /// The prefill is complete and the server holds its KV cache.
    Prefilled,
    /// The server answered with an error; the attempt may have run.
    Error,
    /// The server rejected the attempt without running it.
    Rejected,
    /// No answer came within the timeout of the attempt.
    Timeout,
    /// No connection to the server could be established; nothing was sent.
    ConnectFailed,
    /// The local machine had no descriptor, port or buffer for the connection: nothing was sent, and
    /// the status says nothing about the server.
    NoSocket,
    /// The connection broke after something was sent; the attempt may have run.
    Reset,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt expired before it was sent, or its client no longer waits for it; it has not run.
    Expired,
    /// A status code that this version does not know; the attempt may have run.
    Unknown,
}

impl AttemptStatus {
    /// Whether the server itself has answered, which proves that its process ran after the send.
    pub fn is_answer(self) -> bool {
        matches!(
            self,
            AttemptStatus::Ok
                | AttemptStatus::Prefilled
                | AttemptStatus::Error
                | AttemptStatus::Rejected
                | AttemptStatus::Unknown
        )
    }

    /// The name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            AttemptStatus::Ok => "ok",
            AttemptStatus::Prefilled => "read",
            AttemptStatus::Error => "error",
            AttemptStatus::Rejected => "full",
            AttemptStatus::Timeout => "timeout",
            AttemptStatus::ConnectFailed => "connect_failed",
            AttemptStatus::NoSocket => "no_socket",
            AttemptStatus::Reset => "reset",
            AttemptStatus::Cancelled => "cancelled",
            AttemptStatus::Expired => "moot",
            AttemptStatus::Unknown => "unknown",
        }
    }

    /// Whether nothing of the attempt was sent because there was no connection.
    pub fn was_never_sent(self) -> bool {
        matches!(self, AttemptStatus::ConnectFailed | AttemptStatus::NoSocket)
    }
}

/// The outcome of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNumber,
    /// The server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub status: AttemptStatus,
    /// Time from its send to its end.
    pub latency: Nanos,
    /// Whether the request has its final answer.
    pub request_finished: bool,
    /// Prompt tokens that the server found in its cache; 0 unless the status is
    /// [`AttemptStatus::Prefilled`] or [`AttemptStatus::Ok`].
    pub cached_prompt_tokens: u64,
    /// Whether a decode server rejected the attempt because it could not fetch the KV cache.
    pub kv_cache_missing: bool,
    /// The load report in the answer, if any.
    pub report: Option<LoadReport>,
}

/// The numeric note of an attempt's outcome on the wire. Its meaning depends on the status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeNote(pub u64);

impl OutcomeNote {
    /// The note of a rejection for a KV cache that could not be fetched.
    pub const KV_CACHE_MISSING: OutcomeNote = OutcomeNote(1);

    /// The note as [`AttemptOutcome::cached_prompt_tokens`].
    pub fn cached_prompt_tokens(self, status: AttemptStatus) -> u64 {
        match status {
            AttemptStatus::Ok | AttemptStatus::Prefilled => self.0,
            _ => 0,
        }
    }

    /// The note as [`AttemptOutcome::kv_cache_missing`].
    pub fn kv_cache_missing(self, status: AttemptStatus) -> bool {
        status == AttemptStatus::Rejected && self == OutcomeNote::KV_CACHE_MISSING
    }
}
