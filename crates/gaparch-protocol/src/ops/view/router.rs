//! Views of a router and its requests.

use super::engine::EngineView;
use crate::ops::intent::{Intent, LimitView};
use crate::ops::outcome::{AttemptRecord, GlobalRequestId, OutcomeKind};
use crate::wire::{closed_set, record};

record! {
    /// A router's metrics at a point in time.
    #[derive(Copy, Default)]
    pub struct RouterMetrics {
        /// The time, in nanoseconds since the Unix epoch.
        pub at: u64,
        /// The number of requests in the admission queue.
        #[serde(rename = "held")]
        pub queued: u32,
        /// The number of requests in prefill.
        #[serde(rename = "reading")]
        pub prefilling: u32,
        /// The number of requests between prefill and decode.
        #[serde(rename = "read")]
        pub prefilled: u32,
        /// The number of requests that were sent to a decode worker and have no token yet.
        #[serde(rename = "writing")]
        pub decoding: u32,
        /// The number of requests whose answer is streaming.
        pub streaming: u32,
        /// The number of requests since the router started.
        pub requests: u64,
        /// The number of requests that were served.
        pub served: u64,
        /// The number of requests that met their latency objective.
        #[serde(rename = "in_time")]
        pub served_in_time: u64,
        /// The number of requests that were rejected.
        #[serde(rename = "refused")]
        pub rejected: u64,
        /// The number of requests that failed.
        pub failed: u64,
        /// The number of requests whose client disconnected before the end of the answer.
        #[serde(rename = "left")]
        pub client_disconnected: u64,
        /// The number of tokens sent to clients since the router started.
        pub tokens: u64,
        /// Whether an operator has paused admission.
        pub paused: bool,
        /// The longest delay of the owner task since the previous metrics, in microseconds.
        pub lag_us: u64,
    }
}

record! {
    /// Counts of a tenant's requests since the router started.
    #[derive(Default)]
    pub struct TenantView {
        /// The tenant's name.
        pub name: String,
        /// The number of requests.
        pub requests: u64,
        /// The number of requests that were served.
        pub served: u64,
        /// The number of requests that were rejected.
        #[serde(rename = "refused")]
        pub rejected: u64,
        /// The number of requests that failed.
        pub failed: u64,
        /// The number of requests whose client disconnected before the end of the answer.
        #[serde(rename = "left")]
        pub client_disconnected: u64,
        /// The number of tokens sent to the tenant.
        pub tokens: u64,
        /// Its quota in requests per second over all routers; 0 for no quota.
        #[serde(rename = "per_s")]
        pub quota_per_second: f64,
    }
}

closed_set! {
    /// The severity of an event.
    pub enum Severity {
        /// For information.
        Info = 1, "info";
        /// May need attention.
        Warning = 2, "warning";
        /// A failure.
        Fault = 3, "trouble";
    }
}

record! {
    /// An event of an engine or of the router.
    pub struct Event {
        /// When it occurred, in nanoseconds since the Unix epoch.
        pub at: u64,
        /// Its severity.
        pub severity: Severity,
        /// The engine's name; `None` for an event of the router.
        pub engine: Option<String>,
        /// The human-readable description.
        pub text: String,
    }
}

closed_set! {
    /// The phase of a request.
    pub enum Phase {
        /// In the admission queue.
        Queued = 1, "held";
        /// In prefill.
        Prefilling = 2, "reading";
        /// Between prefill and decode.
        Prefilled = 3, "read";
        /// Sent to a decode worker, no token received yet.
        Decoding = 4, "writing";
        /// Its answer is streaming.
        Streaming = 5, "streaming";
        /// It has ended.
        Ended = 6, "ended";
    }
}

record! {
    /// A request that is open or ended recently.
    pub struct RequestView {
        /// The request's id.
        pub request: GlobalRequestId,
        /// When it was received, in nanoseconds since the Unix epoch.
        #[serde(rename = "asked_at")]
        pub received_at: u64,
        /// Its traffic class.
        pub class: String,
        /// Its tenant; empty if clients need no key.
        pub tenant: String,
        /// Its phase.
        pub phase: Phase,
        /// How it ended, if it has ended.
        pub kind: Option<OutcomeKind>,
        /// The engine that processes it; empty if none does.
        pub engine: String,
        /// The number of tokens of the answer that were sent.
        pub tokens: u32,
        /// Microseconds from its receipt until now, or until it ended.
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
        /// Its human-readable value.
        pub value: String,
    }
}

record! {
    /// The state of a router at a point in time.
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
        /// All tenants that have sent requests.
        pub tenants: Vec<TenantView>,
        /// The intents in force.
        pub intents: Vec<Intent>,
        /// The limits that operators can change.
        pub limits: Vec<LimitView>,
        /// The latest events, the most recent one last.
        pub events: Vec<Event>,
        /// The settings in force.
        pub settings: Vec<Setting>,
        /// What can't be stored on disk, and why; empty if there is no such error.
        #[serde(rename = "not_kept")]
        pub storage_error: String,
    }
}
