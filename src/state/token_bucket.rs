//! A token bucket whose rate and capacity are passed with each call, since both may change.

use super::units::seconds;
use crate::api::Nanos;

/// A token bucket whose balance may be negative (in debt).
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Nanos,
}

impl TokenBucket {
    /// A bucket with `tokens` tokens that was never refilled.
    pub fn with_tokens(tokens: f64) -> TokenBucket {
        TokenBucket { tokens, refilled_at: 0 }
    }

    /// A bucket that starts `debt` tokens below zero.
    pub fn in_debt(now: Nanos, debt: f64) -> TokenBucket {
        TokenBucket { tokens: -debt, refilled_at: now }
    }

    /// Takes one token if one is available. A bucket that was never refilled starts full.
    pub fn try_take(&mut self, now: Nanos, per_second: f64, capacity: f64) -> bool {
        if self.refilled_at == 0 {
            *self = TokenBucket { tokens: capacity, refilled_at: now };
        }
        self.refill(now, per_second, capacity);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Adds the tokens earned since the last refill, up to the capacity.
    pub fn refill(&mut self, now: Nanos, per_second: f64, capacity: f64) {
        let elapsed = self.seconds_since_refill(now);
        self.tokens = (self.tokens + elapsed * per_second).min(capacity);
        self.refilled_at = now;
    }

    /// Takes tokens unconditionally; the bucket may go into debt.
    pub fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// The tokens in the bucket; negative while it is in debt.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Seconds elapsed since the last refill.
    pub fn seconds_since_refill(&self, now: Nanos) -> f64 {
        seconds(now.saturating_sub(self.refilled_at))
    }
}
