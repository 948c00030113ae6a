//! Means, rates and values that are followed late.

use crate::api::Nanos;

/// A mean that forgets: each sample counts `gain` of the whole.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    pub value: f64,
    pub samples: u32,
}

impl Mean {
    pub fn add(&mut self, sample: f64, gain: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = gain.max(1.0 / f64::from(self.samples));
        self.value += (sample - self.value) * gain;
    }
}

/// An amount that drains away exponentially, so that `value / span` is a recent rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recent {
    value: f64,
    at: Nanos,
}

impl Recent {
    pub fn add(&mut self, now: Nanos, amount: f64, span: Nanos) {
        self.value = self.get(now, span) + amount;
        self.at = now;
    }

    pub fn get(&self, now: Nanos, span: Nanos) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.value * (-age / span.max(1) as f64).exp()
    }
}

/// Follows a value late, as a report does: `1 - 1/e` of a change is seen after `span`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lagged {
    pub value: f64,
    at: Nanos,
}

impl Lagged {
    /// To be called before `current` changes.
    pub fn follow(&mut self, now: Nanos, current: f64, span: Nanos) {
        let age = now.saturating_sub(self.at) as f64;
        self.value = current + (self.value - current) * (-age / span.max(1) as f64).exp();
        self.at = now;
    }
}

/// Mean of the means.
pub fn mean(means: &[Mean]) -> f64 {
    average(means.iter().map(|m| m.value)).unwrap_or(0.0)
}

pub fn average(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, n) = values.fold((0.0, 0.0), |(sum, n), v| (sum + v, n + 1.0));
    (n > 0.0).then(|| sum / n)
}

/// The lower median; 0 of nothing.
pub fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}
