//! Matches requests that were not served with their retries by the same client.

use super::{ObservedFollowUp, OutcomeLog};
use crate::SECOND;
use gaparch_protocol::ops::outcome::{FollowUp, RequestOutcome};

/// Maximum time from the end of a request to the arrival of its follow-up.
const MAX_FOLLOW_UP_DELAY: u64 = 600 * SECOND;

impl OutcomeLog {
    /// Records a request as the follow-up of the earlier requests with the same fingerprint that had ended
    /// when it arrived, and returns these. Each request has one follow-up, the next request; following them
    /// leads to the outcome of the last retry.
    pub(super) fn record_follow_up(&mut self, outcome: &RequestOutcome) -> Vec<ObservedFollowUp> {
        let Some(candidates) = self.without_follow_up.get(&outcome.fingerprint) else { return Vec::new() };
        let follow_up =
            FollowUp { received_at: outcome.received_at, request: outcome.request, kind: outcome.kind };
        let mut earlier_requests = Vec::new();
        for number in candidates {
            let Some(earlier) = self.get(*number).map(|logged| &logged.outcome) else { continue };
            if is_follow_up(earlier, outcome) {
                earlier_requests.push((*number, earlier.request));
            }
        }
        let mut observed = Vec::new();
        for (number, request) in earlier_requests {
            self.set_follow_up(number, follow_up.clone());
            observed.push(ObservedFollowUp { request, follow_up: follow_up.clone() });
        }
        observed
    }

    pub(super) fn set_follow_up(&mut self, number: u64, follow_up: FollowUp) {
        let Some(index) = self.index(number) else { return };
        let Some(logged) = self.not_served.get_mut(index) else { return };
        logged.outcome.follow_up = Some(follow_up);
        let fingerprint = logged.outcome.fingerprint;
        self.remove_without_follow_up(fingerprint, number);
    }

    /// Removes an outcome from the outcomes without a follow-up.
    pub(super) fn remove_without_follow_up(&mut self, fingerprint: u64, number: u64) {
        if let Some(numbers) = self.without_follow_up.get_mut(&fingerprint) {
            numbers.retain(|other| *other != number);
            if numbers.is_empty() {
                self.without_follow_up.remove(&fingerprint);
            }
        }
    }
}

fn is_follow_up(earlier: &RequestOutcome, later: &RequestOutcome) -> bool {
    let had_ended = earlier.ended_at <= later.received_at;
    let latest = earlier.ended_at.saturating_add(MAX_FOLLOW_UP_DELAY);
    had_ended && latest >= later.received_at
}
