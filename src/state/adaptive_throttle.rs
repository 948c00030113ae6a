//! A limit on a rate of sends that falls when they do badly and recovers with time.

use super::units::seconds;
use super::{DecayingSum, TokenBucket};
use crate::api::Nanos;

/// The lowest rate, in sends a second: at 0 it could never recover.
const LOWEST_RATE: f64 = 0.02;
/// How many times a second a full bucket of sends may be made at once.
const BURSTS_PER_SECOND: f64 = 10.0;

/// The share of the recent rate that goes on after a reduction, and how that rate is measured.
#[derive(Clone, Copy, Debug)]
pub struct RateReduction {
    /// The share of the recent rate that goes on.
    pub factor: f64,
    /// The span over which the recent rate is measured.
    pub measured_over: Nanos,
    /// The least time between two reductions.
    pub interval: Nanos,
}

/// A rate of sends that falls when they do badly and grows with time; at first it is unlimited.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveThrottle {
    /// In sends a second.
    rate: f64,
    bucket: TokenBucket,
    reduced_at: Nanos,
    first_send_at: Nanos,
    recent_sends: DecayingSum,
}

impl Default for AdaptiveThrottle {
    fn default() -> AdaptiveThrottle {
        AdaptiveThrottle {
            rate: f64::MAX,
            bucket: TokenBucket::with_tokens(1.0),
            reduced_at: 0,
            first_send_at: 0,
            recent_sends: DecayingSum::default(),
        }
    }
}

impl AdaptiveThrottle {
    /// Whether a send is allowed; the rate grows by the share `growth` a second.
    pub fn allows(&mut self, now: Nanos, growth: f64) -> bool {
        let elapsed = self.bucket.seconds_since_refill(now);
        self.rate = (self.rate * (1.0 + growth * elapsed)).min(f64::MAX);
        self.bucket.refill(now, self.rate, 1.0 + self.rate / BURSTS_PER_SECOND);
        self.bucket.tokens() >= 1.0
    }

    /// Records a send; `measured_over` is the span over which the recent rate is measured.
    pub fn record_send(&mut self, now: Nanos, measured_over: Nanos) {
        self.bucket.spend(1.0);
        if self.first_send_at == 0 {
            self.first_send_at = now;
        }
        self.recent_sends.add(now, 1.0, measured_over);
    }

    /// Reduces the rate to a share of the recent one, unless that was done a moment ago.
    pub fn reduce(&mut self, now: Nanos, reduction: RateReduction) {
        let RateReduction { factor, measured_over, interval } = reduction;
        if now < self.reduced_at + interval {
            return;
        }
        self.reduced_at = now;
        let measured = now.saturating_sub(self.first_send_at).clamp(interval, measured_over);
        let recent_rate = self.recent_sends.value_at(now, measured_over) / seconds(measured);
        self.rate = (self.rate.min(recent_rate) * factor).max(LOWEST_RATE);
    }
}
