//! Whether a request may be run under an id that another request had before.
//!
//! Clients choose the ids, a new one for each request. A client that comes back with an old one, perhaps
//! because it left before its answer, asks for the same execution again. If the first may have run and a
//! second may be harmful, the request fails: a rejection would state that a retry is harmless.

use crate::api::{AttemptStatus, Idempotency, Nanos, TrafficClass};

/// How long an id is remembered. Clients give up or retry within seconds.
pub const REMEMBER_FOR: Nanos = 60_000_000_000;
/// Maximum number of ids that are remembered; the oldest is forgotten first.
pub const MAX_REMEMBERED: usize = 16 * 1024;

/// Whether the id of a request of this class has to be remembered once an attempt may have run.
pub fn is_repeat_harmful(class: &TrafficClass) -> bool {
    // A server drops repeats of a request with an idempotency key only within the deduplication window, and
    // only if it is in the same deduplication domain, neither of which holds for a later request.
    class.idempotency != Idempotency::Idempotent
}

/// Whether an attempt that ended like this may have run.
pub fn may_have_run(status: AttemptStatus) -> bool {
    !status.was_never_sent()
        && !matches!(status, AttemptStatus::Rejected | AttemptStatus::Expired | AttemptStatus::Prefilled)
}
