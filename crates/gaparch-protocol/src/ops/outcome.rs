//! How requests ended, and why.

use crate::wire::{choice, closed_set, record};
use gaparch_scheduler::api;

closed_set! {
    /// How a request ended.
    pub enum OutcomeKind {
        /// It was answered completely.
        Served = 1, "served";
        /// It was turned down before any of it was answered; a retry is harmless.
        Rejected = 2, "refused";
        /// It may have run, but was not answered completely.
        Failed = 3, "failed";
        /// Its client closed the connection first.
        ClientDisconnected = 4, "left";
    }
}

closed_set! {
    /// Why a request ended as it did. The causes up to `TooLate` are the scheduler's reasons; the others are the
    /// router's own, for requests that never reached the scheduler or whose answer had begun.
    pub enum OutcomeCause {
        /// The answer is complete.
        Answered = 1, "answered";
        /// Its traffic class is not in the settings.
        UnknownClass = 2, "unknown-class";
        /// Its deadline has passed.
        DeadlineExceeded = 3, "deadline";
        /// It could not meet its latency objective any more.
        ObjectiveMissed = 4, "aim-lost";
        /// Its KV cache could not be held for it any longer.
        KvReleaseTimeout = 5, "release-time";
        /// It had as many attempts as a request may have.
        AttemptsExhausted = 6, "attempts-used";
        /// It may have run, and must not be run twice.
        MayHaveRun = 7, "may-have-run";
        /// It came too late to be answered in time.
        TooLate = 8, "too-late";
        /// An operator has paused admission.
        Paused = 20, "paused";
        /// The router is shutting down.
        Stopping = 21, "stopping";
        /// The limit of open requests is reached.
        TooManyOpen = 22, "too-much-open";
        /// The stream of its answer broke off.
        StreamBroken = 23, "broke-off";
        /// The stream of its answer was silent for too long, or lasted too long.
        StreamStalled = 24, "stalled";
        /// Its client closed the connection.
        ClientDisconnected = 25, "client-left";
        /// The scheduler did not end it in time, which is a bug.
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
    /// What a request was queued for when it ended, as the scheduler says.
    pub enum QueueingReason {
        /// No decode worker is available.
        NoDecodeWorker = 1, "no-writer";
        /// No prefill worker is available.
        NoPrefillWorker = 2, "no-reader";
        /// Its tenant is over its quota.
        OverQuota = 3, "over-share";
        /// All decode workers are saturated.
        DecodeWorkersSaturated = 4, "writers-full";
        /// All prefill workers are saturated.
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
    /// Which part of a request an attempt is for.
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
        /// It did what it was for.
        Completed = 1, "done";
        /// The engine reported an error.
        Error = 2, "error";
        /// The engine rejected it for lack of capacity.
        Rejected = 3, "full";
        /// It was not answered in time.
        Timeout = 4, "timeout";
        /// There was no connection to the engine.
        ConnectFailed = 5, "connect-failed";
        /// The connection was lost while it was in flight.
        Reset = 6, "reset";
        /// The router cancelled it.
        Cancelled = 7, "called-off";
    }
}

record! {
    /// One attempt of a request at an engine.
    pub struct AttemptRecord {
        /// The engine's name.
        pub engine: String,
        /// What the attempt is for.
        pub stage: Stage,
        /// When it was sent, in microseconds after the request was accepted.
        #[serde(rename = "from_us")]
        pub sent_after_us: u64,
        /// Microseconds from there to its outcome, once it has one.
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
        /// Why it was avoided, as the text of an [`AvoidReason`](super::view::AvoidReason); empty if it was not.
        #[serde(rename = "avoided")]
        pub avoid_reason: String,
        /// The estimated share of its KV cache memory in use, 0 to 1.
        #[serde(rename = "memory")]
        pub memory_utilization: f64,
        /// Prompt tokens that waited for prefill there.
        #[serde(rename = "unread")]
        pub queued_prompt_tokens: f64,
        /// Its latency as a multiple of its peers' median.
        #[serde(rename = "pace")]
        pub latency_ratio: f64,
    }
}

record! {
    /// The id of a request, unique over all routers and their restarts.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub struct GlobalRequestId {
        /// The run of the router that accepted it.
        pub run: u64,
        /// Its number in that run.
        pub number: u64,
    }
}

