//! What reads take.

use super::{Mean, Sent};
use crate::api::Nanos;

/// What reads take.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reads {
    /// Nanoseconds a token, and how far single reads are off that.
    pub pace: Mean,
    pub off: Mean,
    /// The same where nothing else waited.
    pub best: f64,
    /// Tokens that were not kept, a read.
    pub size: Mean,
    /// Tokens that a read stood behind where a probe had not come back.
    pub behind: Mean,
}

impl Reads {
    /// Nanoseconds a token of a read that is late by so many deviations.
    pub fn late(&self, deviations: f64) -> f64 {
        self.pace.value + deviations * self.off.value
    }

    /// Learns from a read that is done: what was kept is known by then, and so what it read itself, and how much it stood
    /// behind. Returns what a token took.
    pub fn done(&mut self, sent: &Sent, latency: Nanos, read: f64, gain: f64, slower: f64) -> f64 {
        let per_token = latency as f64 / (sent.queued - sent.unread + read).max(read);
        self.size.add(read, gain);
        self.learn(per_token, latency as f64 / read, gain, slower);
        if sent.behind {
            self.behind.add((self.tokens(latency) - read).max(0.0), gain);
        }
        per_token
    }

    /// A pace to go by until one is learnt.
    pub fn guessed(best: f64) -> Reads {
        Reads { best, ..Reads::default() }
    }

    /// The tokens that can be read in so long where nothing else waits.
    pub fn tokens(&self, span: Nanos) -> f64 {
        span as f64 / self.best.max(1.0)
    }

    /// `slower` is the gain by which a slower sample moves the best.
    pub fn add(&mut self, per_token: f64, gain: f64, slower: f64) {
        self.learn(per_token, per_token, gain, slower);
    }

    /// `alone` counts only the read's own tokens: whatever it stood behind, it is no less than the pace at best.
    fn learn(&mut self, per_token: f64, alone: f64, gain: f64, slower: f64) {
        let best = if self.pace.samples > 0 { self.best } else { alone };
        self.best = alone.min(best + (alone - best) * slower);
        self.off.add((per_token - self.pace.value).abs(), gain);
        self.pace.add(per_token, gain);
    }
}
