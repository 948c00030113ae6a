//! What the requests of this router are like: their sizes by class, how often they come, and how
//! long they take.

use super::{mean_of_means, LaggedValue, PrefixPopularity, RecentRequests, RunningMean, Stage};
use crate::api::{AffinityKey, ClassId, Nanos};

/// The least work that a request counts for, in mean requests.
const MIN_RELATIVE_WORK: f64 = 0.1;

/// Sizes by class, rates, and times to the first token of this router's requests.
#[derive(Clone, Debug, Default)]
pub struct TrafficStatistics {
    prompt_tokens: Vec<RunningMean>,
    output_tokens: Vec<RunningMean>,
    time_to_first_token: LaggedValue,
    popularity: PrefixPopularity,
}

impl TrafficStatistics {
    /// Statistics of so many classes.
    pub fn new(classes: usize) -> TrafficStatistics {
        TrafficStatistics {
            prompt_tokens: vec![RunningMean::default(); classes],
            output_tokens: vec![RunningMean::default(); classes],
            ..TrafficStatistics::default()
        }
    }

    /// Counts a request by its shared prefix, and returns how many there were before it.
    pub fn record_arrival(&mut self, now: Nanos, prefix: Option<AffinityKey>, span: Nanos) -> RecentRequests {
        self.popularity.record(now, prefix, span)
    }

    /// Adds the size of a request of a known class.
    pub fn record_size(&mut self, class: ClassId, prompt_tokens: f64, output_tokens: f64, gain: f64) {
        self.prompt_tokens[class.0].add(prompt_tokens, gain);
        self.output_tokens[class.0].add(output_tokens, gain);
    }

    /// Adds the time from a request's first send to its first token.
    pub fn record_first_token(&mut self, now: Nanos, elapsed: Nanos, time_constant: Nanos) {
        self.time_to_first_token.follow(now, elapsed as f64, time_constant);
    }

    /// The recent time from a request's first send to its first token.
    pub fn time_to_first_token(&self) -> Nanos {
        self.time_to_first_token.value() as Nanos
    }

    /// The mean tokens of a request, prompt and answer together.
    pub fn mean_request_tokens(&self) -> f64 {
        mean_of_means(&self.prompt_tokens) + mean_of_means(&self.output_tokens)
    }

    /// The work of a class's request in a stage, as a multiple of the mean request's.
    pub fn relative_work(&self, stage: Stage, class: ClassId) -> f64 {
        let sizes = match stage {
            Stage::Prefill => &self.prompt_tokens,
            Stage::Decode | Stage::Combined => &self.output_tokens,
        };
        let size = sizes.get(class.0).map_or(0.0, RunningMean::value);
        (size / mean_of_means(sizes).max(1.0)).max(MIN_RELATIVE_WORK)
    }

    /// The mean time between requests over the last `span`, in nanoseconds.
    pub fn mean_interval(&self, now: Nanos, span: Nanos) -> f64 {
        self.popularity.mean_interval(now, span)
    }
}
