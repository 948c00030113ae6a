//! The engine protocol: router to engine, and engine to engine where one fetches a KV cache from another.
//!
//! `docs/protocols/engine.md` describes it. Both sides open with [`Hello`](EngineFrame::Hello); a request's
//! attempts are named by the router's request id and attempt number, so one connection carries them all.

mod codec;

use gaparch_scheduler::api::{AttemptStatus, LoadReport, Role};

/// The version spoken here. A peer that says another one is rejected with a [`Bye`](EngineFrame::Bye).
pub const VERSION: u16 = 1;

/// A run of a router's process: KV caches and attempts of an earlier run are not its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterRun(pub u64);

/// One attempt at an engine, unique on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The router's number of the request.
    pub request: u64,
    /// The number of the attempt among those of the request.
    pub attempt: u32,
}

/// The name of a request's KV cache between engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KvCacheKey {
    /// The run of the router that has the request.
    pub router: RouterRun,
    /// That router's number of the request.
    pub request: u64,
}

/// Who opens a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Peer {
    /// A router.
    Router {
        /// The run of its process.
        run: RouterRun,
        /// Its name.
        name: String,
    },
    /// An engine.
    Engine(EngineFacts),
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineFacts {
    /// Its name in the endpoint list.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// The tokens that its KV cache memory holds.
    pub kv_capacity_tokens: f64,
    /// The zone in which it stands.
    pub zone: String,
    /// The rack in which it stands.
    pub rack: String,
    /// When its process started, in nanoseconds since the Unix epoch.
    pub started_at: u64,
}

/// What a request asks of an engine, the same for prefill and decode.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The attempt.
    pub key: AttemptKey,
    /// The number of the traffic class.
    pub class: u16,
    /// The number of the tenant, if it has one.
    pub tenant: Option<u16>,
    /// A digest of the session, if it has one.
    pub session: Option<u64>,
    /// A digest of the shared prefix, if it has one.
    pub prefix: Option<u64>,
    /// Tokens of the prompt; 0 where the client did not say.
    pub prompt_tokens: u32,
    /// Tokens of the shared prefix; 0 where the client did not say.
    pub prefix_tokens: u32,
    /// The most tokens to produce.
    pub max_output_tokens: u32,
    /// For how long an answer is of use, in milliseconds from now on; 0: no limit.
    pub timeout_ms: u32,
    /// The prompt.
    pub prompt: String,
}

/// Where a request's KV cache is, or will be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCacheLocation {
    /// The name of the engine.
    pub engine: String,
    /// The engine's address.
    pub address: String,
}

/// Why an engine can't send a KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvCacheUnavailable {
    /// It was released, fetched, or never there.
    Unknown,
    /// Its prefill is not complete.
    NotReady,
}

/// A frame of the engine protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineFrame {
    /// First on every connection, in both directions.
    Hello {
        /// The version that the sender speaks.
        version: u16,
        /// The sender.
        peer: Peer,
    },
    /// Router to engine: do the prefill and keep the KV cache.
    Prefill(Job),
    /// Router to engine: decode the answer.
    Decode {
        /// What to decode.
        job: Job,
        /// From where to fetch the KV cache; `None`: it is here, or there is none.
        kv_cache: Option<KvCacheLocation>,
    },
    /// Router to engine: cancel an attempt.
    Cancel(AttemptKey),
    /// Router to engine: reserve a slot and memory for the request whose prefill is in flight, and fetch its KV cache as
    /// soon as that is complete.
    Reserve {
        /// What will be decoded.
        job: Job,
        /// Where the prefill is in flight.
        from: KvCacheLocation,
    },
    /// Router to engine: release every KV cache and reservation of a request.
    Release {
        /// The router's number of the request.
        request: u64,
    },
    /// Router to engine: answer when this would be served.
    Probe {
        /// A number that the answer repeats.
        nonce: u64,
    },
    /// Engine to router: the prefill is complete and the KV cache can be fetched.
    PrefillDone {
        /// The attempt.
        key: AttemptKey,
        /// Prompt tokens that were found in a KV cache and needed no prefill.
        cached_prompt_tokens: u32,
        /// Tokens of the prompt as the engine counted them.
        prompt_tokens: u32,
        /// The engine's load.
        report: Option<LoadReport>,
    },
    /// Engine to router: tokens of the answer.
    Tokens {
        /// The attempt.
        key: AttemptKey,
        /// How many tokens of the answer were sent before.
        sent_before: u32,
        /// How many these are.
        count: u16,
        /// Their text.
        text: String,
    },
    /// Engine to router: the attempt has ended; never [`AttemptStatus::Prefilled`].
    Outcome {
        /// The attempt.
        key: AttemptKey,
        /// How it ended.
        status: AttemptStatus,
        /// An [`OutcomeNote`](gaparch_scheduler::api::OutcomeNote): what it means depends on the status.
        note: u64,
        /// Tokens of the answer that were produced.
        produced_tokens: u32,
        /// The engine's load.
        report: Option<LoadReport>,
    },
    /// Engine to router: the answer to a reservation.
    Reserved {
        /// The attempt.
        key: AttemptKey,
        /// Whether the slot and memory are reserved.
        reserved: bool,
    },
    /// Engine to router: the answer to a probe.
    Probed {
        /// The number in the probe.
        nonce: u64,
        /// The engine's load.
        report: Option<LoadReport>,
    },
    /// Engine to router: the engine's load, on its own.
    LoadReport(LoadReport),
    /// Engine to engine: send this KV cache.
    Fetch {
        /// Its name.
        kv_cache: KvCacheKey,
    },
    /// Engine to engine: a KV cache, which the sender has released.
    KvCache {
        /// Its name.
        kv_cache: KvCacheKey,
        /// The tokens in it.
        tokens: u32,
        /// The prompt.
        prompt: String,
    },
    /// Engine to engine: the KV cache can't be sent.
    KvCacheUnavailable {
        /// Its name.
        kv_cache: KvCacheKey,
        /// Why not.
        reason: KvCacheUnavailable,
    },
    /// Either side, last on a connection: why it closes.
    Bye {
        /// The reason, for people.
        reason: String,
    },
}

impl EngineFrame {
    /// The attempt that the frame is about, if it is about one.
    pub fn attempt(&self) -> Option<AttemptKey> {
        match self {
            EngineFrame::Prefill(job)
            | EngineFrame::Decode { job, .. }
            | EngineFrame::Reserve { job, .. } => Some(job.key),
            EngineFrame::Cancel(key)
            | EngineFrame::PrefillDone { key, .. }
            | EngineFrame::Tokens { key, .. }
            | EngineFrame::Outcome { key, .. }
            | EngineFrame::Reserved { key, .. } => Some(*key),
            _ => None,
        }
    }
}
