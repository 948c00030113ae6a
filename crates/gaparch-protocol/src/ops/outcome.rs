//! Outcomes of requests: how and why they ended.

use crate::wire::{choice, closed_set, record};
use gaparch_scheduler::api;

closed_set! {
    /// How a request ended.
    pub enum OutcomeKind {
        /// It was answered completely.
        Served = 1, "served";
        /// It was rejected before any part of the answer was sent; a retry is harmless.
        Rejected = 2, "refused";
        /// It may have run, but its answer is not complete.
        Failed = 3, "failed";
        /// Its client closed the connection before the end of the answer.
        ClientDisconnected = 4, "left";
    }
}

closed_set! {
    /// The cause of an outcome. Causes from `UnknownClass` to `TooLate` are reasons of the scheduler; later
    /// ones are determined by the router, for requests that did not reach the scheduler or whose answer had
    /// started.
    pub enum OutcomeCause {
        /// The answer is complete.
        Answered = 1, "answered";
        /// Its traffic class is not defined in the settings.
        UnknownClass = 2, "unknown-class";
        /// Its deadline has passed.
        DeadlineExceeded = 3, "deadline";
        /// It could no longer meet its latency objective.
        ObjectiveMissed = 4, "aim-lost";
        /// Its KV cache had to be released before a decode worker was available.
        KvReleaseTimeout = 5, "release-time";
        /// The remaining attempts were too few to complete it.
        AttemptsExhausted = 6, "attempts-used";
        /// An attempt may have run, and the request must not run twice.
        MayHaveRun = 7, "may-have-run";
        /// An attempt expired before it could be sent.
        TooLate = 8, "too-late";
        /// An operator has paused admission.
        Paused = 20, "paused";
        /// The router is shutting down.
        Stopping = 21, "stopping";
        /// The limit of open requests is reached.
        TooManyOpen = 22, "too-much-open";
        /// The stream of its answer was interrupted.
        StreamBroken = 23, "broke-off";
        /// The stream of its answer stalled, or exceeded the maximum duration.
        StreamStalled = 24, "stalled";
        /// Its client closed the connection.
        ClientDisconnected = 25, "client-left";
        /// The scheduler did not end it in time. This indicates a bug.
        Overdue = 26, "overdue";
    }
}

impl From<api::GiveUpReason> for OutcomeCause {
    fn from(reason: api::GiveUpReason) -> OutcomeCause {
        match reason {
            api::GiveUpReason::UnknownClass => OutcomeCause::UnknownClass,
            api::GiveUpReason::DeadlineExceeded => OutcomeCause::DeadlineExceeded,
            api::GiveUpReason::ObjectiveMissed => OutcomeCause::ObjectiveMissed,
            api::GiveUpReason::KvReleaseTimeout => OutcomeCause::KvReleaseTimeout,
            api::GiveUpReason::AttemptsExhausted => OutcomeCause::AttemptsExhausted,
            api::GiveUpReason::MayHaveRun => OutcomeCause::MayHaveRun,
            api::GiveUpReason::TooLate => OutcomeCause::TooLate,
        }
    }
}

closed_set! {
    /// What a request was waiting for in the queue when it ended, as reported by the scheduler.
    pub enum QueueingReason {
        /// No decode worker was available.
        NoDecodeWorker = 1, "no-writer";
        /// No prefill worker was available.
        NoPrefillWorker = 2, "no-reader";
        /// Its tenant was over quota.
        OverQuota = 3, "over-share";
        /// All decode workers were saturated.
        DecodeWorkersSaturated = 4, "writers-full";
        /// All prefill workers were saturated.
        PrefillWorkersSaturated = 5, "readers-full";
    }
}

impl From<api::QueueingReason> for QueueingReason {
    fn from(reason: api::QueueingReason) -> QueueingReason {
        match reason {
            api::QueueingReason::NoDecodeWorker => QueueingReason::NoDecodeWorker,
            api::QueueingReason::NoPrefillWorker => QueueingReason::NoPrefillWorker,
            api::QueueingReason::OverQuota => QueueingReason::OverQuota,
            api::QueueingReason::DecodeWorkersSaturated => QueueingReason::DecodeWorkersSaturated,
            api::QueueingReason::PrefillWorkersSaturated => QueueingReason::PrefillWorkersSaturated,
        }
    }
}

