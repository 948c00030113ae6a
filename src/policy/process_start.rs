//! When a listed process started, by this router's own clock, from which slow start runs.
//!
//! The list gives starts by the wall clock of the machines, and a wall clock may be off by an hour,
//! this router's or the machine's. So a listed start only identifies the process; no time is taken
//! from it alone:
//!
//! - A process that a change of the list names first, or under another start than before, started
//!   now, or at its listed start where that was a moment (`MAX_TRUSTED_AGE`) ago by the own clock,
//!   as it is where both clocks are right and the list was not late. It is taken for younger than
//!   it is by the delay of the list, for older by that moment at most.
//! - In a full list the newest of the processes not listed before started likewise, the others as
//!   much earlier as their listed starts are apart, or as the own wall clock says, whichever makes
//!   them younger.
//! - If most servers of a kind would be new by that, and have been there for long by one of the two
//!   measures, the older measure holds for these: a router that starts would otherwise send next to
//!   nothing for the length of a slow start, since most of a fleet may well have started together
//!   long ago.

use crate::api::{KindId, Nanos};
use std::collections::BTreeMap;

/// A listed start so long ago by the own clock is taken as it is listed. A clock that is off by
/// less shortens or prolongs a slow start by as much; one that is off by more is not trusted at
/// all.
const MAX_TRUSTED_AGE: Nanos = 2_000_000_000;

/// The age of a process that has just joined.
fn age_of_newcomer(now: Nanos, listed_start: Nanos) -> Nanos {
    match now.checked_sub(listed_start) {
        Some(age) if age <= MAX_TRUSTED_AGE => age,
        _ => 0,
    }
}

/// A process of a list, as far as its start matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedStart {
    /// The kind of its server.
    pub kind: Option<KindId>,
    /// Its start by the clock of the machines; `None`: long ago.
    pub listed: Option<Nanos>,
    /// Its start by the own clock, if this start of it was listed before.
    pub known: Option<Nanos>,
}

impl ListedStart {
    /// Its listed start, where that is new.
    fn new_start(&self) -> Option<Nanos> {
        self.listed.filter(|_| self.known.is_none())
    }
}

/// When each process of a change of the list started; `None`: long ago.
pub fn starts_of_delta(now: Nanos, starts: &[ListedStart]) -> Vec<Option<Nanos>> {
    let started_at = |listed: Nanos| now - age_of_newcomer(now, listed);
    starts.iter().map(|start| start.known.or(start.listed.map(started_at))).collect()
}

/// When each process of a full list started; `None`: long ago.
pub fn starts_of_full_list(now: Nanos, slow_start: Nanos, starts: &[ListedStart]) -> Vec<Option<Nanos>> {
    let newest = starts.iter().filter_map(ListedStart::new_start).max().unwrap_or(0);
    let measure = AgeMeasure { now, newest, age_of_newest: age_of_newcomer(now, newest) };
    let is_doubtful = |listed: Nanos| measure.of(listed).is_doubtful(slow_start);
    let mut counts: BTreeMap<Option<KindId>, KindCounts> = BTreeMap::new();
    for start in starts {
        let counts = counts.entry(start.kind).or_default();
        counts.doubtful += usize::from(start.new_start().is_some_and(is_doubtful));
        counts.total += 1;
    }
    let started_at = |start: &ListedStart| {
        let Some(listed) = start.new_start() else { return start.known };
        let age = measure.of(listed);
        let are_most_doubtful = counts.get(&start.kind).is_some_and(KindCounts::are_most_doubtful);
        let takes_older = are_most_doubtful && age.is_doubtful(slow_start);
        let age = if takes_older { age.oldest } else { age.youngest };
        Some(now.saturating_sub(age).max(1))
    };
    starts.iter().map(started_at).collect()
}

/// The processes of a kind.
#[derive(Clone, Copy, Default)]
struct KindCounts {
    /// Those that are new by one measure and old by the other.
    doubtful: usize,
    total: usize,
}

impl KindCounts {
    fn are_most_doubtful(&self) -> bool {
        2 * self.doubtful > self.total
    }
}

/// What the ages of a full list are measured by: the own clock, and the newest process.
struct AgeMeasure {
    now: Nanos,
    newest: Nanos,
    age_of_newest: Nanos,
}

/// The age of a process by the two measures.
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
    /// It is in slow start by one measure, and not by the other.
    fn is_doubtful(&self, slow_start: Nanos) -> bool {
        self.youngest < slow_start && self.oldest >= slow_start
    }
}
