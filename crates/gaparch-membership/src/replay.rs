//! Detection of replayed messages.

/// The number of sequence numbers that the window covers; older ones count as seen.
const WINDOW_LENGTH: u64 = 128;

/// A sliding window over the sequence numbers of one process, as in IPsec (RFC 4303, appendix A2).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if the sequence number `highest - n` was seen.
    seen: u128,
}

impl ReplayWindow {
    /// Records a sequence number; returns whether it is seen for the first time.
    pub fn admit(&mut self, seq: u64) -> bool {
        if seq > self.highest {
            let ahead = seq - self.highest;
            self.seen = if ahead >= WINDOW_LENGTH { 0 } else { self.seen << ahead };
            self.seen |= 1;
            self.highest = seq;
            return true;
        }
        let behind = self.highest - seq;
        // Sequence numbers start at 1; 0 is the initial value of `highest`, not a number that was seen.
        if seq == 0 || behind >= WINDOW_LENGTH || self.seen & (1 << behind) != 0 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}

#[cfg(test)]
#[path = "replay_tests.rs"]
mod tests;
