//! Reasons for giving up a request.

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GiveUpReason {
    /// The settings do not define its class.
    UnknownClass,
    /// The client's deadline has passed, or is so close that the answer has to be sent now.
    DeadlineExceeded,
    /// It was queued for so long that it can no longer meet its latency objective.
    ObjectiveMissed,
    /// Its KV cache has to be released, and no decode server is available.
    KvReleaseTimeout,
    /// The remaining attempts are too few to complete it.
    AttemptsExhausted,
    /// An attempt may have run, and the request may not be repeated.
    MayHaveRun,
    /// An attempt expired before it could be sent.
    TooLate,
}

impl GiveUpReason {
    /// Whether it may end a wait. There is a [`QueueingReason`] then, unless an attempt is in flight.
    pub fn ends_queueing(self) -> bool {
        matches!(
            self,
            GiveUpReason::DeadlineExceeded | GiveUpReason::ObjectiveMissed | GiveUpReason::KvReleaseTimeout
        )
    }
}

/// Why a request was still waiting when it was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QueueingReason {
    /// No decode server was eligible.
    NoDecodeWorker,
    /// No prefill server was eligible.
    NoPrefillWorker,
    /// Capacity was short, and its tenant was over quota: requests within their quota are admitted first.
    OverQuota,
    /// All decode servers counted as saturated.
    DecodeWorkersSaturated,
    /// All prefill servers counted as saturated, or prefills were throttled.
    PrefillWorkersSaturated,
}

/// Why a request was given up, and why it was still waiting then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GiveUpCause {
    /// Why it was given up.
    pub reason: GiveUpReason,
    /// Why it was still waiting; `None` if an attempt was in flight or it did not wait.
    pub queueing_reason: Option<QueueingReason>,
}

impl From<GiveUpReason> for GiveUpCause {
    fn from(reason: GiveUpReason) -> GiveUpCause {
        GiveUpCause { reason, queueing_reason: None }
    }
}
