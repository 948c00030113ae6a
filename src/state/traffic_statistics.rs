//! Statistics of this router's requests: sizes by class, arrival rates, and times to first token.

use super::{mean_of_means, LaggedValue, PrefixPopularity, RecentRequests, RunningMean, Stage};
use crate::api::{AffinityKey, ClassId, Nanos};

/// Lower bound of a request's relative work, as a multiple of the mean request.
const MIN_RELATIVE_WORK: f64 = 0.1;

/// Sizes by class, arrival rates, and times to first token of this router's requests.
#[derive(Clone, Debug, Default)]
pub struct TrafficStatistics {
    prompt_tokens: Vec<RunningMean>,
    output_tokens: Vec<RunningMean>,
    time_to_first_token: LaggedValue,
    popularity: PrefixPopularity,
}

impl TrafficStatistics {
    /// Empty statistics for `classes` traffic classes.
    pub fn new(classes: usize) -> TrafficStatistics {
        TrafficStatistics {
            prompt_tokens: vec![RunningMean::default(); classes],
            output_tokens: vec![RunningMean::default(); classes],
            ..TrafficStatistics::default()
        }
    }

    /// Counts an arriving request, and returns the decayed counts from before it.
    pub fn record_arrival(&mut self, now: Nanos, prefix: Option<AffinityKey>, span: Nanos) -> RecentRequests {
        self.popularity.record(now, prefix, span)
    }

    /// Adds the size of a request. The class must be one of the configured ones.
    pub fn record_size(&mut self, class: ClassId, prompt_tokens: f64, output_tokens: f64, gain: f64) {
        self.prompt_tokens[class.0].add(prompt_tokens, gain);
        self.output_tokens[class.0].add(output_tokens, gain);
    }

    /// Adds the time from a request's first attempt to its first token.
    pub fn record_first_token(&mut self, now: Nanos, elapsed: Nanos, time_constant: Nanos) {
        self.time_to_first_token.follow(now, elapsed as f64, time_constant);
    }

    /// The smoothed time from a request's first attempt to its first token.
    pub fn time_to_first_token(&self) -> Nanos {
        self.time_to_first_token.value() as Nanos
    }

    /// The mean number of tokens per request, prompt and output together.
    pub fn mean_request_tokens(&self) -> f64 {
        mean_of_means(&self.prompt_tokens) + mean_of_means(&self.output_tokens)
    }

    /// The work of a request of a class in a stage, as a multiple of the mean request's.
    pub fn relative_work(&self, stage: Stage, class: ClassId) -> f64 {
        let sizes = match stage {
            Stage::Prefill => &self.prompt_tokens,
            Stage::Decode | Stage::Combined => &self.output_tokens,
        };
        let size = sizes.get(class.0).map_or(0.0, RunningMean::value);
        (size / mean_request(sizes).max(1.0)).max(MIN_RELATIVE_WORK)
    }

    /// The mean time between requests over the last `span`, or since the first one, in nanoseconds.
    pub fn mean_interval(&self, now: Nanos, span: Nanos) -> f64 {
        self.popularity.mean_interval(now, span)
    }
}

/// The mean size over all requests: each class counts as often as it was requested.
fn mean_request(sizes: &[RunningMean]) -> f64 {
    let add = |(total, count): (f64, f64), size: &RunningMean| {
        let samples = f64::from(size.samples());
        (total + size.value() * samples, count + samples)
    };
    let (total, count) = sizes.iter().fold((0.0, 0.0), add);
    total / count.max(1.0)
}
