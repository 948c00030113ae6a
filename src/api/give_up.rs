//! Why a request is given up.

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GiveUpReason {
    /// Its class is not one of the settings.
    UnknownClass,
    /// Its client's deadline is over.
    DeadlineExceeded,
    /// It was queued for so long that it can't meet its latency objective any more.
    ObjectiveMissed,
    /// Its KV cache may not be held any longer, and there is no decode server to send it to.
    KvReleaseTimeout,
    /// The attempts that are left are too few to end in an answer.
    AttemptsExhausted,
    /// An attempt may have run, and the request may not be repeated.
    MayHaveRun,
    /// The router found a send too late to be made.
    TooLate,
}

impl GiveUpReason {
    /// Whether it ended a wait, so that there is a [`QueueingReason`].
    pub fn ends_a_wait(self) -> bool {
        matches!(
            self,
            GiveUpReason::DeadlineExceeded | GiveUpReason::ObjectiveMissed | GiveUpReason::KvReleaseTimeout
        )
    }
}

/// What a request waited for when it was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QueueingReason {
    /// There was no decode server that it could be sent to.
    NoDecodeWorker,
    /// There was no prefill server that it could be sent to.
    NoPrefillWorker,
    /// Capacity was short, and its tenant was over its quota.
    OverQuota,
    /// All decode servers looked saturated.
    DecodeWorkersSaturated,
    /// All prefill servers had long queues.
    PrefillWorkersSaturated,
}

/// Why a request was given up, and what it waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GiveUpCause {
    /// Why it was given up.
    pub reason: GiveUpReason,
    /// What it waited for; `None` where an attempt was in flight, or it did not wait.
    pub queueing_reason: Option<QueueingReason>,
}

impl From<GiveUpReason> for GiveUpCause {
    fn from(reason: GiveUpReason) -> GiveUpCause {
        GiveUpCause { reason, queueing_reason: None }
    }
}
