//! An adaptive rate limit on sends: reduced when sends perform poorly, recovering over time.

use super::units::seconds;
use super::{DecayingSum, TokenBucket};
use crate::api::Nanos;

/// The lowest rate, in sends per second: growth is proportional, so a rate of 0 could never recover.
const MIN_RATE: f64 = 0.02;
/// The bucket holds one send plus what the rate earns in `1 / BURSTS_PER_SECOND` seconds.
const BURSTS_PER_SECOND: f64 = 10.0;

/// How a reduction sets the new rate.
#[derive(Clone, Copy, Debug)]
pub struct RateReduction {
    /// The fraction of the recent rate that stays allowed.
    pub factor: f64,
    /// The longest window over which the recent rate is measured.
    pub measured_over: Nanos,
    /// The minimum time between two reductions.
    pub interval: Nanos,
}

/// A rate limit that grows exponentially with time and is cut by [`AdaptiveThrottle::reduce`]; unlimited at
/// first.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveThrottle {
    /// In sends per second.
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
    /// Whether a send is allowed now. The rate grows by the fraction `growth` per second.
    pub fn allows(&mut self, now: Nanos, growth: f64) -> bool {
        let elapsed = self.bucket.seconds_since_refill(now);
        self.rate = (self.rate * (1.0 + growth * elapsed)).min(f64::MAX);
        self.bucket.refill(now, self.rate, 1.0 + self.rate / BURSTS_PER_SECOND);
        self.bucket.tokens() >= 1.0
    }

    /// Records a send; `measured_over` is the window over which the recent rate is measured.
    pub fn record_send(&mut self, now: Nanos, measured_over: Nanos) {
        self.bucket.spend(1.0);
        if self.first_send_at == 0 {
            self.first_send_at = now;
        }
        self.recent_sends.add(now, 1.0, measured_over);
    }

    /// Reduces the rate to a fraction of the recent one; a no-op within `interval` of the last reduction.
    pub fn reduce(&mut self, now: Nanos, reduction: RateReduction) {
        let RateReduction { factor, measured_over, interval } = reduction;
        if now < self.reduced_at + interval {
            return;
        }
        self.reduced_at = now;
        let measured = now.saturating_sub(self.first_send_at).clamp(interval, measured_over);
        let recent_rate = self.recent_sends.value_at(now, measured_over) / seconds(measured);
        self.rate = (self.rate.min(recent_rate) * factor).max(MIN_RATE);
    }
}
