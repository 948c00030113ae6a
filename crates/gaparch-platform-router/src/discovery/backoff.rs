//! How long to wait before the whole list is asked for again after one that could not be taken.

use super::{AGAIN, ANSWER, WAIT};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// The longest wait. A change that is missed meanwhile is still told in time: this wait takes the place of a watch's.
pub(super) const MOST_BACKOFF: Duration = Duration::from_millis(800);
const _: () = assert!(MOST_BACKOFF.as_millis() <= WAIT.as_millis() + ANSWER.as_millis());

/// Doubles from [`AGAIN`] up to [`MOST_BACKOFF`] while lists are refused, with jitter, so that many routers that refuse
/// the same list don't ask for it together.
#[derive(Debug)]
pub(super) struct Backoff {
    next: Duration,
    jitter: ChaCha8Rng,
}

impl Backoff {
    pub fn new(seed: u64) -> Backoff {
        Backoff { next: AGAIN, jitter: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// A list was taken.
    pub fn reset(&mut self) {
        self.next = AGAIN;
    }

    /// How long to wait now: between half of the present step and all of it.
    pub fn wait(&mut self) -> Duration {
        let step = self.next;
        self.next = (step * 2).min(MOST_BACKOFF);
        step.mul_f64(self.jitter.random_range(0.5..=1.0))
    }
}

#[cfg(test)]
#[path = "backoff_tests.rs"]
mod tests;
