//! How long prefills take, learnt from those that are done.

use super::{Attempt, RunningMean};
use crate::api::Nanos;

/// How fast the model learns from a new sample.
#[derive(Clone, Copy, Debug)]
pub struct LearningGains {
    /// The weight of a new sample in the means.
    pub mean: f64,
    /// The weight of a slower sample in the pace of an unloaded prefill; a faster one counts at once.
    pub slower_unloaded: f64,
}

/// The learnt pace and size of prefills.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillCostModel {
    /// Nanoseconds a token, queued tokens included.
    pace: RunningMean,
    /// How far single prefills are off that.
    deviation: RunningMean,
    /// Nanoseconds a token where nothing else waited.
    unloaded_time_per_token: f64,
    /// Tokens a prefill computed, without those found cached.
    computed_tokens: RunningMean,
    /// Tokens that a prefill queued behind at a server that had not answered its probe.
    tokens_ahead_with_unanswered_probe: RunningMean,
}

impl PrefillCostModel {
    /// A model that goes by a given pace, in nanoseconds a token, until one is learnt.
    pub fn with_unloaded_time_per_token(unloaded_time_per_token: f64) -> PrefillCostModel {
        PrefillCostModel { unloaded_time_per_token, ..PrefillCostModel::default() }
    }

    /// Nanoseconds a token of a prefill that is slower than the mean by so many deviations.
    pub fn pessimistic_time_per_token(&self, deviations: f64) -> f64 {
        self.pace.value() + deviations * self.deviation.value()
    }

    /// Nanoseconds a token where nothing else waits.
    pub fn unloaded_time_per_token(&self) -> f64 {
        self.unloaded_time_per_token
    }

    /// The mean of tokens that a prefill computes.
    pub fn mean_computed_tokens(&self) -> f64 {
        self.computed_tokens.value()
    }

    /// The mean of tokens that a prefill queues behind at a server that has not answered its probe.
    pub fn mean_tokens_ahead_with_unanswered_probe(&self) -> f64 {
        self.tokens_ahead_with_unanswered_probe.value()
    }

    /// The tokens that can be prefilled in that span where nothing else waits.
    pub fn tokens_within(&self, span: Nanos) -> f64 {
        span as f64 / self.unloaded_time_per_token.max(1.0)
    }

    /// Learns from a prefill that is done, when it is known how many tokens it computed and so how
    /// many it queued behind. Returns its nanoseconds a token, queued tokens included.
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
            let behind = self.tokens_within(latency) - computed_tokens;
            self.tokens_ahead_with_unanswered_probe.add(behind.max(0.0), gains.mean);
        }
        per_token
    }

    /// Learns from a prefill of which only the pace is known, in nanoseconds a token.
    pub fn record_time_per_token(&mut self, per_token: f64, gains: LearningGains) {
        self.learn(per_token, per_token, gains);
    }

    /// `per_own_token` counts only the prefill's own tokens: whatever it queued behind, an unloaded
    /// one is no slower.
    fn learn(&mut self, per_token: f64, per_own_token: f64, gains: LearningGains) {
        let known = if self.pace.samples() > 0 { self.unloaded_time_per_token } else { per_own_token };
        let moved = known + (per_own_token - known) * gains.slower_unloaded;
        self.unloaded_time_per_token = per_own_token.min(moved);
        self.deviation.add((per_token - self.pace.value()).abs(), gains.mean);
        self.pace.add(per_token, gains.mean);
    }
}
