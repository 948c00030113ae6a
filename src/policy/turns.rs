//! How much a router does for one connection before all other connections get their turn.
//!
//! A peer that always has sent more than was handled would otherwise keep the processor, while the
//! requests, timers and sockets of all others wait. A turn is bounded by what it costs and not by its
//! number of reads, since a single read may bring dozens of requests.

/// Bytes that may be read from one connection in a turn.
const BYTES_PER_TURN: usize = 64 * 1024;
/// What a read counts for in bytes, however few it brings: the system call, and parsing once more what was
/// incomplete.
const MIN_READ_COST: usize = 16 * 1024;
/// What accepting a connection counts for in bytes: it is served in a task of its own.
const ACCEPT_COST: usize = 4 * 1024;

/// What has been done for one connection in its current turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn {
    cost: usize,
}

impl Turn {
    /// Records a read of this many bytes.
    pub fn record_read(&mut self, bytes: usize) {
        self.cost = self.cost.saturating_add(bytes.max(MIN_READ_COST));
    }

    /// Records that a connection was accepted.
    pub fn record_accept(&mut self) {
        self.cost = self.cost.saturating_add(ACCEPT_COST);
    }

    /// Records that a message was answered, which ends the turn.
    pub fn record_answer(&mut self) {
        self.cost = BYTES_PER_TURN;
    }

    /// Whether others have to get their turn now. If so, the next turn begins.
    pub fn take_over(&mut self) -> bool {
        let is_over = self.cost >= BYTES_PER_TURN;
        if is_over {
            self.cost = 0;
        }
        is_over
    }
}
