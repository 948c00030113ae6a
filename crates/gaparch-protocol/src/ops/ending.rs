//! How requests ended, and why.

use crate::wire::{choice, closed_set, record};
use gaparch_scheduler::api::{GiveUpReason, QueueingReason};

closed_set! {
    pub enum EndKind {
        Served = 1, "served";
        Refused = 2, "refused";
        Failed = 3, "failed";
        /// The client left first.
        Left = 4, "left";
    }
}

closed_set! {
    /// Why a request ended as it did. Up to `too-late` these are the decision module's reasons; the others are of
    /// the router itself, about what never reached the module or had begun already.
    pub enum Cause {
        /// In good order.
        Answered = 1, "answered";
        UnknownClass = 2, "unknown-class";
        /// Its client's time was up.
        Deadline = 3, "deadline";
        /// It could not make its aim any more.
        AimLost = 4, "aim-lost";
        /// Its read state could not wait any longer.
        ReleaseTime = 5, "release-time";
        AttemptsUsed = 6, "attempts-used";
        /// It may have run, and may not be tried again.
        MayHaveRun = 7, "may-have-run";
        TooLate = 8, "too-late";
        /// An operator has paused the intake.
        Paused = 20, "paused";
        Stopping = 21, "stopping";
        /// More is open than may be.
        TooMuchOpen = 22, "too-much-open";
        /// The begun answer broke off.
        BrokeOff = 23, "broke-off";
        /// The begun answer was silent for too long, or went on for too long.
        Stalled = 24, "stalled";
        ClientLeft = 25, "client-left";
        /// The module had not ended it in time. That should never be.
        Overdue = 26, "overdue";
    }
}

impl From<GiveUpReason> for Cause {
    fn from(reason: GiveUpReason) -> Cause {
        match reason {
            GiveUpReason::UnknownClass => Cause::UnknownClass,
            GiveUpReason::DeadlineExceeded => Cause::Deadline,
            GiveUpReason::ObjectiveMissed => Cause::AimLost,
            GiveUpReason::KvReleaseTimeout => Cause::ReleaseTime,
            GiveUpReason::AttemptsExhausted => Cause::AttemptsUsed,
            GiveUpReason::MayHaveRun => Cause::MayHaveRun,
            GiveUpReason::TooLate => Cause::TooLate,
        }
    }
}

closed_set! {
    /// What it waited for then, by the module.
    pub enum WaitedFor {
        NoWriter = 1, "no-writer";
        NoReader = 2, "no-reader";
        OverShare = 3, "over-share";
        WritersFull = 4, "writers-full";
        ReadersFull = 5, "readers-full";
    }
}

impl From<QueueingReason> for WaitedFor {
    fn from(holdup: QueueingReason) -> WaitedFor {
        match holdup {
            QueueingReason::NoDecodeWorker => WaitedFor::NoWriter,
            QueueingReason::NoPrefillWorker => WaitedFor::NoReader,
            QueueingReason::OverQuota => WaitedFor::OverShare,
            QueueingReason::DecodeWorkersSaturated => WaitedFor::WritersFull,
            QueueingReason::PrefillWorkersSaturated => WaitedFor::ReadersFull,
        }
    }
}

closed_set! {
    pub enum Stage {
        Read = 1, "read";
        Write = 2, "write";
    }
}

closed_set! {
    /// How an attempt ended.
    pub enum StepEnd {
        /// It is still out.
        Out = 0, "out";
        Done = 1, "done";
        Error = 2, "error";
        Full = 3, "full";
        Timeout = 4, "timeout";
        ConnectFailed = 5, "connect-failed";
        Reset = 6, "reset";
        CalledOff = 7, "called-off";
    }
}

record! {
    /// One attempt. Times count from when the request was taken, in microseconds.
    pub struct Step {
        pub engine: String,
        pub stage: Stage,
        pub from_us: u64,
        /// To the outcome, once there is one.
        pub took_us: u64,
        pub end: StepEnd,
    }
}

