//! A model of prefill latency, learned from finished prefills.

use super::{Attempt, RunningMean};
use crate::api::Nanos;

/// How fast the model learns from a new sample.
#[derive(Clone, Copy, Debug)]
pub struct LearningGains {
    /// The weight of a new sample in the means.
    pub mean: f64,
    /// The weight of a slower sample in the time per token of an unloaded prefill; a faster sample replaces
    /// it at once.
    pub slower_unloaded: f64,
}

/// Learned speed and size of prefills.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillCostModel {
    /// Nanoseconds per token, queued tokens included.
    time_per_token: RunningMean,
    /// Mean absolute deviation of single prefills from it.
    deviation: RunningMean,
    /// Nanoseconds per token on a server without a queue.
    unloaded_time_per_token: f64,
    /// Tokens computed per prefill, without those found in the cache.
    computed_tokens: RunningMean,
    /// Tokens queued ahead of a prefill on a server whose load probe was overdue.
    tokens_ahead_with_unanswered_probe: RunningMean,
}

impl PrefillCostModel {
    /// A model with an initial time per token of unloaded prefills, in nanoseconds, until one is learned.
    pub fn with_unloaded_time_per_token(unloaded_time_per_token: f64) -> PrefillCostModel {
        PrefillCostModel { unloaded_time_per_token, ..PrefillCostModel::default() }
    }

    /// The mean time per token plus `deviations` mean deviations, in nanoseconds.
    pub fn pessimistic_time_per_token(&self, deviations: f64) -> f64 {
        self.time_per_token.value() + deviations * self.deviation.value()
    }

    /// Nanoseconds per token on a server without a queue.
    pub fn unloaded_time_per_token(&self) -> f64 {
        self.unloaded_time_per_token
    }

    /// The mean number of tokens computed per prefill.
    pub fn mean_computed_tokens(&self) -> f64 {
        self.computed_tokens.value()
    }

    /// The mean number of tokens queued ahead of a prefill on a server whose load probe is overdue.
    pub fn mean_tokens_ahead_with_unanswered_probe(&self) -> f64 {
        self.tokens_ahead_with_unanswered_probe.value()
    }

    /// The tokens that a server without a queue can prefill within `span`.
    pub fn tokens_within(&self, span: Nanos) -> f64 {
        span as f64 / self.unloaded_time_per_token.max(1.0)
    }

    /// Learns from a finished prefill: the number of tokens it computed is known now, and with it the number
    /// of tokens queued ahead of it. Returns its nanoseconds per token, queued tokens included.
    pub fn record_finished(
        &mut self,
        attempt: &Attempt,
        latency: Nanos,
        computed_tokens: f64,
        gains: LearningGains,
    ) -> f64 {
        let queued = attempt.queued_tokens - attempt.prompt_tokens + computed_tokens;
        let per_token = latency as f64 / queued.max(computed_tokens);
        self.computed_tokens.add(computed_tokens, gains.mean);
        self.learn(per_token, latency as f64 / computed_tokens, gains);
        if attempt.probe_outstanding {
            let ahead = self.tokens_within(latency) - computed_tokens;
            self.tokens_ahead_with_unanswered_probe.add(ahead.max(0.0), gains.mean);
        }
        per_token
    }

    /// Learns from a prefill of which only the time per token is known, in nanoseconds.
    pub fn record_time_per_token(&mut self, per_token: f64, gains: LearningGains) {
        self.learn(per_token, per_token, gains);
    }

    /// `per_own_token` divides the latency by the prefill's own tokens only. Since the latency includes any
    /// queueing, it is an upper bound of the unloaded time per token.
    fn learn(&mut self, per_token: f64, per_own_token: f64, gains: LearningGains) {
        let known =
            if self.time_per_token.samples() > 0 { self.unloaded_time_per_token } else { per_own_token };
        let moved = known + (per_own_token - known) * gains.slower_unloaded;
        self.unloaded_time_per_token = per_own_token.min(moved);
        self.deviation.add((per_token - self.time_per_token.value()).abs(), gains.mean);
        self.time_per_token.add(per_token, gains.mean);
    }
}
