//! A request from its acceptance to its one final answer.

use super::timers::TimerKey;
use gaparch_config::ClassTimes;
use gaparch_protocol::client::Usage;
use gaparch_protocol::engine::{AttemptKey, Job};
use gaparch_protocol::ops::ending::{StepEnd, MAX_STEPS};
use gaparch_scheduler::api::{
    AffinityKey, AttemptNumber, AttemptStatus, ClassId, Nanos, Request, RequestId, ServerId, Settings,
    TenantId,
};
use gaparch_scheduler::state::MayHaveRun;

/// A request whose names have been looked up.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub session: Option<AffinityKey>,
    pub prefix: Option<AffinityKey>,
    /// Tokens; 0 where not told.
    pub prompt_len: u32,
    pub prefix_len: u32,
    pub max_out: u32,
    /// Rough length of the answer in tokens.
    pub hint: Option<u32>,
    pub repeat: bool,
    /// It asks for the rest of a stream that broke.
    pub again: bool,
    /// When its client leaves, where it says so itself.
    pub give_up_at: Option<Nanos>,
    pub prompt: String,
    /// The same for the same question of the same client, as far as can be told.
    pub fingerprint: u64,
}

impl Accepted {
    /// How soon its first token is wanted, by what its client has told.
    pub(super) fn aim(&self, settings: &Settings) -> Nanos {
        let class = settings.classes.get(self.class.0);
        let (aim, per_token) =
            class.map_or((0, 0.0), |c| (c.latency_objective, c.latency_objective_per_prompt_token));
        aim.saturating_add((per_token * f64::from(self.prompt_len)) as Nanos)
    }

    /// As the module is told of it. Where the client does not say, the deadline grows twice as much with the prompt as the aim does.
    pub(super) fn request(&self, id: RequestId, settings: &Settings, now: Nanos) -> Request {
        let class = settings.classes.get(self.class.0);
        let (deadline, per_token, token_aim) = class.map_or((0, 0.0, 0), |c| {
            (c.deadline, c.latency_objective_per_prompt_token, c.token_latency_objective)
        });
        let longer = 2.0 * per_token * f64::from(self.prompt_len);
        Request {
            id,
            class: self.class,
            tenant: self.tenant,
            session: self.session,
            prefix: self.prefix,
            prompt_tokens: f64::from(self.prompt_len),
            prefix_tokens: f64::from(self.prefix_len),
            max_output_tokens: f64::from(self.max_out),
            expected_duration: self
                .hint
                .map(|tokens| Nanos::from(tokens).saturating_mul(token_aim))
                .filter(|h| *h > 0),
            deadline_at: self
                .give_up_at
                .unwrap_or_else(|| now.saturating_add(deadline).saturating_add(longer as Nanos)),
            client_retry: self.repeat,
            client_reconnect: self.again,
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
            prompt_len: self.prompt_len,
            prefix_len: self.prefix_len,
            max_out: self.max_out,
            patience_ms: u32::try_from(patience_ms.max(1)).unwrap_or(u32::MAX),
            prompt: self.prompt.clone(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Read,
    Write,
}

/// The attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Attempt {
    pub no: AttemptNumber,
    pub server: ServerId,
    pub stage: Stage,
    pub sent_at: Nanos,
    /// The answer has begun.
    pub begun: bool,
    /// For its connection; nothing has been written yet.
    pub waits: bool,
    /// Its time-out, or that of its stream once it has begun.
    pub timer: TimerKey,
}

/// Where a request is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Held,
    Reading,
    Read,
    Writing,
    Streaming,
    Ended,
}

#[derive(Clone, Debug)]
pub(super) struct Live {
    pub ask: Accepted,
    pub give_up_at: Nanos,
    pub next_attempt: u32,
    /// When the last byte of the attempt that is out has to be written.
    pub write_by: Nanos,
    /// Falls due where the module has not answered in the client's time.
    pub overdue: Option<TimerKey>,
    pub attempt: Option<Attempt>,
    /// Its first write that may have run.
    pub ran: Option<MayHaveRun>,
    /// The reader whose state a writer is to fetch.
    pub state_at: Option<ServerId>,
    /// When the read of that state ended.
    pub held_since: Option<Nanos>,
    /// How its last attempt ended.
    pub last_status: Option<AttemptStatus>,
    /// Engines that hold something for it.
    pub held_at: Vec<ServerId>,
    /// The final answer is given: only the books are still open.
    pub ended: bool,
    pub usage: Usage,
    pub begun_at: Nanos,
    pub last_token_at: Nanos,
    pub asked_at: Nanos,
    pub first_at: Option<Nanos>,
    /// The first [`MAX_STEPS`] attempts.
    pub steps: Vec<StepNote>,
}

/// An attempt, for whoever asks what became of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StepNote {
    pub server: ServerId,
    pub stage: Stage,
    pub from: Nanos,
    pub took: Nanos,
    pub end: StepEnd,
}

