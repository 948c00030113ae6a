//! One request that is in flight: what is known of it, its attempt and its KV cache.

use super::{Attempt, MayHaveRun, RingPosition, Stage, TrafficClassKey};
use crate::api::{AffinityKey, Nanos, Request, ServerId};

/// The key of a request's session; a request without one is a session of its own.
pub fn session_key(request: &Request) -> AffinityKey {
    request.session.unwrap_or(AffinityKey(request.id.0))
}

/// Which prefill workers a request prefers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefillAffinity {
    /// The number of prefill workers over which requests with its shared prefix are spread.
    pub workers: usize,
    /// Where on the ring its servers are looked for.
    pub position: RingPosition,
}

impl PrefillAffinity {
    /// The affinity of a request whose shared prefix is spread over so many workers. With more than
    /// fit into one neighbourhood there is a ring position for each `neighborhood` of them, over
    /// which sessions are spread.
    pub fn of(request: &Request, workers: usize, neighborhood: usize) -> PrefillAffinity {
        let session = session_key(request);
        let positions = workers.div_ceil(neighborhood).max(1) as u64;
        let number = (session.rendezvous_rank(ServerId(0)) % positions) as u32;
        let point = request.prefix.unwrap_or(session).rendezvous_rank(ServerId(number));
        PrefillAffinity { workers, position: RingPosition::Key(point) }
    }
}

/// The server that holds a request's KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KvCacheLocation {
    /// The prefill worker that computed it.
    pub server: ServerId,
    /// Since when it is held with no attempt known to have arrived for it: its release time runs
    /// from then.
    pub held_since: Nanos,
}

/// What is known of a request as it arrives.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// The request; its prompt length is known or guessed.
    pub request: Request,
    /// When it arrived.
    pub arrived_at: Nanos,
    /// Its tenant has sent more than its quota.
    pub over_quota: bool,
    /// When its first token is due by its latency objective.
    pub objective_at: Nanos,
    /// The expected length of its answer, in tokens.
    pub expected_output_tokens: f64,
    /// Which prefill workers it prefers.
    pub affinity: PrefillAffinity,
}

/// A request that is in flight.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// What was known as it arrived.
    pub facts: RequestFacts,
    /// An order of servers that differs for each request and router, to break ties.
    pub tie_breaker: AffinityKey,
    /// Where its servers are looked for, if there are many; moves on while there is no capacity.
    pub position: RingPosition,
    /// The number of attempts that were sent.
    pub attempt_count: u32,
    /// The attempt that is in flight.
    pub attempt: Option<Attempt>,
    /// Where its KV cache is held, once its prompt is prefilled.
    pub kv_cache: Option<KvCacheLocation>,
    /// An earlier attempt that may have run, if a second one would not be harmless.
    pub may_have_run: Option<MayHaveRun>,
    /// Servers where an attempt failed.
    pub failed_servers: Vec<ServerId>,
    /// When its first attempt was sent.
    pub first_sent_at: Option<Nanos>,
    /// Until when it waits for answers of load probes.
    pub probe_deadline: Option<Nanos>,
    /// Its final answer was given: only its attempt is still to end.
    pub finished: bool,
}

impl InFlightRequest {
    /// A request that has just arrived at the router with that seed.
    pub fn new(facts: RequestFacts, seed: u64) -> InFlightRequest {
        InFlightRequest {
            tie_breaker: AffinityKey(facts.request.id.0 ^ seed),
            position: facts.affinity.position,
            facts,
            attempt_count: 0,
            attempt: None,
            kv_cache: None,
            may_have_run: None,
            failed_servers: Vec::new(),
            first_sent_at: None,
            probe_deadline: None,
            finished: false,
        }
    }

    /// The request as it arrived.
    pub fn request(&self) -> &Request {
        &self.facts.request
    }

    /// When its KV cache has to be fetched or released, if it may be held for that span.
    pub fn kv_release_at(&self, release_within: Nanos) -> Nanos {
        self.kv_cache.map_or(Nanos::MAX, |kv| kv.held_since.saturating_add(release_within))
    }

    /// The time that its latency objective leaves for the first token, in nanoseconds.
    pub fn time_to_objective(&self) -> f64 {
        self.facts.objective_at.saturating_sub(self.facts.arrived_at) as f64
    }

    /// Its class and tenant.
    pub fn traffic(&self) -> TrafficClassKey {
        TrafficClassKey { class: self.request().class, tenant: self.request().tenant }
    }

    /// It still waits for answers of load probes.
    pub fn awaits_probes(&self, now: Nanos) -> bool {
        self.probe_deadline.is_some_and(|deadline| now < deadline)
    }

    /// No token of its answer has come, and no final answer was given.
    pub fn awaits_first_token(&self) -> bool {
        !self.finished && !self.attempt.is_some_and(|attempt| attempt.is_streaming())
    }

    /// A decode worker will have to take its KV cache.
    pub fn will_need_decode(&self) -> bool {
        if self.finished {
            return false;
        }
        match self.attempt {
            Some(attempt) => attempt.stage == Stage::Prefill,
            None => self.kv_cache.is_some(),
        }
    }

    /// KV cache tokens that it is expected to need at a decode worker.
    pub fn expected_kv_tokens(&self) -> f64 {
        self.request().prompt_tokens + self.facts.expected_output_tokens
    }
}
