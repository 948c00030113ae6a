//! Backoff between requests for the full list after a list was rejected.

use super::{ANSWER_TIMEOUT, RETRY_DELAY, WATCH_WAIT};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Longest delay. It takes the place of a watch and must not exceed the time of one, so that a change missed
/// during the delay is still received in time.
pub(super) const MAX_DELAY: Duration = Duration::from_millis(800);
const _: () = assert!(MAX_DELAY.as_millis() <= WATCH_WAIT.as_millis() + ANSWER_TIMEOUT.as_millis());

/// Exponential backoff from [`RETRY_DELAY`] to [`MAX_DELAY`] with jitter, so that many routers that reject
/// the same list do not request it again at the same time.
#[derive(Debug)]
pub(super) struct Backoff {
    step: Duration,
    jitter: ChaCha8Rng,
}

impl Backoff {
    /// Creates a backoff whose jitter is seeded with `seed`.
    pub fn new(seed: u64) -> Backoff {
        Backoff { step: RETRY_DELAY, jitter: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Resets the delay to the shortest.
    pub fn reset(&mut self) {
        self.step = RETRY_DELAY;
    }

    /// Returns the next delay, between half of the current step and the whole step.
    pub fn next_delay(&mut self) -> Duration {
        let step = self.step;
        self.step = (step * 2).min(MAX_DELAY);
        step.mul_f64(self.jitter.random_range(0.5..=1.0))
    }
}

#[cfg(test)]
#[path = "backoff_tests.rs"]
mod tests;
