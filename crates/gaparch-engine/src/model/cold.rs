//! A cold start: the ramp, and falling over when pushed.

use crate::spec::EngineSpec;
use gaparch_scheduler::api::Nanos;
use std::collections::VecDeque;

/// Requests of mean weight that chance may add to what is too much.
const CHANCE: f64 = 3.0;

/// What came in lately at an engine that is not warm yet.
#[derive(Clone, Debug)]
pub(super) struct Cold {
    started_at: Nanos,
    recent: VecDeque<(Nanos, f64)>,
    sum: f64,
    seen: (f64, f64),
}

impl Cold {
    pub fn new(started_at: Nanos) -> Self {
        Cold { started_at, recent: VecDeque::new(), sum: 0.0, seen: (0.0, 0.0) }
    }

    /// Share of its speed that it has.
    pub fn speed(&self, now: Nanos, spec: &EngineSpec) -> f64 {
        let age = now.saturating_sub(self.started_at) as f64;
        let warm = (age / spec.cold.max(1) as f64).min(1.0);
        spec.cold_from + (1.0 - spec.cold_from) * warm
    }

    /// Takes work that came in; whether it was too much.
    pub fn push(&mut self, now: Nanos, seconds: f64, spec: &EngineSpec) -> bool {
        self.seen = (self.seen.0 + seconds, self.seen.1 + 1.0);
        if now >= self.started_at.saturating_add(spec.cold) {
            self.recent.clear();
            self.sum = 0.0;
            return false;
        }
        self.recent.push_back((now, seconds));
        self.sum += seconds;
        while let Some((at, seconds)) = self.recent.front().copied() {
            if at.saturating_add(spec.fall) > now {
                break;
            }
            self.recent.pop_front();
            self.sum -= seconds;
        }
        let can = spec.fall_multiple * self.speed(now, spec) * spec.fall as f64 / 1e9;
        let mean = self.seen.0 / self.seen.1;
        self.sum > can + CHANCE * mean
    }
}
