//! The latency of a server, compared with the servers of the same role.

use crate::state::RunningMean;

/// The mean latency of a server, and its ratio to the median of its role.
#[derive(Clone, Copy, Debug)]
pub struct LatencyRecord {
    mean: RunningMean,
    ratio: f64,
}

impl Default for LatencyRecord {
    fn default() -> LatencyRecord {
        LatencyRecord { mean: RunningMean::default(), ratio: 1.0 }
    }
}

impl LatencyRecord {
    /// Adds a sample with weight `gain`.
    pub fn add(&mut self, sample: f64, gain: f64) {
        self.mean.add(sample, gain);
    }

    /// The mean latency.
    pub fn mean(&self) -> f64 {
        self.mean.value()
    }

    /// Whether there are at least `needed` samples.
    pub fn has_samples(&self, needed: u32) -> bool {
        self.mean.samples() >= needed
    }

    /// The ratio of the mean to the median of the role; 1 until it is first compared.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Updates the ratio from the median of the role.
    pub fn compare(&mut self, median: f64) {
        self.ratio = self.mean.value() / median.max(1.0);
    }
}
