//! A router as it sees itself.

use super::engine::EngineView;
use crate::ops::intent::{Intent, LimitView};
use crate::ops::outcome::{AttemptRecord, GlobalRequestId, OutcomeKind};
use crate::wire::{closed_set, record};

record! {
    /// A router's metrics at one time.
    #[derive(Copy, Default)]
    pub struct RouterMetrics {
        /// The time, in nanoseconds since the Unix epoch.
        pub at: u64,
        /// Requests in the admission queue.
        #[serde(rename = "held")]
        pub queued: u32,
        /// Requests in prefill.
        #[serde(rename = "reading")]
        pub prefilling: u32,
        /// Requests between prefill and decode.
        #[serde(rename = "read")]
        pub prefilled: u32,
        /// Requests that were sent to a decode worker and have no token yet.
        #[serde(rename = "writing")]
        pub decoding: u32,
        /// Requests whose answer is streaming.
        pub streaming: u32,
        /// Requests since the router started.
        pub requests: u64,
        /// Those of them that were served.
        pub served: u64,
        /// Those of them that met their latency objective.
        #[serde(rename = "in_time")]
        pub served_in_time: u64,
        /// Those of them that were rejected.
        #[serde(rename = "refused")]
        pub rejected: u64,
        /// Those of them that failed.
        pub failed: u64,
        /// Those of them whose client disconnected first.
        #[serde(rename = "left")]
        pub client_disconnected: u64,
        /// Tokens sent to clients since the router started.
        pub tokens: u64,
        /// Whether an operator has paused admission.
        pub paused: bool,
        /// The longest delay of the owner task since the last metrics, in microseconds.
        pub lag_us: u64,
    }
}

record! {
    /// A tenant's requests since the router started.
    #[derive(Default)]
    pub struct TenantView {
        /// The tenant's name.
        pub name: String,
        /// Its requests.
        pub requests: u64,
        /// Those of them that were served.
        pub served: u64,
        /// Those of them that were rejected.
        #[serde(rename = "refused")]
        pub rejected: u64,
        /// Those of them that failed.
        pub failed: u64,
        /// Those of them whose client disconnected first.
        #[serde(rename = "left")]
        pub client_disconnected: u64,
        /// Tokens sent to it.
        pub tokens: u64,
        /// Its quota of requests a second, over all routers; 0: no quota.
        #[serde(rename = "per_s")]
        pub quota_per_second: f64,
    }
}

closed_set! {
    /// How much an event matters.
    pub enum Severity {
        /// Worth knowing.
        Info = 1, "info";
        /// Something may need attention.
        Warning = 2, "warning";
        /// Something is broken.
        Fault = 3, "trouble";
    }
}

record! {
    /// Something that happened to an engine or to the router.
    pub struct Event {
        /// When, in nanoseconds since the Unix epoch.
        pub at: u64,
        /// How much it matters.
        pub severity: Severity,
        /// The engine's name; `None`: it is about the router.
        pub engine: Option<String>,
        /// What happened, for people.
        pub text: String,
    }
}

closed_set! {
    /// How far a request has come.
    pub enum Phase {
        /// In the admission queue.
        Queued = 1, "held";
        /// In prefill.
        Prefilling = 2, "reading";
        /// Between prefill and decode.
        Prefilled = 3, "read";
        /// Sent to a decode worker, without a token yet.
        Decoding = 4, "writing";
        /// Its answer is streaming.
        Streaming = 5, "streaming";
        /// It has ended.
        Ended = 6, "ended";
    }
}

record! {
    /// A request that is open, or ended a short time ago.
    pub struct RequestView {
        /// The request's id.
        pub request: GlobalRequestId,
        /// When it came in, in nanoseconds since the Unix epoch.
        #[serde(rename = "asked_at")]
        pub received_at: u64,
        /// Its traffic class.
        pub class: String,
        /// Its tenant; empty where no key is asked for.
        pub tenant: String,
        /// How far it has come.
        pub phase: Phase,
        /// How it ended, if it has.
        pub kind: Option<OutcomeKind>,
        /// The engine where it is; empty if it is at none.
        pub engine: String,
        /// Tokens of the answer that were sent.
        pub tokens: u32,
        /// Microseconds since it came in, or until it ended.
        #[serde(rename = "took_us")]
        pub elapsed_us: u64,
        /// Its first attempts, at most [`MAX_ATTEMPTS`](crate::ops::outcome::MAX_ATTEMPTS).
        #[serde(rename = "steps")]
        pub attempts: Vec<AttemptRecord>,
    }
}

record! {
    /// A setting in force.
    pub struct Setting {
        /// The setting's name.
        pub name: String,
        /// Its value, for people.
        pub value: String,
    }
}

record! {
    /// All that a router shows of itself at one time.
    pub struct Snapshot {
        /// The router's name.
        pub router: String,
        /// The run of its process.
        pub run: u64,
        /// The revision of the last change by an operator.
        pub revision: u64,
        /// When its process started, in nanoseconds since the Unix epoch.
        #[serde(rename = "began_at")]
        pub started_at: u64,
        /// Its metrics.
        #[serde(rename = "figures")]
        pub metrics: RouterMetrics,
        /// All engines.
        pub engines: Vec<EngineView>,
        /// All tenants with requests.
        pub tenants: Vec<TenantView>,
        /// What is in force by operators' orders.
        pub intents: Vec<Intent>,
        /// The limits that operators can change.
        pub limits: Vec<LimitView>,
        /// The latest events, the last one last.
        pub events: Vec<Event>,
        /// The settings in force.
        pub settings: Vec<Setting>,
        /// What can't be stored on disk, and why; empty if all can.
        #[serde(rename = "not_kept")]
        pub storage_error: String,
    }
}
