//! Engines as a router sees them.

use crate::wire::{closed_set, record};

closed_set! {
    /// What an engine does.
    pub enum EngineRole {
        /// Prefill only.
        Prefill = 1, "read";
        /// Decode, and prefill where no prefill worker is available.
        Decode = 2, "write";
        /// Both.
        Mixed = 3, "both";
    }
}

closed_set! {
    /// Whether an engine gets requests.
    pub enum EngineState {
        /// It gets requests.
        Ready = 1, "ready";
        /// It gets no new requests; those in flight end in their own time.
        Draining = 2, "draining";
        /// It is not in the endpoint list, or an operator has detached it.
        Removed = 3, "gone";
    }
}

closed_set! {
    /// Why the scheduler sends an engine nothing, or less than its peers.
    pub enum AvoidReason {
        /// It is not ready.
        NotReady = 1, "not-ready";
        /// It can't be reached, or answers nothing.
        Unreachable = 2, "unreachable";
        /// It has failed, and is ejected for a while.
        Ejected = 3, "resting";
        /// It is much slower than its peers.
        Outlier = 4, "slow";
        /// Its process is new: it is in slow start.
        WarmingUp = 5, "cold";
        /// It has no capacity left.
        Saturated = 6, "full";
    }
}

record! {
    /// A part of the traffic for which an engine is ejected, since it rejects it or leaves it unanswered.
    pub struct PartialEjection {
        /// The traffic class.
        pub class: String,
        /// The tenant; empty: all tenants.
        pub tenant: String,
        /// When the ejection ends, in nanoseconds since the Unix epoch.
        pub until: u64,
    }
}

record! {
    /// One engine as a router sees it.
    pub struct EngineView {
        /// Its name in the endpoint list.
        pub name: String,
        /// What it does.
        pub role: EngineRole,
        /// The zone in which it stands.
        pub zone: String,
        /// The rack in which it stands.
        pub rack: String,
        /// Where it is reached.
        pub address: String,
        /// Its state in the endpoint list.
        #[serde(rename = "listed")]
        pub listed_state: EngineState,
        /// Its state by the endpoint list and operators' orders together.
        pub state: EngineState,
        /// Whether there is a connection to it.
        pub connected: bool,
        /// Why the scheduler avoids it, if it does.
        #[serde(rename = "avoided")]
        pub avoid_reason: Option<AvoidReason>,
        /// The parts of the traffic for which it is ejected.
        #[serde(rename = "rests")]
        pub partial_ejections: Vec<PartialEjection>,
        /// This router's attempts there that await their first token.
        #[serde(rename = "waiting")]
        pub awaiting_first_token: u32,
        /// This router's attempts there that are streaming.
        pub streaming: u32,
        /// Prompt tokens that wait for prefill there, as estimated.
        #[serde(rename = "unread")]
        pub queued_prompt_tokens: f64,
        /// The share of its KV cache memory in use, 0 to 1, as estimated.
        #[serde(rename = "memory")]
        pub memory_utilization: f64,
        /// The same as it last reported.
        #[serde(rename = "memory_said")]
        pub reported_memory_utilization: Option<f64>,
        /// Its latency as a multiple of its peers' median.
        #[serde(rename = "pace")]
        pub latency_ratio: f64,
        /// How much slow start lets it have at once, if it is in slow start.
        #[serde(rename = "cold_budget")]
        pub slow_start_budget: Option<f64>,
        /// When its process started, in nanoseconds since the Unix epoch, if known.
        pub started_at: Option<u64>,
        /// When it last responded to anything, in nanoseconds since the Unix epoch.
        #[serde(rename = "heard_at")]
        pub last_response_at: u64,
        /// Attempts sent there since the router started.
        pub attempts: u64,
        /// Attempts that failed there since the router started.
        pub failed: u64,
        /// Attempts there that the router cancelled since it started.
        #[serde(rename = "called_off")]
        pub cancelled: u64,
    }
}
