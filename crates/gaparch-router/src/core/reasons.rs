//! Why attempts and requests have ended, and what is held meanwhile: for the summary line, and for whoever asks which
//! request holds something for how long.

use super::Core;
use gaparch_scheduler::api::{AttemptStatus, Nanos, RequestId, ServerId};
use gaparch_scheduler::counts::write_counts;
use std::collections::BTreeMap;
use std::fmt;

/// How often something happened, by its reason. The reasons are a closed set of words.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReasonCounts {
    counts: BTreeMap<&'static str, u64>,
}

impl ReasonCounts {
    pub(super) fn count(&mut self, reason: &'static str) {
        *self.counts.entry(reason).or_default() += 1;
    }
}

impl fmt::Display for ReasonCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_counts(f, self.counts.iter().map(|(reason, count)| (*reason, *count)))
    }
}

/// Reasons of all that has ended since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reasons {
    /// Requests that were refused, by their cause.
    pub refused: ReasonCounts,
    /// Requests that failed, by their cause.
    pub failed: ReasonCounts,
    /// Attempts that did not do what they were sent for, by their status.
    pub attempts: ReasonCounts,
    /// Attempts after another of the same request, by the status of the one before.
    pub retries: ReasonCounts,
}

/// What was read for a request and that no writer is known to have fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldState {
    pub request: RequestId,
    pub reader: ServerId,
    /// When its read ended.
    pub since: Nanos,
    /// Where a write for it is out that has not been answered.
    pub unanswered_at: Option<ServerId>,
}

impl Core {
    /// Why attempts and requests have ended since the start.
    pub fn reasons(&self) -> &Reasons {
        &self.reasons
    }

    /// How the last attempt of a request has ended, if one has.
    pub fn last_status(&self, id: RequestId) -> Option<AttemptStatus> {
        self.live.get(&id)?.last_status
    }

    /// What is held for requests whose answer has not begun.
    pub fn held_states(&self) -> impl Iterator<Item = HeldState> + '_ {
        self.live.iter().filter_map(|(request, live)| {
            let (reader, since) = (live.state_at?, live.held_since?);
            let unanswered_at = live.attempt.map(|attempt| attempt.server);
            Some(HeldState { request: *request, reader, since, unanswered_at })
        })
    }
}
