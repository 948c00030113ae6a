//! How long a request may wait before the scheduler gets it: for memory for its head or body, or for a slot
//! in the scheduler's queue.
//!
//! Nothing of such a request was forwarded, so it is rejected, which is harmless, while its client still
//! waits for an answer.

use super::constants::{GIVE_UP_MARGIN_CHECKS, TICK_INTERVAL};
use crate::api::Nanos;

/// Longest wait of a request whose client's time is not known yet. The platform accepts an answer half a
/// second after that time, however short it is.
const UNKNOWN_TIME_WAIT: Nanos = 400_000_000;

/// Returns the longest wait, from the first byte of the request. `remaining` is how long its client waits,
/// if that is known.
pub fn longest_wait(remaining: Option<Nanos>) -> Nanos {
    let margin = (TICK_INTERVAL as f64 * GIVE_UP_MARGIN_CHECKS) as Nanos;
    remaining.map_or(UNKNOWN_TIME_WAIT, |remaining| remaining.saturating_sub(margin))
}
