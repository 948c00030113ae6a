//! Token buckets, and a rate that falls when sends do badly.

use super::Recent;
use crate::api::Nanos;

/// A token bucket; the caller gives rate and depth, since both change.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    pub level: f64,
    pub at: Nanos,
}

impl Bucket {
    /// In debt.
    pub fn owing(now: Nanos, debt: f64) -> Bucket {
        Bucket { level: -debt, at: now }
    }

    /// Takes one, if there is one; a bucket never used is full.
    pub fn take(&mut self, now: Nanos, per_s: f64, depth: f64) -> bool {
        if self.at == 0 {
            *self = Bucket { level: depth, at: now };
        }
        self.fill(now, per_s, depth);
        let some = self.level >= 1.0;
        if some {
            self.level -= 1.0;
        }
        some
    }

    pub fn fill(&mut self, now: Nanos, per_s: f64, depth: f64) {
        let span = now.saturating_sub(self.at) as f64 / 1e9;
        self.level = (self.level + span * per_s).min(depth);
        self.at = now;
    }
}

/// A rate of sends that falls when they do badly and grows with time.
#[derive(Clone, Copy, Debug)]
pub struct Throttle {
    /// Sends a second.
    rate: f64,
    bucket: Bucket,
    cut_at: Nanos,
    since: Nanos,
    sent: Recent,
}

impl Default for Throttle {
    fn default() -> Throttle {
        let bucket = Bucket { level: 1.0, at: 0 };
        Throttle { rate: f64::MAX, bucket, cut_at: 0, since: 0, sent: Recent::default() }
    }
}

impl Throttle {
    /// Whether a send is allowed; the rate grows by the share `growth` a second.
    pub fn allows(&mut self, now: Nanos, growth: f64) -> bool {
        let span_s = now.saturating_sub(self.bucket.at) as f64 / 1e9;
        self.rate = (self.rate * (1.0 + growth * span_s)).min(f64::MAX);
        self.bucket.fill(now, self.rate, 1.0 + self.rate / 10.0);
        self.bucket.level >= 1.0
    }

    pub fn take(&mut self, now: Nanos, span: Nanos) {
        self.bucket.level -= 1.0;
        self.since = if self.since == 0 { now } else { self.since };
        self.sent.add(now, 1.0, span);
    }

    /// Cuts the rate to a share of what was sent lately, once in `gap` at most.
    pub fn cut(&mut self, now: Nanos, share: f64, span: Nanos, gap: Nanos) {
        if now >= self.cut_at + gap {
            self.cut_at = now;
            let span_s = now.saturating_sub(self.since).clamp(gap, span) as f64 / 1e9;
            self.rate = (self.rate.min(self.sent.get(now, span) / span_s) * share).max(0.02);
        }
    }
}
