//! The time to first token of decode attempts, by whether the KV cache crosses cells.

use super::{seconds, RunningMean};
use crate::api::Nanos;

/// The mean time to first token of decode attempts, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecodeStartDelays {
    within_cell: RunningMean,
    across_cells: RunningMean,
}

impl DecodeStartDelays {
    /// Adds the time to first token of an attempt that fetched its KV cache within its cell, or across
    /// cells.
    pub fn record(&mut self, is_within_cell: bool, latency: Nanos, gain: f64) {
        let delay = if is_within_cell { &mut self.within_cell } else { &mut self.across_cells };
        delay.add(seconds(latency), gain);
    }

    /// The additional time of a transfer across cells, in seconds; at least 0.
    pub fn extra_across_cells(&self) -> f64 {
        (self.across_cells.value() - self.within_cell.value()).max(0.0)
    }
}
