//! Estimates of the memory that outcomes take.

use super::LoggedOutcome;
use gaparch_protocol::ops::outcome::{EngineEvidence, RequestOutcome};

/// The header that the allocator adds to an allocation, in bytes.
const ALLOCATION_HEADER: usize = 8;
/// Allocations are rounded up to a multiple of this.
const ALLOCATION_UNIT: usize = 16;
const MIN_ALLOCATION: usize = 32;
/// The entries of an outcome in two hash maps with their free space, and in the queue of its fingerprint.
const INDEX_BYTES: usize = 280;

/// The bytes of an outcome without its evidence.
pub(super) fn outcome_bytes(outcome: &RequestOutcome) -> usize {
    let attempts = outcome.attempts.iter();
    let attempts: usize = attempts.map(|attempt| size_of_val(attempt) + text_bytes(&attempt.engine)).sum();
    // The queue doubles when it is full: part of it is empty.
    let queue_slot = size_of::<LoggedOutcome>() * 3 / 2;
    queue_slot + text_bytes(&outcome.class) + text_bytes(&outcome.tenant) + attempts + INDEX_BYTES
}

/// The bytes of the evidence of one engine.
pub(super) fn evidence_bytes(evidence: &EngineEvidence) -> usize {
    size_of::<EngineEvidence>() + text_bytes(&evidence.engine) + text_bytes(&evidence.avoid_reason)
}

/// The bytes of a text besides those of its struct.
fn text_bytes(text: &str) -> usize {
    if text.is_empty() {
        return 0;
    }
    (text.len() + ALLOCATION_HEADER).next_multiple_of(ALLOCATION_UNIT).max(MIN_ALLOCATION)
}
