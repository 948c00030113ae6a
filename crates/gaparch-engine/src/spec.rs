//! What a modelled engine is like when nothing is wrong.

use gaparch_protocol::engine::EngineFacts;
use gaparch_scheduler::api::{Nanos, Role};

/// Sizes and speeds of one engine. The defaults are a small engine's; none is measured from a real one.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    pub name: String,
    pub role: Role,
    pub zone: String,
    pub rack: String,
    /// Tokens of memory.
    pub memory: u64,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that may wait besides.
    pub queue: usize,
    /// Prompt tokens read a second.
    pub read_rate: f64,
    /// One step of work: each answer in work grows by a token.
    pub step: Nanos,
    /// Added to a step by each answer in work.
    pub step_per_answer: Nanos,
    /// Tokens of a read state given away a second, to the same rack and elsewhere.
    pub near_rate: f64,
    pub far_rate: f64,
    /// A writer that reads prompts itself when there is no state.
    pub self_prefill: bool,
    /// Share of its speed at the start, and how long until all of it.
    pub cold_from: f64,
    pub cold: Nanos,
    /// It falls over when it is sent so many times what it can do at that moment, for so long.
    pub fall_multiple: f64,
    pub fall: Nanos,
    /// Its load report is made anew so often.
    pub report_every: Nanos,
    /// Sessions and beginnings whose text it keeps.
    pub kept_texts: usize,
}

impl EngineSpec {
    /// A small reader.
    pub fn reader(name: &str, zone: &str, rack: &str) -> EngineSpec {
        EngineSpec {
            name: name.to_owned(),
            role: Role::Prefill,
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            memory: 200_000,
            slots: 8,
            queue: 32,
            read_rate: 20_000.0,
            step: 5_000_000,
            step_per_answer: 0,
            near_rate: 300_000.0,
            far_rate: 100_000.0,
            self_prefill: false,
            cold_from: 0.28,
            cold: 14_000_000_000,
            fall_multiple: 2.5,
            fall: 2_000_000_000,
            report_every: 200_000_000,
            kept_texts: 4096,
        }
    }

    /// A small writer.
    pub fn writer(name: &str, zone: &str, rack: &str) -> EngineSpec {
        EngineSpec {
            role: Role::Decode,
            memory: 130_000,
            slots: 64,
            queue: 16,
            read_rate: 6_000.0,
            step: 10_000_000,
            step_per_answer: 150_000,
            ..EngineSpec::reader(name, zone, rack)
        }
    }

    /// An engine that does both.
    pub fn mixed(name: &str, zone: &str, rack: &str) -> EngineSpec {
        EngineSpec { role: Role::Mixed, read_rate: 12_000.0, ..EngineSpec::writer(name, zone, rack) }
    }

    /// What it says of itself; `started_at` in nanoseconds since the Unix epoch.
    pub fn facts(&self, started_at: u64) -> EngineFacts {
        EngineFacts {
            name: self.name.clone(),
            role: self.role,
            kv_capacity_tokens: self.memory as f64,
            zone: self.zone.clone(),
            rack: self.rack.clone(),
            started_at,
        }
    }

    /// Seconds of all its work that a read of so many tokens is.
    pub fn read_work(&self, tokens: f64) -> f64 {
        tokens / self.read_rate.max(1.0)
    }

    /// Seconds of all its work that an answer of so many tokens is, when all its slots are in use.
    pub fn answer_work(&self, tokens: f64) -> f64 {
        let slots = self.slots.max(1) as f64;
        let step_s = (self.step as f64 + self.step_per_answer as f64 * slots) / 1e9;
        tokens * step_s / slots
    }
}