/// A text that is not the id of a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{text}' is no request id: one looks like msg_18a2b3_42")]
pub struct InvalidRequestId {
    /// The text.
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
    /// The next request of a client whose earlier one was not served.
    pub struct FollowUp {
        /// When it came in, in nanoseconds since the Unix epoch.
        #[serde(rename = "asked_at")]
        pub received_at: u64,
        /// Its id.
        pub request: GlobalRequestId,
        /// How it ended.
        pub kind: OutcomeKind,
    }
}

record! {
    /// How one request ended, and what led to it.
    pub struct RequestOutcome {
        /// The request's id.
        pub request: GlobalRequestId,
        /// When it came in, in nanoseconds since the Unix epoch.
        #[serde(rename = "asked_at")]
        pub received_at: u64,
        /// When it ended, in nanoseconds since the Unix epoch.
        pub ended_at: u64,
        /// The name of its traffic class.
        pub class: String,
        /// The name of its tenant; empty where no key is asked for.
        pub tenant: String,
        /// How it ended.
        pub kind: OutcomeKind,
        /// Why it ended so.
        pub cause: OutcomeCause,
        /// What it was queued for then.
        #[serde(rename = "waited_for")]
        pub queueing_reason: Option<QueueingReason>,
        /// When its client was told to retry, in milliseconds after the end.
        pub retry_after_ms: Option<u64>,
        /// Microseconds from its arrival to the first token.
        #[serde(rename = "first_after_us")]
        pub first_token_after_us: Option<u64>,
        /// Tokens of the answer that were sent.
        pub tokens: u32,
        /// Its first attempts, at most [`MAX_ATTEMPTS`].
        #[serde(rename = "steps")]
        pub attempts: Vec<AttemptRecord>,
        /// The engines as the scheduler saw them, at most [`MAX_EVIDENCE`], avoided ones first.
        pub evidence: Vec<EngineEvidence>,
        /// A digest by which a retry of the same request by the same client is recognized.
        pub fingerprint: u64,
        /// The client's next request, once it is known.
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

/// The most attempts that an outcome lists.
pub const MAX_ATTEMPTS: usize = 12;
/// The most engines that an outcome lists as evidence.
pub const MAX_EVIDENCE: usize = 24;

record! {
    /// Which outcomes are wanted: those that match every field that is set.
    #[derive(Default)]
    pub struct OutcomeFilter {
        /// Those of this kind.
        pub kind: Option<OutcomeKind>,
        /// Those of this cause.
        pub cause: Option<OutcomeCause>,
        /// Those of requests that were queued for this.
        #[serde(rename = "waited_for")]
        pub queueing_reason: Option<QueueingReason>,
        /// Those of this traffic class.
        pub class: Option<String>,
        /// Those of this tenant.
        pub tenant: Option<String>,
        /// Those of requests that were sent to this engine, or for which it was avoided.
        pub engine: Option<String>,
        /// Those that ended at this time or later, in nanoseconds since the Unix epoch.
        pub since: Option<u64>,
        /// Those that ended at this time or earlier, in nanoseconds since the Unix epoch.
        pub until: Option<u64>,
        /// The most to return; 0: as many as fit.
        #[serde(rename = "most")]
        pub max: u32,
    }
}

record! {
    /// All outcomes of one kind, cause, queueing reason, class and tenant.
    pub struct OutcomeGroup {
        /// How the requests ended.
        pub kind: OutcomeKind,
        /// Why they ended so.
        pub cause: OutcomeCause,
        /// What they were queued for.
        #[serde(rename = "waited_for")]
        pub queueing_reason: Option<QueueingReason>,
        /// Their traffic class.
        pub class: String,
        /// Their tenant.
        pub tenant: String,
        /// How many they are.
        pub count: u64,
        /// When the first one ended, in nanoseconds since the Unix epoch.
        pub first_at: u64,
        /// When the last one ended, in nanoseconds since the Unix epoch.
        pub last_at: u64,
        /// How many of their clients sent the request again.
        #[serde(rename = "came_back")]
        pub retried: u64,
        /// How many of these were served then.
        #[serde(rename = "served_then")]
        pub served_on_retry: u64,
        /// The last one.
        pub example: GlobalRequestId,
    }
}