record! {
    /// An engine as it looked when the request was given up.
    pub struct Evidence {
        pub engine: String,
        /// Why it was avoided, as a word of [`Avoid`](super::view::Avoid); empty if it was not.
        pub avoided: String,
        /// Share of its memory held, by guess.
        pub memory: f64,
        /// Prompt tokens that waited there.
        pub unread: f64,
        pub pace: f64,
    }
}

record! {
    /// A request's name: the run of the router that took it, and its number there.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub struct RequestName {
        pub run: u64,
        pub number: u64,
    }
}

impl std::fmt::Display for RequestName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "msg_{:x}_{}", self.run, self.number)
    }
}

impl std::str::FromStr for RequestName {
    type Err = String;

    fn from_str(text: &str) -> Result<RequestName, String> {
        let parts = text.strip_prefix("msg_").and_then(|rest| rest.split_once('_'));
        let name = parts.and_then(|(run, number)| {
            Some(RequestName { run: u64::from_str_radix(run, 16).ok()?, number: number.parse().ok()? })
        });
        name.ok_or_else(|| format!("'{text}' is no request id: one looks like msg_18a2b3_42"))
    }
}

record! {
    /// Whether the client came back, and what came of it.
    pub struct FollowUp {
        /// Nanoseconds since the Unix epoch.
        pub asked_at: u64,
        pub request: RequestName,
        pub kind: EndKind,
    }
}

record! {
    pub struct Ending {
        pub request: RequestName,
        /// When it was taken, and when it ended: nanoseconds since the Unix epoch.
        pub asked_at: u64,
        pub ended_at: u64,
        pub class: String,
        /// Empty where no key is asked for.
        pub tenant: String,
        pub kind: EndKind,
        pub cause: Cause,
        pub waited_for: Option<WaitedFor>,
        pub retry_after_ms: Option<u64>,
        /// To the first token.
        pub first_after_us: Option<u64>,
        pub tokens: u32,
        /// At most [`MAX_STEPS`], the first ones.
        pub steps: Vec<Step>,
        /// At most [`MAX_EVIDENCE`] engines, those avoided first.
        pub evidence: Vec<Evidence>,
        /// By which a client that asks the same again is known.
        pub fingerprint: u64,
        pub follow_up: Option<FollowUp>,
    }
}

impl Ending {
    /// One that was never sent anywhere and of which nothing else is known, of no class or tenant.
    pub fn bare(request: RequestName, asked_at: u64, ended_at: u64, kind: EndKind, cause: Cause) -> Ending {
        Ending {
            request,
            asked_at,
            ended_at,
            class: String::new(),
            tenant: String::new(),
            kind,
            cause,
            waited_for: None,
            retry_after_ms: None,
            first_after_us: None,
            tokens: 0,
            steps: Vec::new(),
            evidence: Vec::new(),
            fingerprint: 0,
            follow_up: None,
        }
    }
}

choice! {
    /// What a router keeps of endings on disk.
    pub enum Kept {
        1 => Ending { ending: Box<Ending>, },
        /// Of one that was kept earlier.
        2 => FollowUp { request: RequestName, follow_up: FollowUp, },
    }
}

pub const MAX_STEPS: usize = 12;
pub const MAX_EVIDENCE: usize = 24;

record! {
    /// All that is told must hold; what is not told holds for all.
    #[derive(Default)]
    pub struct EndingFilter {
        pub kind: Option<EndKind>,
        pub cause: Option<Cause>,
        pub waited_for: Option<WaitedFor>,
        pub class: Option<String>,
        pub tenant: Option<String>,
        /// One that it was sent to, or that was avoided then.
        pub engine: Option<String>,
        /// Nanoseconds since the Unix epoch.
        pub since: Option<u64>,
        pub until: Option<u64>,
        /// At most so many; 0: as many as there are room for.
        pub most: u32,
    }
}

record! {
    /// Endings of one kind, cause, class and tenant.
    pub struct Group {
        pub kind: EndKind,
        pub cause: Cause,
        pub waited_for: Option<WaitedFor>,
        pub class: String,
        pub tenant: String,
        pub count: u64,
        pub first_at: u64,
        pub last_at: u64,
        /// So many clients were seen again, and so many of them served then.
        pub came_back: u64,
        pub served_then: u64,
        pub example: RequestName,
    }
}