closed_set! {
    /// The stage of a request that an attempt performs.
    pub enum Stage {
        /// Prefill of the prompt.
        Prefill = 1, "read";
        /// Decode of the answer.
        Decode = 2, "write";
    }
}

closed_set! {
    /// How an attempt ended.
    pub enum AttemptEnd {
        /// It has not ended.
        InFlight = 0, "out";
        /// It completed its stage.
        Completed = 1, "done";
        /// The engine reported an error.
        Error = 2, "error";
        /// The engine rejected it for lack of capacity.
        Rejected = 3, "full";
        /// It was not answered in time.
        Timeout = 4, "timeout";
        /// It could not be sent, since there was no connection to the engine.
        ConnectFailed = 5, "connect-failed";
        /// The connection was lost while it was in flight.
        Reset = 6, "reset";
        /// The router cancelled it.
        Cancelled = 7, "called-off";
    }
}

record! {
    /// An attempt of a request at an engine.
    pub struct AttemptRecord {
        /// The engine's name.
        pub engine: String,
        /// The stage that it performs.
        pub stage: Stage,
        /// When it was sent, in microseconds after the request was received.
        #[serde(rename = "from_us")]
        pub sent_after_us: u64,
        /// Microseconds from then until its end; 0 while it is in flight.
        pub took_us: u64,
        /// How it ended.
        pub end: AttemptEnd,
    }
}

record! {
    /// An engine as the scheduler saw it when the request was given up.
    pub struct EngineEvidence {
        /// The engine's name.
        pub engine: String,
        /// Why it was avoided, as the name of an [`AvoidReason`](super::view::AvoidReason); empty if it was
        /// not.
        #[serde(rename = "avoided")]
        pub avoid_reason: String,
        /// The estimated utilization of its KV cache memory, from 0 to 1.
        #[serde(rename = "memory")]
        pub memory_utilization: f64,
        /// The number of prompt tokens that awaited prefill there.
        #[serde(rename = "unread")]
        pub queued_prompt_tokens: f64,
        /// Its latency as a multiple of its peers' median.
        #[serde(rename = "pace")]
        pub latency_ratio: f64,
    }
}

record! {
    /// The id of a request, unique across all routers and their restarts.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub struct GlobalRequestId {
        /// The run of the router that received it.
        pub run: u64,
        /// Its number in that run.
        pub number: u64,
    }
}

/// The error for a text that is not a request id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{text}' is not a request id; one looks like msg_18a2b3_42")]
pub struct InvalidRequestId {
    /// The rejected text.
    pub text: String,
}

impl std::fmt::Display for GlobalRequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "msg_{:x}_{}", self.run, self.number)
    }
}

impl std::str::FromStr for GlobalRequestId {
    type Err = InvalidRequestId;

    fn from_str(text: &str) -> Result<GlobalRequestId, InvalidRequestId> {
        parse_request_id(text).ok_or_else(|| InvalidRequestId { text: text.to_owned() })
    }
}

fn parse_request_id(text: &str) -> Option<GlobalRequestId> {
    let (run, number) = text.strip_prefix("msg_")?.split_once('_')?;
    let run = u64::from_str_radix(run, 16).ok()?;
    let number = number.parse().ok()?;
    Some(GlobalRequestId { run, number })
}

record! {
    /// The retry of a request that was not served.
    pub struct FollowUp {
        /// When it was received, in nanoseconds since the Unix epoch.
        #[serde(rename = "asked_at")]
        pub received_at: u64,
        /// Its id.
        pub request: GlobalRequestId,
        /// How it ended.
        pub kind: OutcomeKind,
    }
}

