//! A request in flight, with its attempt and the location of its KV cache.

use super::{Attempt, MayHaveRun, RingPosition, Stage, TrafficClassKey};
use crate::api::{AffinityKey, Nanos, Request, ServerId};

/// The key of a request's session; a request without a session is keyed by its own id.
pub fn session_key(request: &Request) -> AffinityKey {
    request.session.unwrap_or(AffinityKey(request.id.0))
}

/// The prefill workers that a request prefers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefillAffinity {
    /// The number of prefill workers over which requests with its shared prefix are spread.
    pub workers: usize,
    /// Where on the hash ring the search for its servers starts.
    pub position: RingPosition,
}

impl PrefillAffinity {
    /// The affinity of a request whose shared prefix is spread over `workers` prefill workers. If these are
    /// more than one neighbourhood holds, the prefix gets one ring position per `neighborhood` workers, and
    /// sessions are distributed over the positions.
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
    /// Since when it is held with no attempt known to have reached a server to fetch it; the time within
    /// which it has to be released starts here.
    pub held_since: Nanos,
}

/// What is known about a request when it arrives.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// The request; its prompt length is given or estimated.
    pub request: Request,
    /// When it arrived.
    pub arrived_at: Nanos,
    /// Whether its tenant has exceeded its quota.
    pub over_quota: bool,
    /// When its first token is due by its latency objective.
    pub objective_at: Nanos,
    /// The expected length of its answer, in tokens.
    pub expected_output_tokens: f64,
    /// The prefill workers that it prefers.
    pub affinity: PrefillAffinity,
}

/// A request that is in flight.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// What was known when it arrived.
    pub facts: RequestFacts,
    /// The key of a pseudo-random order of servers, to break ties; differs by request and router.
    pub tie_breaker: AffinityKey,
    /// Where on the hash ring the search for servers starts in a large fleet; advances while there is no
    /// capacity.
    pub position: RingPosition,
    /// The number of attempts sent so far.
    pub attempt_count: u32,
    /// The attempt that is in flight.
    pub attempt: Option<Attempt>,
    /// Where its KV cache is held, once its prompt is prefilled.
    pub kv_cache: Option<KvCacheLocation>,
    /// An earlier attempt that may have run, if the request is not idempotent.
    pub may_have_run: Option<MayHaveRun>,
    /// Servers where an attempt failed.
    pub failed_servers: Vec<ServerId>,
    /// When its first attempt was sent.
    pub first_sent_at: Option<Nanos>,
    /// Until when it waits for responses to load probes.
    pub probe_deadline: Option<Nanos>,
    /// Whether the final answer was given or the client has disconnected; the entry is kept until the attempt
    /// ends.
    pub finished: bool,
}

impl InFlightRequest {
    /// A request that has just arrived at the router whose seed is `seed`.
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

    /// When its KV cache has to be fetched or released, if it may be held for `release_within`; `Nanos::MAX`
    /// without a KV cache.
    pub fn kv_release_at(&self, release_within: Nanos) -> Nanos {
        self.kv_cache.map_or(Nanos::MAX, |kv| kv.held_since.saturating_add(release_within))
    }

    /// The time from arrival to the latency objective for the first token, in nanoseconds.
    pub fn time_to_objective(&self) -> f64 {
        self.facts.objective_at.saturating_sub(self.facts.arrived_at) as f64
    }

    /// Its traffic class and tenant.
    pub fn traffic(&self) -> TrafficClassKey {
        TrafficClassKey { class: self.request().class, tenant: self.request().tenant }
    }

    /// Whether it still waits for responses to load probes.
    pub fn awaits_probes(&self, now: Nanos) -> bool {
        self.probe_deadline.is_some_and(|deadline| now < deadline)
    }

    /// Whether no token of its answer has been received and it is not finished.
    pub fn awaits_first_token(&self) -> bool {
        !self.finished && !self.attempt.is_some_and(|attempt| attempt.is_streaming())
    }

    /// Whether a decode worker will have to fetch its KV cache.
    pub fn will_need_decode(&self) -> bool {
        if self.finished {
            return false;
        }
        match self.attempt {
            Some(attempt) => attempt.stage == Stage::Prefill,
            None => self.kv_cache.is_some(),
        }
    }

    /// KV cache tokens that it is expected to need on a decode worker.
    pub fn expected_kv_tokens(&self) -> f64 {
        self.request().prompt_tokens + self.facts.expected_output_tokens
    }
}
