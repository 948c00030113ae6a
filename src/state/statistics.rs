//! Running statistics: exponentially weighted means, decaying sums and lagged values.

use crate::api::Nanos;

/// An exponentially weighted mean. The first `1 / gain` samples are weighted equally, as in an arithmetic
/// mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningMean {
    value: f64,
    samples: u32,
}

impl RunningMean {
    /// Adds a sample with weight `gain`, in (0, 1], in the new mean.
    pub fn add(&mut self, sample: f64, gain: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = gain.max(1.0 / f64::from(self.samples));
        self.value += (sample - self.value) * gain;
    }

    /// The mean; 0 without a sample.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// The number of samples added.
    pub fn samples(&self) -> u32 {
        self.samples
    }
}

/// An exponentially decaying sum; its value divided by the time constant is a recent rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    value: f64,
    updated_at: Nanos,
}

impl DecayingSum {
    /// Adds an amount; `time_constant` is the time in which the sum decays to 1/e.
    pub fn add(&mut self, now: Nanos, amount: f64, time_constant: Nanos) {
        self.value = self.value_at(now, time_constant) + amount;
        self.updated_at = now;
    }

    /// The sum, decayed to `now`.
    pub fn value_at(&self, now: Nanos, time_constant: Nanos) -> f64 {
        let age = now.saturating_sub(self.updated_at) as f64;
        self.value * (-age / time_constant.max(1) as f64).exp()
    }
}

/// A first-order low-pass filter: follows `1 - 1/e` of a step change within one time constant.
#[derive(Clone, Copy, Debug, Default)]
pub struct LaggedValue {
    value: f64,
    updated_at: Nanos,
}

impl LaggedValue {
    /// Moves towards `current`, taken as constant since the last call: call it before `current` changes.
    pub fn follow(&mut self, now: Nanos, current: f64, time_constant: Nanos) {
        let age = now.saturating_sub(self.updated_at) as f64;
        self.value = current + (self.value - current) * (-age / time_constant.max(1) as f64).exp();
        self.updated_at = now;
    }

    /// The lagged value as of the last call to [`LaggedValue::follow`].
    pub fn value(&self) -> f64 {
        self.value
    }
}

/// The arithmetic mean of several running means; 0 for an empty slice.
pub fn mean_of_means(means: &[RunningMean]) -> f64 {
    average(means.iter().map(RunningMean::value)).unwrap_or(0.0)
}

/// The arithmetic mean; `None` for an empty iterator.
pub fn average(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

/// The lower median; 0 for an empty iterator.
pub fn lower_median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied().unwrap_or(0.0)
}
