//! Clients that send a request again which was not served.

use super::{ObservedFollowUp, OutcomeLog};
use crate::SECOND;
use gaparch_protocol::ops::outcome::{FollowUp, RequestOutcome};

/// A request that comes later than this after the end of an earlier one is not its follow-up.
const MAX_FOLLOW_UP_DELAY: u64 = 600 * SECOND;

impl OutcomeLog {
    /// Notes the request as the follow-up of earlier ones with the same fingerprint which had ended when it came in. Each
    /// request has one follow-up, the next one; so the outcome of the last retry is found by following them.
    pub(super) fn follow_ups_by(&mut self, outcome: &RequestOutcome) -> Vec<ObservedFollowUp> {
        let Some(open) = self.without_follow_up.get(&outcome.fingerprint) else { return Vec::new() };
        let follow_up =
            FollowUp { received_at: outcome.received_at, request: outcome.request, kind: outcome.kind };
        let mut followed = Vec::new();
        for number in open {
            let Some(earlier) = self.get(*number).map(|logged| &logged.outcome) else { continue };
            if is_follow_up(earlier, outcome) {
                followed.push((*number, earlier.request));
            }
        }
        let mut observed = Vec::new();
        for (number, request) in followed {
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
        self.forget_open(fingerprint, number);
    }

    /// Removes an outcome from those without a follow-up.
    pub(super) fn forget_open(&mut self, fingerprint: u64, number: u64) {
        if let Some(open) = self.without_follow_up.get_mut(&fingerprint) {
            open.retain(|other| *other != number);
            if open.is_empty() {
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