impl Live {
    pub fn new(ask: Accepted, give_up_at: Nanos, now: Nanos) -> Live {
        Live {
            usage: Usage { prompt: ask.prompt_len, ..Usage::default() },
            ask,
            give_up_at,
            next_attempt: 0,
            write_by: Nanos::MAX,
            overdue: None,
            attempt: None,
            ran: None,
            state_at: None,
            held_since: None,
            last_status: None,
            held_at: Vec::new(),
            ended: false,
            begun_at: 0,
            last_token_at: 0,
            asked_at: now,
            first_at: None,
            steps: Vec::new(),
        }
    }

    /// Notes an attempt that begins.
    pub fn step_begins(&mut self, server: ServerId, stage: Stage, now: Nanos) {
        if self.steps.len() < MAX_STEPS {
            self.steps.push(StepNote { server, stage, from: now, took: 0, end: StepEnd::Out });
        }
    }

    /// Notes how the last attempt ended.
    pub fn step_ends(&mut self, status: AttemptStatus, now: Nanos) {
        let out = self.steps.last_mut().filter(|s| s.end == StepEnd::Out);
        if let Some(step) = out {
            step.took = now.saturating_sub(step.from);
            step.end = match status {
                AttemptStatus::Ok | AttemptStatus::Prefilled => StepEnd::Done,
                AttemptStatus::Error | AttemptStatus::Unknown | AttemptStatus::Expired => StepEnd::Error,
                AttemptStatus::Rejected => StepEnd::Full,
                AttemptStatus::Timeout => StepEnd::Timeout,
                AttemptStatus::ConnectFailed | AttemptStatus::NoSocket => StepEnd::ConnectFailed,
                AttemptStatus::Reset => StepEnd::Reset,
                AttemptStatus::Cancelled => StepEnd::CalledOff,
            };
        }
    }

    pub fn phase(&self) -> Phase {
        match self.attempt {
            _ if self.ended => Phase::Ended,
            Some(Attempt { begun: true, .. }) => Phase::Streaming,
            Some(Attempt { stage: Stage::Read, .. }) => Phase::Reading,
            Some(_) => Phase::Writing,
            None if self.state_at.is_some() => Phase::Read,
            None => Phase::Held,
        }
    }

    /// Answered, with nothing out and nothing held.
    pub fn is_done(&self) -> bool {
        self.ended && self.attempt.is_none() && self.held_at.is_empty()
    }

    pub fn hold(&mut self, server: ServerId) {
        if !self.held_at.contains(&server) {
            self.held_at.push(server);
        }
    }

    /// When a begun stream has taken too long, as things stand.
    pub fn stream_until(&self, times: &[ClassTimes]) -> Nanos {
        let times = times.get(self.ask.class.0).copied();
        let times = times.unwrap_or(ClassTimes { stream: Nanos::MAX, silence: Nanos::MAX });
        let whole = self.begun_at.saturating_add(times.stream);
        whole.min(self.last_token_at.saturating_add(times.silence))
    }
}
