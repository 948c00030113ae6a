//! A request from its acceptance to its one final answer.

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

/// A request whose names have been looked up.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedRequest {
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub session: Option<AffinityKey>,
    pub prefix: Option<AffinityKey>,
    /// Tokens; 0 where not told.
    pub prompt_tokens: u32,
    pub prefix_tokens: u32,
    pub max_output_tokens: u32,
    /// Rough length of the answer in tokens.
    pub expected_output_tokens: Option<u32>,
    pub client_retry: bool,
    /// It asks for the rest of a stream that broke.
    pub client_reconnect: bool,
    /// When its client leaves, where it says so itself.
    pub deadline_at: Option<Nanos>,
    pub prompt: String,
    /// The same for the same question of the same client, as far as can be told.
    pub fingerprint: u64,
}

impl AcceptedRequest {
    /// How soon its first token is wanted, by what its client has told.
    pub(super) fn latency_objective(&self, settings: &Settings) -> Nanos {
        let class = settings.classes.get(self.class.0);
        let (aim, per_token) =
            class.map_or((0, 0.0), |c| (c.latency_objective, c.latency_objective_per_prompt_token));
        aim.saturating_add((per_token * f64::from(self.prompt_tokens)) as Nanos)
    }

    /// As the module is told of it. Where the client does not say, the deadline grows twice as much with the prompt as the aim does.
    pub(super) fn to_scheduler_request(&self, id: RequestId, settings: &Settings, now: Nanos) -> Request {
        let class = settings.classes.get(self.class.0);
        let (deadline, per_token, token_aim) = class.map_or((0, 0.0, 0), |c| {
            (c.deadline, c.latency_objective_per_prompt_token, c.token_latency_objective)
        });
        let longer = 2.0 * per_token * f64::from(self.prompt_tokens);
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
                .map(|tokens| Nanos::from(tokens).saturating_mul(token_aim))
                .filter(|h| *h > 0),
            deadline_at: self
                .deadline_at
                .unwrap_or_else(|| now.saturating_add(deadline).saturating_add(longer as Nanos)),
            client_retry: self.client_retry,
            client_reconnect: self.client_reconnect,
        }
    }

    pub(super) fn job(&self, id: RequestId, no: AttemptNumber, give_up_at: Nanos, now: Nanos) -> Job {
        let patience_ms = give_up_at.saturating_sub(now) / 1_000_000;
        Job {
            key: AttemptKey { request: id.0, attempt: no.0 },
            class: u16::try_from(self.class.0).unwrap_or(u16::MAX),
            tenant: self.tenant.and_then(|t| u16::try_from(t.0).ok()),
            session: self.session.map(|k| k.0),
            prefix: self.prefix.map(|k| k.0),
            prompt_tokens: self.prompt_tokens,
            prefix_tokens: self.prefix_tokens,
            max_output_tokens: self.max_output_tokens,
            timeout_ms: u32::try_from(patience_ms.max(1)).unwrap_or(u32::MAX),
            prompt: self.prompt.clone(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Prefill,
    Decode,
}

/// How far an attempt in flight has got.
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
    /// Its time-out, or the limit of its stream once it has started.
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

/// How far a request has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Queued,
    Prefilling,
    Prefilled,
    Decoding,
    Streaming,
    Ended,
}

#[derive(Clone, Debug)]
pub(super) struct TrackedRequest {
    pub request: AcceptedRequest,
    pub deadline_at: Nanos,
    pub next_attempt: u32,
    /// When the last byte of the attempt that is out has to be written.
    pub send_by: Nanos,
    /// Falls due where the module has not answered in the client's time.
    pub overdue_timer: Option<TimerKey>,
    pub attempt: Option<Attempt>,
    /// Its first write that may have run.
    pub may_have_run: Option<MayHaveRun>,
    /// The reader whose state a writer is to fetch.
    pub kv_cache_at: Option<ServerId>,
    /// When the read of that state ended.
    pub kv_cache_since: Option<Nanos>,
    /// How its last attempt ended.
    pub last_status: Option<AttemptStatus>,
    /// Engines that hold something for it.
    pub kv_held_at: Vec<ServerId>,
    /// The final answer is given: only the books are still open.
    pub answered: bool,
    pub usage: Usage,
    pub streaming_since: Nanos,
    pub last_token_at: Nanos,
    pub arrived_at: Nanos,
    pub first_token_at: Option<Nanos>,
    /// The first [`MAX_STEPS`] attempts.
    pub attempt_records: Vec<AttemptRecord>,
}

/// An attempt, for whoever asks what became of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptRecord {
    pub server: ServerId,
    pub stage: Stage,
    pub started_at: Nanos,
    pub duration: Nanos,
    pub end: AttemptEnd,
}

impl TrackedRequest {
    pub fn new(ask: AcceptedRequest, give_up_at: Nanos, now: Nanos) -> TrackedRequest {
        TrackedRequest {
            usage: Usage { prompt_tokens: ask.prompt_tokens, ..Usage::default() },
            request: ask,
            deadline_at: give_up_at,
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

    /// Notes an attempt that begins.
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

    /// Notes how the last attempt ended.
    pub fn record_attempt_end(&mut self, status: AttemptStatus, now: Nanos) {
        let out = self.attempt_records.last_mut().filter(|s| s.end == AttemptEnd::InFlight);
        if let Some(step) = out {
            step.duration = now.saturating_sub(step.started_at);
            step.end = match status {
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

    /// Answered, with nothing out and nothing held.
    pub fn can_be_forgotten(&self) -> bool {
        self.answered && self.attempt.is_none() && self.kv_held_at.is_empty()
    }

    pub fn add_kv_holder(&mut self, server: ServerId) {
        if !self.kv_held_at.contains(&server) {
            self.kv_held_at.push(server);
        }
    }

    /// When a begun stream has taken too long, as things stand.
    pub fn stream_deadline(&self, times: &[ClassTimes]) -> Nanos {
        let times = times.get(self.request.class.0).copied();
        let times = times.unwrap_or(ClassTimes { stream: Nanos::MAX, silence: Nanos::MAX });
        let whole = self.streaming_since.saturating_add(times.stream);
        whole.min(self.last_token_at.saturating_add(times.silence))
    }
}
