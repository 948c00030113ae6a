//! When a listed process started, on this router's own clock. Slow start counts from then.
//!
//! The endpoint list states start times on the wall clocks of the servers' machines. Any wall clock,
//! this router's or a machine's, may be off by an hour. A listed start therefore identifies a process,
//! and is not used as a time on its own:
//!
//! - A process that a list update names for the first time, or with a different start, counts as
//!   started now; or at its listed start, if that is at most `MAX_TRUSTED_AGE` ago on the own clock,
//!   as is the case if both clocks are right and the update was not delayed. The estimate is too young
//!   by the delay of the list, and too old by `MAX_TRUSTED_AGE` at most.
//! - In a full list, this rule applies to the newest of the processes not listed before. Each other
//!   one has two measures of its age: its age on the own wall clock, and the age of the newest plus
//!   the distance between their listed starts. The younger measure counts.
//! - If most servers of a kind are in slow start by one measure and not by the other, the older
//!   measure counts for those servers. Most of a fleet may have started together long ago, and a
//!   router that starts would otherwise send next to nothing for the duration of a slow start.

use crate::api::{KindId, Nanos};
use std::collections::BTreeMap;

/// A listed start up to this age on the own clock is used as listed. A clock error within this bound
/// shortens or prolongs a slow start by the same amount; beyond it, the clock is not trusted.
const MAX_TRUSTED_AGE: Nanos = 2_000_000_000;

/// The age of a process that is listed for the first time.
fn age_of_new_process(now: Nanos, listed_start: Nanos) -> Nanos {
    match now.checked_sub(listed_start) {
        Some(age) if age <= MAX_TRUSTED_AGE => age,
        _ => 0,
    }
}

/// The start of a listed process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedStart {
    /// The kind of its server.
    pub kind: Option<KindId>,
    /// Its start on the wall clock of its machine; `None`: long ago.
    pub listed: Option<Nanos>,
    /// Its start on the own clock, if the same start was listed before.
    pub known: Option<Nanos>,
}

impl ListedStart {
    /// Its listed start, if that was not listed before.
    fn new_start(&self) -> Option<Nanos> {
        self.listed.filter(|_| self.known.is_none())
    }
}

/// When each process of a list update started, on the own clock; `None`: long ago.
pub fn starts_of_delta(now: Nanos, starts: &[ListedStart]) -> Vec<Option<Nanos>> {
    let started_at = |listed: Nanos| now - age_of_new_process(now, listed);
    starts.iter().map(|start| start.known.or(start.listed.map(started_at))).collect()
}

/// When each process of a full list started, on the own clock; `None`: long ago.
pub fn starts_of_full_list(now: Nanos, slow_start: Nanos, starts: &[ListedStart]) -> Vec<Option<Nanos>> {
    let newest = starts.iter().filter_map(ListedStart::new_start).max().unwrap_or(0);
    let measure = AgeMeasure { now, newest, age_of_newest: age_of_new_process(now, newest) };
    let is_ambiguous = |listed: Nanos| measure.of(listed).is_ambiguous(slow_start);
    let mut counts: BTreeMap<Option<KindId>, KindCounts> = BTreeMap::new();
    for start in starts {
        let counts = counts.entry(start.kind).or_default();
        counts.ambiguous += usize::from(start.new_start().is_some_and(is_ambiguous));
        counts.total += 1;
    }
    let started_at = |start: &ListedStart| {
        let Some(listed) = start.new_start() else { return start.known };
        let age = measure.of(listed);
        let are_most_ambiguous = counts.get(&start.kind).is_some_and(KindCounts::are_most_ambiguous);
        let use_oldest = are_most_ambiguous && age.is_ambiguous(slow_start);
        let age = if use_oldest { age.oldest } else { age.youngest };
        Some(now.saturating_sub(age).max(1))
    };
    starts.iter().map(started_at).collect()
}

/// Process counts of one kind.
#[derive(Clone, Copy, Default)]
struct KindCounts {
    /// Processes that are in slow start by one measure and not by the other.
    ambiguous: usize,
    total: usize,
}

impl KindCounts {
    fn are_most_ambiguous(&self) -> bool {
        2 * self.ambiguous > self.total
    }
}

/// The reference points of the two age measures in a full list: the own clock and the newest process.
struct AgeMeasure {
    now: Nanos,
    newest: Nanos,
    age_of_newest: Nanos,
}

/// The two measures of a process's age, in order.
struct AgeRange {
    youngest: Nanos,
    oldest: Nanos,
}

impl AgeMeasure {
    fn of(&self, listed_start: Nanos) -> AgeRange {
        let by_own_clock = self.now.saturating_sub(listed_start);
        let before_newest = self.newest.saturating_sub(listed_start);
        let by_newest = self.age_of_newest.saturating_add(before_newest);
        AgeRange { youngest: by_own_clock.min(by_newest), oldest: by_own_clock.max(by_newest) }
    }
}

impl AgeRange {
    /// Whether the process is in slow start by one measure and not by the other.
    fn is_ambiguous(&self, slow_start: Nanos) -> bool {
        self.youngest < slow_start && self.oldest >= slow_start
    }
}
