//! How attempts and probes end, and the load reports that come with their answers.

use super::{AttemptNumber, Nanos, RequestId, ServerId};

/// A load report of a server; a field that the site does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight, those of all routers.
    pub in_flight: Option<f64>,
    /// Requests that are queued.
    pub queued: Option<f64>,
    /// Share of its slots that are in use, 0 to 1.
    pub slot_utilization: Option<f64>,
    /// Share of its KV cache memory that is in use, 0 to 1 (field `x0` on the wire).
    pub memory_utilization: Option<f64>,
    /// Thousands of prompt tokens that wait for prefill or for their fetch (field `x1` on the wire).
    pub pending_prefill_kilotokens: Option<f64>,
}

/// How an attempt or a probe has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The answer is complete, or the probe was answered.
    Ok,
    /// The prefill is complete and its KV cache waits at the server.
    Prefilled,
    /// The server answered with an error; the attempt may have run.
    Error,
    /// The server rejected the attempt without running it.
    Rejected,
    /// No answer came within the attempt's timeout.
    Timeout,
    /// No connection to the server could be established; nothing was sent.
    ConnectFailed,
    /// This machine had no socket or no route for it: nothing was sent, and nothing is known of the server.
    NoSocket,
    /// The connection broke after something was sent; the attempt may have run.
    Reset,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt expired before it was sent, or nobody waits for it any more; it has not run.
    Expired,
    /// A status code that this version does not know; the attempt may have run.
    Unknown,
}

impl AttemptStatus {
    /// Whether the server itself has answered, so that its process has run since the exchange began.
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

    /// The name of the status in logs and counters.
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

    /// Whether there was no connection for the attempt, so that nothing of it was sent.
    pub fn was_never_sent(self) -> bool {
        matches!(self, AttemptStatus::ConnectFailed | AttemptStatus::NoSocket)
    }
}

/// The end of an attempt.
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
    /// Whether the request is finished with it.
    pub request_finished: bool,
    /// Prompt tokens that the server found in its cache; 0 unless the status is [`AttemptStatus::Prefilled`] or
    /// [`AttemptStatus::Ok`].
    pub cached_prompt_tokens: u64,
    /// Whether a decode server rejected the attempt because it could not fetch the KV cache.
    pub kv_cache_missing: bool,
    /// The server's load, if it came with the answer.
    pub report: Option<LoadReport>,
}

/// The note of an attempt's outcome on the wire, a number whose meaning depends on the status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutcomeNote(pub u64);

impl OutcomeNote {
    /// The note of a rejection because there was no KV cache to fetch.
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
