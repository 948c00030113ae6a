//! Matches outcomes against a filter.

use super::LoggedOutcome;
use gaparch_protocol::ops::outcome::OutcomeFilter;

/// Whether an outcome matches every field of the filter that is set.
pub(super) fn matches(logged: &LoggedOutcome, filter: &OutcomeFilter) -> bool {
    let outcome = &logged.outcome;
    filter.kind.is_none_or(|kind| kind == outcome.kind)
        && filter.cause.is_none_or(|cause| cause == outcome.cause)
        && filter.queueing_reason.is_none_or(|reason| Some(reason) == outcome.queueing_reason)
        && filter.class.as_ref().is_none_or(|class| *class == outcome.class)
        && filter.tenant.as_ref().is_none_or(|tenant| *tenant == outcome.tenant)
        && filter.engine.as_ref().is_none_or(|engine| involves_engine(logged, engine))
        && filter.since.is_none_or(|since| outcome.ended_at >= since)
        && filter.until.is_none_or(|until| outcome.ended_at <= until)
}

/// Whether the request was sent to the engine, or the scheduler avoided the engine for it.
fn involves_engine(logged: &LoggedOutcome, engine: &str) -> bool {
    let was_sent = logged.outcome.attempts.iter().any(|attempt| attempt.engine == engine);
    let mut avoided = logged.evidence.iter().filter(|evidence| !evidence.avoid_reason.is_empty());
    was_sent || avoided.any(|evidence| evidence.engine == engine)
}
