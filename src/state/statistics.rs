//! Running statistics: means, decaying sums and lagged values. Whoever holds one owns its state.

use crate::api::Nanos;

/// An exponentially weighted mean. Until there are enough samples for its gain, all of them count
/// alike.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningMean {
    value: f64,
    samples: u32,
}

impl RunningMean {
    /// Adds a sample that counts for the share `gain` of the new mean, in (0, 1].
    pub fn add(&mut self, sample: f64, gain: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = gain.max(1.0 / f64::from(self.samples));
        self.value += (sample - self.value) * gain;
    }

    /// The mean; 0 without a sample.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// The number of samples that were added.
    pub fn samples(&self) -> u32 {
        self.samples
    }
}

/// A sum that decays exponentially, so that its value divided by the time constant is a recent rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    value: f64,
    updated_at: Nanos,
}

impl DecayingSum {
    /// Adds an amount; `time_constant` is the time in which the sum falls to 1/e.
    pub fn add(&mut self, now: Nanos, amount: f64, time_constant: Nanos) {
        self.value = self.value_at(now, time_constant) + amount;
        self.updated_at = now;
    }

    /// The sum as it has decayed by `now`.
    pub fn value_at(&self, now: Nanos, time_constant: Nanos) -> f64 {
        let age = now.saturating_sub(self.updated_at) as f64;
        self.value * (-age / time_constant.max(1) as f64).exp()
    }
}

/// A value that follows another with a lag: `1 - 1/e` of a change is seen after the time constant.
#[derive(Clone, Copy, Debug, Default)]
pub struct LaggedValue {
    value: f64,
    updated_at: Nanos,
}

impl LaggedValue {
    /// Moves towards `current`, which has held since the last call: to be called before `current`
    /// changes.
    pub fn follow(&mut self, now: Nanos, current: f64, time_constant: Nanos) {
        let age = now.saturating_sub(self.updated_at) as f64;
        self.value = current + (self.value - current) * (-age / time_constant.max(1) as f64).exp();
        self.updated_at = now;
    }

    /// The lagged value as of the last call of [`LaggedValue::follow`].
    pub fn value(&self) -> f64 {
        self.value
    }
}

/// The mean of several running means; 0 of none.
pub fn mean_of_means(means: &[RunningMean]) -> f64 {
    average(means.iter().map(RunningMean::value)).unwrap_or(0.0)
}

/// The arithmetic mean; `None` of no values.
pub fn average(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

/// The lower median; 0 of no values.
pub fn lower_median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len().saturating_sub(1) / 2;
    values.get(middle).copied().unwrap_or(0.0)
}
