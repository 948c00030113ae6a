//! Detection of messages that were received before.

/// The number of sequence numbers that are remembered; an older one counts as seen.
const WINDOW_LENGTH: u64 = 128;

/// A sliding window over the sequence numbers of one process, as in IPsec (RFC 4303, appendix A2).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if the number `highest - n` was seen.
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
        // Number 0 is never used, so that a new window has seen nothing.
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
