//! Views of engines, as a router sees them.

use crate::wire::{closed_set, record};

closed_set! {
    /// The role of an engine.
    pub enum EngineRole {
        /// Prefill only.
        Prefill = 1, "read";
        /// Decode, and prefill if no prefill worker is available.
        Decode = 2, "write";
        /// Prefill and decode.
        Mixed = 3, "both";
    }
}

closed_set! {
    /// The state of an engine, which determines whether it gets requests.
    pub enum EngineState {
        /// It gets requests.
        Ready = 1, "ready";
        /// It gets no new requests. Those in flight are completed.
        Draining = 2, "draining";
        /// It is not in the endpoint list, or an operator has detached it.
        Removed = 3, "gone";
    }
}

closed_set! {
    /// The reason why the scheduler sends an engine no requests, or fewer than its peers.
    pub enum AvoidReason {
        /// It is not ready.
        NotReady = 1, "not-ready";
        /// It can't be reached, or does not answer.
        Unreachable = 2, "unreachable";
        /// It has failed, and is ejected for some time.
        Ejected = 3, "resting";
        /// It is much slower than its peers.
        Outlier = 4, "slow";
        /// It is in slow start, since its process has started recently.
        WarmingUp = 5, "cold";
        /// It has no capacity left.
        Saturated = 6, "full";
    }
}

record! {
    /// A part of the traffic for which an engine is ejected, since it rejects or does not answer such
    /// requests.
    pub struct PartialEjection {
        /// The traffic class.
        pub class: String,
        /// The tenant; empty for all tenants.
        pub tenant: String,
        /// When the ejection ends, in nanoseconds since the Unix epoch.
        pub until: u64,
    }
}

record! {
    /// The view of an engine.
    pub struct EngineView {
        /// Its name in the endpoint list.
        pub name: String,
        /// Its role.
        pub role: EngineRole,
        /// The zone in which it is located.
        pub zone: String,
        /// The rack in which it is located.
        pub rack: String,
        /// The address at which it accepts connections.
        pub address: String,
        /// Its state in the endpoint list.
        #[serde(rename = "listed")]
        pub listed_state: EngineState,
        /// Its effective state, by the endpoint list and operators' orders.
        pub state: EngineState,
        /// Whether the router is connected to it.
        pub connected: bool,
        /// The reason why the scheduler avoids it, if it does.
        #[serde(rename = "avoided")]
        pub avoid_reason: Option<AvoidReason>,
        /// The parts of the traffic for which it is ejected.
        #[serde(rename = "rests")]
        pub partial_ejections: Vec<PartialEjection>,
        /// The number of this router's attempts there that are awaiting their first token.
        #[serde(rename = "waiting")]
        pub awaiting_first_token: u32,
        /// The number of this router's attempts there that are streaming.
        pub streaming: u32,
        /// The estimated number of prompt tokens that await prefill there.
        #[serde(rename = "unread")]
        pub queued_prompt_tokens: f64,
        /// The estimated utilization of its KV cache memory, from 0 to 1.
        #[serde(rename = "memory")]
        pub memory_utilization: f64,
        /// The utilization of its KV cache memory that it reported last.
        #[serde(rename = "memory_said")]
        pub reported_memory_utilization: Option<f64>,
        /// Its latency as a multiple of its peers' median.
        #[serde(rename = "pace")]
        pub latency_ratio: f64,
        /// The amount of concurrent work that slow start allows, if it is in slow start.
        #[serde(rename = "cold_budget")]
        pub slow_start_budget: Option<f64>,
        /// When its process started, in nanoseconds since the Unix epoch, if known.
        pub started_at: Option<u64>,
        /// When it last sent any response, in nanoseconds since the Unix epoch.
        #[serde(rename = "heard_at")]
        pub last_response_at: u64,
        /// The number of attempts sent there since the router started.
        pub attempts: u64,
        /// The number of attempts that failed there since the router started.
        pub failed: u64,
        /// The number of attempts there that the router has cancelled since it started.
        #[serde(rename = "called_off")]
        pub cancelled: u64,
    }
}
