//! Groups outcomes by kind, cause, queueing reason, class and tenant.

use gaparch_protocol::ops::outcome::{
    OutcomeCause, OutcomeGroup, OutcomeKind, QueueingReason, RequestOutcome,
};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The properties that the outcomes of a group have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey {
    kind: OutcomeKind,
    cause: OutcomeCause,
    queueing_reason: Option<QueueingReason>,
    class: String,
    tenant: String,
}

impl GroupKey {
    fn of(outcome: &RequestOutcome) -> GroupKey {
        GroupKey {
            kind: outcome.kind,
            cause: outcome.cause,
            queueing_reason: outcome.queueing_reason,
            class: outcome.class.clone(),
            tenant: outcome.tenant.clone(),
        }
    }
}

/// Returns the groups, largest first, and the total number of outcomes.
pub(super) fn group<'o>(outcomes: impl Iterator<Item = &'o RequestOutcome>) -> (Vec<OutcomeGroup>, u64) {
    let mut groups: BTreeMap<GroupKey, OutcomeGroup> = BTreeMap::new();
    let mut total = 0;
    for outcome in outcomes {
        total += 1;
        let group = groups.entry(GroupKey::of(outcome)).or_insert_with(|| empty_group(outcome));
        add(group, outcome);
    }
    let mut groups: Vec<OutcomeGroup> = groups.into_values().collect();
    groups.sort_by_key(|group| Reverse(group.count));
    (groups, total)
}

fn empty_group(outcome: &RequestOutcome) -> OutcomeGroup {
    OutcomeGroup {
        kind: outcome.kind,
        cause: outcome.cause,
        queueing_reason: outcome.queueing_reason,
        class: outcome.class.clone(),
        tenant: outcome.tenant.clone(),
        count: 0,
        first_at: outcome.ended_at,
        last_at: outcome.ended_at,
        retried: 0,
        served_on_retry: 0,
        example: outcome.request,
    }
}

fn add(group: &mut OutcomeGroup, outcome: &RequestOutcome) {
    group.count += 1;
    group.first_at = group.first_at.min(outcome.ended_at);
    if outcome.ended_at >= group.last_at {
        group.last_at = outcome.ended_at;
        group.example = outcome.request;
    }
    if let Some(follow_up) = &outcome.follow_up {
        group.retried += 1;
        group.served_on_retry += u64::from(follow_up.kind == OutcomeKind::Served);
    }
}
