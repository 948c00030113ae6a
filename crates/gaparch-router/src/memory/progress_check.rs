//! Limits how long an incomplete message may hold memory while others wait for it.

use super::MemoryPool;
use gaparch_scheduler::policy::memory::{may_keep_memory, PROGRESS_INTERVAL};
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// The progress of an incomplete message that holds memory.
pub struct ProgressCheck {
    next_at: Instant,
    /// Number of bytes that were missing at the last check.
    missing: usize,
}

impl ProgressCheck {
    /// Starts with a message of which this many bytes are missing.
    pub fn new(missing: usize) -> ProgressCheck {
        ProgressCheck { next_at: next_check(), missing }
    }

    /// Waits for the next check.
    pub async fn due(&self) {
        sleep_until(self.next_at).await;
    }

    /// Whether the message, of which this many bytes are missing now, may keep its memory in this pool.
    pub fn may_continue(&mut self, pool: &MemoryPool, missing: usize) -> bool {
        let arrived = self.missing.saturating_sub(missing);
        let may_continue = may_keep_memory(pool.is_contended(), arrived, self.missing);
        *self = ProgressCheck::new(missing);
        may_continue
    }
}

fn next_check() -> Instant {
    Instant::now() + Duration::from_nanos(PROGRESS_INTERVAL)
}