record! {
    /// The outcome of a request, and what led to it.
    pub struct RequestOutcome {
        /// The request's id.
        pub request: GlobalRequestId,
        /// When it was received, in nanoseconds since the Unix epoch.
        #[serde(rename = "asked_at")]
        pub received_at: u64,
        /// When it ended, in nanoseconds since the Unix epoch.
        pub ended_at: u64,
        /// The name of its traffic class.
        pub class: String,
        /// The name of its tenant; empty if clients need no key.
        pub tenant: String,
        /// How it ended.
        pub kind: OutcomeKind,
        /// The cause of the outcome.
        pub cause: OutcomeCause,
        /// What it was waiting for in the queue when it ended.
        #[serde(rename = "waited_for")]
        pub queueing_reason: Option<QueueingReason>,
        /// The delay until a retry that its client was told, in milliseconds from the end.
        pub retry_after_ms: Option<u64>,
        /// Microseconds from its receipt to the first token.
        #[serde(rename = "first_after_us")]
        pub first_token_after_us: Option<u64>,
        /// The number of tokens of the answer that were sent.
        pub tokens: u32,
        /// Its first attempts, at most [`MAX_ATTEMPTS`].
        #[serde(rename = "steps")]
        pub attempts: Vec<AttemptRecord>,
        /// The engines as the scheduler saw them, avoided ones first, at most [`MAX_EVIDENCE`].
        pub evidence: Vec<EngineEvidence>,
        /// A digest that identifies retries of the same request by the same client.
        pub fingerprint: u64,
        /// The client's retry, if one was received.
        pub follow_up: Option<FollowUp>,
    }
}

impl RequestOutcome {
    /// The outcome of a request that was not sent to an engine: every other field is empty.
    pub fn without_details(
        request: GlobalRequestId,
        received_at: u64,
        ended_at: u64,
        kind: OutcomeKind,
        cause: OutcomeCause,
    ) -> RequestOutcome {
        RequestOutcome {
            request,
            received_at,
            ended_at,
            class: String::new(),
            tenant: String::new(),
            kind,
            cause,
            queueing_reason: None,
            retry_after_ms: None,
            first_token_after_us: None,
            tokens: 0,
            attempts: Vec::new(),
            evidence: Vec::new(),
            fingerprint: 0,
            follow_up: None,
        }
    }
}

choice! {
    /// A record of the outcome history on disk.
    pub enum StoredOutcome {
        /// The outcome of a request.
        #[serde(rename = "ending")]
        1 => Outcome {
            /// The outcome.
            #[serde(rename = "ending")]
            outcome: Box<RequestOutcome>,
        },
        /// The follow-up of a request whose outcome was stored earlier.
        2 => FollowUp {
            /// The id of that request.
            request: GlobalRequestId,
            /// The follow-up.
            follow_up: FollowUp,
        },
    }
}

/// The maximum number of attempts in an outcome.
pub const MAX_ATTEMPTS: usize = 12;
/// The maximum number of engines in an outcome's evidence.
pub const MAX_EVIDENCE: usize = 24;

record! {
    /// Selects the outcomes that match every field that is set.
    #[derive(Default)]
    pub struct OutcomeFilter {
        /// Outcomes of this kind.
        pub kind: Option<OutcomeKind>,
        /// Outcomes with this cause.
        pub cause: Option<OutcomeCause>,
        /// Outcomes of requests that were waiting for this.
        #[serde(rename = "waited_for")]
        pub queueing_reason: Option<QueueingReason>,
        /// Outcomes of this traffic class.
        pub class: Option<String>,
        /// Outcomes of this tenant.
        pub tenant: Option<String>,
        /// Outcomes of requests that were sent to this engine, or for which it was avoided.
        pub engine: Option<String>,
        /// Outcomes at this time or later, in nanoseconds since the Unix epoch.
        pub since: Option<u64>,
        /// Outcomes at this time or earlier, in nanoseconds since the Unix epoch.
        pub until: Option<u64>,
        /// The maximum number to return; 0 for as many as fit into the answer.
        #[serde(rename = "most")]
        pub max: u32,
    }
}

record! {
    /// All outcomes of one kind, cause, queueing reason, class and tenant.
    pub struct OutcomeGroup {
        /// How the requests ended.
        pub kind: OutcomeKind,
        /// The cause of the outcomes.
        pub cause: OutcomeCause,
        /// What the requests were waiting for in the queue.
        #[serde(rename = "waited_for")]
        pub queueing_reason: Option<QueueingReason>,
        /// Their traffic class.
        pub class: String,
        /// Their tenant.
        pub tenant: String,
        /// The number of outcomes.
        pub count: u64,
        /// When the first one ended, in nanoseconds since the Unix epoch.
        pub first_at: u64,
        /// When the last one ended, in nanoseconds since the Unix epoch.
        pub last_at: u64,
        /// The number of requests that were retried.
        #[serde(rename = "came_back")]
        pub retried: u64,
        /// The number of retries that were served.
        #[serde(rename = "served_then")]
        pub served_on_retry: u64,
        /// The last of the requests.
        pub example: GlobalRequestId,
    }
}
