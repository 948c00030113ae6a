//! One attempt to have a request served, as it is in flight.

use crate::api::{AttemptNumber, CellId, Nanos, ServerId, ZoneId};

/// What a server is asked to do in an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// To compute the prompt's KV cache and keep it.
    Prefill,
    /// To fetch the KV cache and generate the answer.
    Decode,
    /// Both, at one server.
    Combined,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptProgress {
    /// No token of its answer has come.
    AwaitingFirstToken,
    /// Its answer has begun.
    Streaming,
    /// It was cancelled before its answer began.
    Cancelled,
}

/// An attempt that is in flight.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Where it was sent.
    pub server: ServerId,
    /// Its number among the request's attempts, from 0.
    pub number: AttemptNumber,
    /// When it was sent.
    pub sent_at: Nanos,
    /// What the server is asked to do.
    pub stage: Stage,
    /// Own prompt tokens that it adds to the server's prefill queue.
    pub prompt_tokens: f64,
    /// Prompt tokens in the server's prefill queue when it was sent, its own included.
    pub queued_tokens: f64,
    /// KV cache tokens that it is expected to need at the server.
    pub reserved_kv_tokens: f64,
    /// How far it has come.
    pub progress: AttemptProgress,
    /// The KV cache that it is to fetch was released beside it: it may not have arrived.
    pub kv_released: bool,
    /// A load probe of its server had been outstanding for long when it was sent.
    pub probe_outstanding: bool,
}

impl Attempt {
    /// An attempt that is planned, and gets its number and time when it is sent.
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

    /// Its answer has begun.
    pub fn is_streaming(&self) -> bool {
        self.progress == AttemptProgress::Streaming
    }

    /// It was cancelled before its answer began.
    pub fn is_cancelled(&self) -> bool {
        self.progress == AttemptProgress::Cancelled
    }
}

/// An attempt that may have run, of a request that is not idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MayHaveRun {
    /// The zone of its server, if listed.
    pub zone: Option<ZoneId>,
    /// The cell of its server, if listed.
    pub cell: Option<CellId>,
    /// When it was sent.
    pub at: Nanos,
}
