//! Estimates of the memory use of outcomes.

use super::LoggedOutcome;
use gaparch_protocol::ops::outcome::{EngineEvidence, RequestOutcome};

/// Bytes that the allocator adds to an allocation.
const ALLOCATION_HEADER: usize = 8;
/// Allocations are rounded up to a multiple of this number of bytes.
const ALLOCATION_UNIT: usize = 16;
const MIN_ALLOCATION: usize = 32;
/// Bytes of an outcome's entries in two hash maps, including their spare capacity, and in the queue of its
/// fingerprint.
const INDEX_BYTES: usize = 280;

/// Estimates the bytes of an outcome without its evidence.
pub(super) fn outcome_bytes(outcome: &RequestOutcome) -> usize {
    let attempts = outcome.attempts.iter();
    let attempts: usize = attempts.map(|attempt| size_of_val(attempt) + text_bytes(&attempt.engine)).sum();
    // The queue doubles its capacity when it is full, so part of it is unused.
    let queue_slot = size_of::<LoggedOutcome>() * 3 / 2;
    queue_slot + text_bytes(&outcome.class) + text_bytes(&outcome.tenant) + attempts + INDEX_BYTES
}

/// Estimates the bytes of the evidence of one engine.
pub(super) fn evidence_bytes(evidence: &EngineEvidence) -> usize {
    size_of::<EngineEvidence>() + text_bytes(&evidence.engine) + text_bytes(&evidence.avoid_reason)
}

/// Estimates the heap bytes of a string.
fn text_bytes(text: &str) -> usize {
    if text.is_empty() {
        return 0;
    }
    (text.len() + ALLOCATION_HEADER).next_multiple_of(ALLOCATION_UNIT).max(MIN_ALLOCATION)
}
