//! The limit on the bytes that one member sends.

use crate::Nanos;

/// The maximum rate at which one member sends, whatever the number of members.
const BYTES_PER_SECOND: f64 = 65_536.0;
/// The maximum number of bytes that may be sent at once after a time without sending.
const BURST_BYTES: f64 = 65_536.0;

/// A token bucket that counts bytes.
#[derive(Clone, Debug)]
pub(crate) struct SendBudget {
    available: f64,
    refilled_at: Nanos,
}

impl SendBudget {
    pub fn new(now: Nanos) -> SendBudget {
        SendBudget { available: BURST_BYTES, refilled_at: now }
    }

    /// Takes the bytes of one datagram from the budget; returns whether it may be sent.
    pub fn take(&mut self, bytes: f64, now: Nanos) -> bool {
        let gained = now.saturating_sub(self.refilled_at) as f64 / 1e9 * BYTES_PER_SECOND;
        self.available = (self.available + gained).min(BURST_BYTES);
        self.refilled_at = now;
        if self.available < bytes {
            return false;
        }
        self.available -= bytes;
        true
    }
}
