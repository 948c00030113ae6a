//! The engine protocol: between router and engine, and between engines when one fetches a KV cache from
//! another.
//!
//! `docs/protocols/engine.md` specifies it. Both sides start with [`Hello`](EngineFrame::Hello). Attempts are
//! identified by the router's request id and attempt number, so that one connection multiplexes all of them.

mod codec;

use gaparch_scheduler::api::{AttemptStatus, LoadReport, Role};

/// The protocol version. A peer with another version is rejected with a [`Bye`](EngineFrame::Bye).
pub const VERSION: u16 = 1;

/// Identifies a run of a router's process: KV caches and attempts of an earlier run do not belong to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterRun(pub u64);

/// Identifies an attempt on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The router's number for the request.
    pub request: u64,
    /// The number of the attempt within the request.
    pub attempt: u32,
}

/// Identifies the KV cache of a request between engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KvCacheKey {
    /// The run of the router that handles the request.
    pub router: RouterRun,
    /// That router's number for the request.
    pub request: u64,
}

/// The sender of a hello.
#[derive(Clone, Debug, PartialEq)]
pub enum Peer {
    /// A router.
    Router {
        /// The run of its process.
        run: RouterRun,
        /// The name of the router.
        name: String,
    },
    /// An engine.
    Engine(EngineFacts),
}

/// An engine's description of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineFacts {
    /// Its name in the endpoint list.
    pub name: String,
    /// Its role: prefill, decode or both.
    pub role: Role,
    /// The capacity of its KV cache memory in tokens.
    pub kv_capacity_tokens: f64,
    /// The zone in which it is located.
    pub zone: String,
    /// The rack in which it is located.
    pub rack: String,
    /// When its process started, in nanoseconds since the Unix epoch.
    pub started_at: u64,
}

/// The work that an attempt requests from an engine, for prefill as well as decode.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Identifies the attempt.
    pub key: AttemptKey,
    /// The number of the traffic class.
    pub class: u16,
    /// The number of the tenant, if the request has one.
    pub tenant: Option<u16>,
    /// A digest of the session, if the request has one.
    pub session: Option<u64>,
    /// A digest of the shared prefix, if the request has one.
    pub prefix: Option<u64>,
    /// The number of tokens in the prompt; 0 if the client did not state it.
    pub prompt_tokens: u32,
    /// The number of tokens in the shared prefix; 0 if the client did not state it.
    pub prefix_tokens: u32,
    /// The maximum number of tokens to produce.
    pub max_output_tokens: u32,
    /// Milliseconds from receipt after which an answer is of no use any more; 0 for no limit.
    pub timeout_ms: u32,
    /// The prompt.
    pub prompt: String,
}

/// The engine that holds the KV cache of a request, or will hold it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCacheLocation {
    /// The name of the engine.
    pub engine: String,
    /// The address of the engine.
    pub address: String,
}

/// The reason why an engine can't send a KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvCacheUnavailable {
    /// The engine does not have it: it was released, fetched already, or never created.
    Unknown,
    /// Its prefill is not complete.
    NotReady,
}

/// A frame of the engine protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineFrame {
    /// The first frame in both directions.
    Hello {
        /// The protocol version of the sender.
        version: u16,
        /// The sender.
        peer: Peer,
    },
    /// Router to engine: requests a prefill. The engine keeps the KV cache.
    Prefill(Job),
    /// Router to engine: requests the decode of an answer.
    Decode {
        /// The work.
        job: Job,
        /// The engine to fetch the KV cache from; `None` if the receiver has it, or if there is none.
        kv_cache: Option<KvCacheLocation>,
    },
    /// Router to engine: cancels an attempt.
    Cancel(AttemptKey),
    /// Router to engine: reserves a slot and memory for a request whose prefill is in flight. The engine
    /// fetches the KV cache as soon as the prefill is complete.
    Reserve {
        /// The decode to reserve for.
        job: Job,
        /// The engine at which the prefill is in flight.
        from: KvCacheLocation,
    },
    /// Router to engine: releases all KV caches and reservations of a request.
    Release {
        /// The router's number for the request.
        request: u64,
    },
    /// Router to engine: a load probe. It is queued like a request, and answered when its turn comes.
    Probe {
        /// A number that the answer returns.
        nonce: u64,
    },
    /// Engine to router: the prefill is complete and the KV cache can be fetched.
    PrefillDone {
        /// Identifies the attempt.
        key: AttemptKey,
        /// The number of prompt tokens found in a KV cache, which needed no prefill.
        cached_prompt_tokens: u32,
        /// The number of tokens in the prompt, as counted by the engine.
        prompt_tokens: u32,
        /// The load of the engine, if it reports it.
        report: Option<LoadReport>,
    },
    /// Engine to router: tokens of the answer.
    Tokens {
        /// Identifies the attempt.
        key: AttemptKey,
        /// The number of tokens of the answer that were sent before these.
        sent_before: u32,
        /// The number of these tokens.
        count: u16,
        /// Their text.
        text: String,
    },
    /// Engine to router: an attempt has ended. The status is never [`AttemptStatus::Prefilled`].
    Outcome {
        /// Identifies the attempt.
        key: AttemptKey,
        /// The final status.
        status: AttemptStatus,
        /// An [`OutcomeNote`](gaparch_scheduler::api::OutcomeNote), whose meaning depends on the status.
        note: u64,
        /// The number of tokens of the answer that were produced.
        produced_tokens: u32,
        /// The load of the engine, if it reports it.
        report: Option<LoadReport>,
    },
    /// Engine to router: the answer to a reservation request.
    Reserved {
        /// Identifies the attempt.
        key: AttemptKey,
        /// Whether the slot and the memory are reserved.
        reserved: bool,
    },
    /// Engine to router: the answer to a probe.
    Probed {
        /// The number from the probe.
        nonce: u64,
        /// The load of the engine, if it reports it.
        report: Option<LoadReport>,
    },
    /// Engine to router: a load report outside of any answer.
    LoadReport(LoadReport),
    /// Engine to engine: requests a KV cache.
    Fetch {
        /// Identifies the KV cache.
        kv_cache: KvCacheKey,
    },
    /// Engine to engine: a KV cache, which the sender has released.
    KvCache {
        /// Identifies the KV cache.
        kv_cache: KvCacheKey,
        /// The number of tokens in it.
        tokens: u32,
        /// The prompt.
        prompt: String,
    },
    /// Engine to engine: the KV cache can't be sent.
    KvCacheUnavailable {
        /// Identifies the KV cache.
        kv_cache: KvCacheKey,
        /// The reason.
        reason: KvCacheUnavailable,
    },
    /// The last frame in either direction: the sender closes the connection.
    Bye {
        /// The human-readable reason.
        reason: String,
    },
}

impl EngineFrame {
    /// The attempt that the frame refers to, if any.
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
