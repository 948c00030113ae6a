//! The latency of a server, and how it compares with its peers'.

use crate::state::RunningMean;

/// The latency of a server for the work asked of it, and its ratio to the median of its role.
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
    /// Adds a sample that counts for the share `gain`.
    pub fn add(&mut self, sample: f64, gain: f64) {
        self.mean.add(sample, gain);
    }

    /// The mean latency.
    pub fn mean(&self) -> f64 {
        self.mean.value()
    }

    /// Whether there are so many samples that the mean counts.
    pub fn has_samples(&self, needed: u32) -> bool {
        self.mean.samples() >= needed
    }

    /// The latency as a multiple of its peers' median; 1 until it can be told.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Compares the mean with the median of its peers.
    pub fn compare(&mut self, median: f64) {
        self.ratio = self.mean.value() / median.max(1.0);
    }
}
