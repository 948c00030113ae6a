//! A request from its arrival to its one final answer, and the attempt in flight for it.

use super::timers::TimerKey;
use gaparch_config::ClassTimes;
use gaparch_protocol::client::Usage;
use gaparch_protocol::engine::{AttemptKey, Job};
use gaparch_protocol::ops::outcome::{AttemptEnd, MAX_ATTEMPTS};
use gaparch_scheduler::api::{
    AffinityKey, AttemptNumber, AttemptStatus, ClassId, Nanos, Request, RequestId, ServerId, Settings,
    TenantId,
};
use gaparch_scheduler::state::MayHaveRun;

/// A request whose class, tenant and keys are resolved.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedRequest {
    /// Its traffic class.
    pub class: ClassId,
    /// Its tenant, if the settings identify tenants by keys.
    pub tenant: Option<TenantId>,
    /// The client's session (a conversation) that it belongs to.
    pub session: Option<AffinityKey>,
    /// The shared prefix of its prompt.
    pub prefix: Option<AffinityKey>,
    /// Tokens of the prompt; 0 if not known.
    pub prompt_tokens: u32,
    /// Tokens of the shared prefix; 0 if not known.
    pub prefix_tokens: u32,
    /// The most tokens that may be generated.
    pub max_output_tokens: u32,
    /// Estimate of the tokens that will be generated.
    pub expected_output_tokens: Option<u32>,
    /// Whether the client says that it has sent this request before.
    pub client_retry: bool,
    /// Whether the client asks for the rest of a broken stream.
    pub client_reconnect: bool,
    /// When the client stops waiting, in nanoseconds since the Unix epoch, if it states a deadline.
    pub deadline_at: Option<Nanos>,
    /// The text of the prompt.
    pub prompt: String,
    /// A hash that is equal for the same prompt in the same session, by which retries are recognized.
    pub fingerprint: u64,
}

impl AcceptedRequest {
    /// The time within which its first token should come.
    pub(super) fn latency_objective(&self, settings: &Settings) -> Nanos {
        let class = settings.classes.get(self.class.0);
        let (objective, per_token) =
            class.map_or((0, 0.0), |c| (c.latency_objective, c.latency_objective_per_prompt_token));
        objective.saturating_add((per_token * f64::from(self.prompt_tokens)) as Nanos)
    }

    /// The request as the scheduler sees it. If the client states no deadline, that of the class applies, and
    /// it grows with the prompt length at twice the rate of the latency objective.
    pub(super) fn to_scheduler_request(&self, id: RequestId, settings: &Settings, now: Nanos) -> Request {
        let class = settings.classes.get(self.class.0);
        let (deadline, per_token, per_output_token) = class.map_or((0, 0.0, 0), |c| {
            (c.deadline, c.latency_objective_per_prompt_token, c.token_latency_objective)
        });
        let prompt_allowance = 2.0 * per_token * f64::from(self.prompt_tokens);
        Request {
            id,
            class: self.class,
            tenant: self.tenant,
            session: self.session,
            prefix: self.prefix,
            prompt_tokens: f64::from(self.prompt_tokens),
            prefix_tokens: f64::from(self.prefix_tokens),
            max_output_tokens: f64::from(self.max_output_tokens),
            expected_duration: self
                .expected_output_tokens
                .map(|tokens| Nanos::from(tokens).saturating_mul(per_output_token))
                .filter(|duration| *duration > 0),
            deadline_at: self
                .deadline_at
                .unwrap_or_else(|| now.saturating_add(deadline).saturating_add(prompt_allowance as Nanos)),
            client_retry: self.client_retry,
            client_reconnect: self.client_reconnect,
        }
    }

    /// The job that is sent to an engine for one attempt.
    pub(super) fn job(&self, id: RequestId, number: AttemptNumber, deadline_at: Nanos, now: Nanos) -> Job {
        let timeout_ms = deadline_at.saturating_sub(now) / 1_000_000;
        Job {
            key: AttemptKey { request: id.0, attempt: number.0 },
            class: u16::try_from(self.class.0).unwrap_or(u16::MAX),
            tenant: self.tenant.and_then(|tenant| u16::try_from(tenant.0).ok()),
            session: self.session.map(|key| key.0),
            prefix: self.prefix.map(|key| key.0),
            prompt_tokens: self.prompt_tokens,
            prefix_tokens: self.prefix_tokens,
            max_output_tokens: self.max_output_tokens,
            timeout_ms: u32::try_from(timeout_ms.max(1)).unwrap_or(u32::MAX),
            prompt: self.prompt.clone(),
        }
    }
}

/// The stage of a request that an attempt serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Prefill,
    Decode,
}

/// The state of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// Its engine is being connected to; nothing was sent yet.
    AwaitingConnection,
    /// It was sent.
    AwaitingFirstToken,
    /// Its response has started.
    Streaming,
}

/// The attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Attempt {
    pub number: AttemptNumber,
    pub server: ServerId,
    pub stage: Stage,
    pub sent_at: Nanos,
    pub state: AttemptState,
    /// Its timeout, or the limit of its stream once it has started.
    pub timer: TimerKey,
}

impl Attempt {
    pub fn awaits_connection(&self) -> bool {
        self.state == AttemptState::AwaitingConnection
    }

    pub fn is_streaming(&self) -> bool {
        self.state == AttemptState::Streaming
    }
}

