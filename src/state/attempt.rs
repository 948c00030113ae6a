//! An attempt of a request that is in flight.

use crate::api::{AttemptNumber, CellId, Nanos, ServerId, ZoneId};

/// The work that an attempt asks of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Compute the prompt's KV cache and hold it.
    Prefill,
    /// Fetch the KV cache and generate the answer.
    Decode,
    /// Prefill and decode on the same server.
    Combined,
}

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptProgress {
    /// No token of the answer has been received.
    AwaitingFirstToken,
    /// The first token has been received.
    Streaming,
    /// It was cancelled before the first token.
    Cancelled,
}

/// An attempt that is in flight.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The server it was sent to.
    pub server: ServerId,
    /// Its number among the request's attempts, starting at 0.
    pub number: AttemptNumber,
    /// When it was sent.
    pub sent_at: Nanos,
    /// The work asked of the server.
    pub stage: Stage,
    /// Prompt tokens that it adds to the server's prefill queue.
    pub prompt_tokens: f64,
    /// Prompt tokens in the server's prefill queue when it was sent, including its own.
    pub queued_tokens: f64,
    /// KV cache tokens that it is expected to need on the server.
    pub reserved_kv_tokens: f64,
    /// Its progress.
    pub progress: AttemptProgress,
    /// Whether the KV cache that it fetches was released while it was in flight, because the attempt may not
    /// have reached its server.
    pub kv_released: bool,
    /// Whether a load probe of its server was overdue when it was sent.
    pub probe_outstanding: bool,
}

impl Attempt {
    /// An attempt that is not sent yet; its number and send time are set when it is.
    pub fn planned(server: ServerId, stage: Stage) -> Attempt {
        Attempt {
            server,
            number: AttemptNumber(0),
            sent_at: 0,
            stage,
            prompt_tokens: 0.0,
            queued_tokens: 0.0,
            reserved_kv_tokens: 0.0,
            progress: AttemptProgress::AwaitingFirstToken,
            kv_released: false,
            probe_outstanding: false,
        }
    }

    /// Whether its first token has been received.
    pub fn is_streaming(&self) -> bool {
        self.progress == AttemptProgress::Streaming
    }

    /// Whether it was cancelled before its first token.
    pub fn is_cancelled(&self) -> bool {
        self.progress == AttemptProgress::Cancelled
    }
}

/// An earlier attempt that may have run, of a request that is not idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MayHaveRun {
    /// The zone of its server, if listed.
    pub zone: Option<ZoneId>,
    /// The cell of its server, if listed.
    pub cell: Option<CellId>,
    /// When it was sent.
    pub at: Nanos,
}