/// The phase that a request has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No attempt is in flight, and there is no KV cache.
    Queued,
    /// A prefill is in flight.
    Prefilling,
    /// Its KV cache waits for a decode.
    Prefilled,
    /// A decode is in flight and has no token yet.
    Decoding,
    /// Its response has started.
    Streaming,
    /// Its final answer was given.
    Ended,
}

/// A request as the core tracks it.
#[derive(Clone, Debug)]
pub(super) struct TrackedRequest {
    pub request: AcceptedRequest,
    pub deadline_at: Nanos,
    pub next_attempt: u32,
    /// When the last byte of the attempt in flight must be written at the latest.
    pub send_by: Nanos,
    /// Fails the request if the scheduler has not answered by the client's deadline.
    pub overdue_timer: Option<TimerKey>,
    pub attempt: Option<Attempt>,
    /// Its first decode attempt that may have run.
    pub may_have_run: Option<MayHaveRun>,
    /// The prefill worker that has its KV cache.
    pub kv_cache_at: Option<ServerId>,
    /// When the prefill of that KV cache ended.
    pub kv_cache_since: Option<Nanos>,
    /// How its last attempt ended.
    pub last_status: Option<AttemptStatus>,
    /// Engines that hold its KV cache or a KV reservation for it.
    pub kv_held_at: Vec<ServerId>,
    /// The final answer was given; an attempt may still be in flight, and engines may still hold something.
    pub answered: bool,
    pub usage: Usage,
    pub streaming_since: Nanos,
    pub last_token_at: Nanos,
    pub arrived_at: Nanos,
    pub first_token_at: Option<Nanos>,
    /// The first [`MAX_ATTEMPTS`] attempts.
    pub attempt_records: Vec<AttemptRecord>,
}

/// The record of an attempt, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptRecord {
    pub server: ServerId,
    pub stage: Stage,
    pub started_at: Nanos,
    pub duration: Nanos,
    pub end: AttemptEnd,
}

impl TrackedRequest {
    pub fn new(request: AcceptedRequest, deadline_at: Nanos, now: Nanos) -> TrackedRequest {
        TrackedRequest {
            usage: Usage { prompt_tokens: request.prompt_tokens, ..Usage::default() },
            request,
            deadline_at,
            next_attempt: 0,
            send_by: Nanos::MAX,
            overdue_timer: None,
            attempt: None,
            may_have_run: None,
            kv_cache_at: None,
            kv_cache_since: None,
            last_status: None,
            kv_held_at: Vec::new(),
            answered: false,
            streaming_since: 0,
            last_token_at: 0,
            arrived_at: now,
            first_token_at: None,
            attempt_records: Vec::new(),
        }
    }

    /// Records that an attempt starts.
    pub fn record_attempt_start(&mut self, server: ServerId, stage: Stage, now: Nanos) {
        if self.attempt_records.len() < MAX_ATTEMPTS {
            self.attempt_records.push(AttemptRecord {
                server,
                stage,
                started_at: now,
                duration: 0,
                end: AttemptEnd::InFlight,
            });
        }
    }

    /// Records how the last attempt ended.
    pub fn record_attempt_end(&mut self, status: AttemptStatus, now: Nanos) {
        let in_flight = self.attempt_records.last_mut().filter(|record| record.end == AttemptEnd::InFlight);
        if let Some(record) = in_flight {
            record.duration = now.saturating_sub(record.started_at);
            record.end = match status {
                AttemptStatus::Ok | AttemptStatus::Prefilled => AttemptEnd::Completed,
                AttemptStatus::Error | AttemptStatus::Unknown | AttemptStatus::Expired => AttemptEnd::Error,
                AttemptStatus::Rejected => AttemptEnd::Rejected,
                AttemptStatus::Timeout => AttemptEnd::Timeout,
                AttemptStatus::ConnectFailed | AttemptStatus::NoSocket => AttemptEnd::ConnectFailed,
                AttemptStatus::Reset => AttemptEnd::Reset,
                AttemptStatus::Cancelled => AttemptEnd::Cancelled,
            };
        }
    }

    pub fn phase(&self) -> Phase {
        match self.attempt {
            _ if self.answered => Phase::Ended,
            Some(Attempt { state: AttemptState::Streaming, .. }) => Phase::Streaming,
            Some(Attempt { stage: Stage::Prefill, .. }) => Phase::Prefilling,
            Some(_) => Phase::Decoding,
            None if self.kv_cache_at.is_some() => Phase::Prefilled,
            None => Phase::Queued,
        }
    }

    /// Whether it is answered, nothing is in flight for it and engines hold nothing for it.
    pub fn can_be_forgotten(&self) -> bool {
        self.answered && self.attempt.is_none() && self.kv_held_at.is_empty()
    }

    pub fn add_kv_holder(&mut self, server: ServerId) {
        if !self.kv_held_at.contains(&server) {
            self.kv_held_at.push(server);
        }
    }

    /// When its stream exceeds its limits, if no further token arrives.
    pub fn stream_deadline(&self, times: &[ClassTimes]) -> Nanos {
        let times = times.get(self.request.class.0).copied();
        let times = times.unwrap_or(ClassTimes { stream: Nanos::MAX, silence: Nanos::MAX });
        let max_duration_at = self.streaming_since.saturating_add(times.stream);
        max_duration_at.min(self.last_token_at.saturating_add(times.silence))
    }
}
