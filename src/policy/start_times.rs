//! When a listed process began, by this router's own clock, on which slow start goes.
//!
//! The list tells starts by the wall clock of the machines, and a wall clock may be off by an hour, this
//! router's or the machine's. So a told start only names the process; no time is taken from it alone:
//!
//! - A process that a change of the list names first, or under another start than before, begins now, or at
//!   its told start where that was [a moment](BELIEVED) ago by the own clock, as it is where both clocks are
//!   right and the list was not late. It is taken for younger than it is by the delay of the list, for older
//!   by that moment at most.
//! - In a whole list the newest of the processes not told before begins likewise, the others as much earlier
//!   as their told starts are apart, or as the own wall clock says, whichever makes them younger.
//! - If most servers of a kind would be new by that, and are long there by one of the two measures, the older
//!   measure holds for these: a router that starts would otherwise send next to nothing for the length of a
//!   slow start, since most of a fleet may well have begun together long ago.

use crate::api::{KindId, Nanos};
use std::collections::BTreeMap;

/// A told start so long ago by the own clock is taken as it is told. A clock that is off by less shortens
/// or prolongs a slow start by as much; one that is off by more is not believed at all.
const BELIEVED: Nanos = 2_000_000_000;

/// The age of a process that has just joined.
fn age_of_newcomer(now: Nanos, told: Nanos) -> Nanos {
    match now.checked_sub(told) {
        Some(age) if age <= BELIEVED => age,
        _ => 0,
    }
}

/// A process of a list, as far as its start matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedStart {
    pub kind: Option<KindId>,
    /// By the clock of the machines; `None`: long ago.
    pub told: Option<Nanos>,
    /// When it began, by the own clock, if this start of it was told before.
    pub known: Option<Nanos>,
}

impl ListedStart {
    /// Its start, where it is told for the first time.
    fn new_start(&self) -> Option<Nanos> {
        self.told.filter(|_| self.known.is_none())
    }
}

/// When each process of a change of the list began; `None`: long ago.
pub fn of_change(now: Nanos, starts: &[ListedStart]) -> Vec<Option<Nanos>> {
    let began = |told: Nanos| now - age_of_newcomer(now, told);
    starts.iter().map(|start| start.known.or(start.told.map(began))).collect()
}

/// When each process of a whole list began; `None`: long ago.
pub fn of_whole_list(now: Nanos, slow_start: Nanos, starts: &[ListedStart]) -> Vec<Option<Nanos>> {
    let newest = starts.iter().filter_map(ListedStart::new_start).max().unwrap_or(0);
    let age_of_newest = age_of_newcomer(now, newest);
    let measured = |told: Nanos| {
        let by_own_clock = now.saturating_sub(told);
        let by_the_newest = age_of_newest.saturating_add(newest.saturating_sub(told));
        (by_own_clock, by_the_newest)
    };
    let youngest = |told: Nanos| {
        let (by_own_clock, by_the_newest) = measured(told);
        by_own_clock.min(by_the_newest)
    };
    let oldest = |told: Nanos| {
        let (by_own_clock, by_the_newest) = measured(told);
        by_own_clock.max(by_the_newest)
    };
    let is_doubtful = |told: Nanos| youngest(told) < slow_start && oldest(told) >= slow_start;
    let mut counts: BTreeMap<Option<KindId>, (usize, usize)> = BTreeMap::new();
    for start in starts {
        let (doubtful, all) = counts.entry(start.kind).or_default();
        *doubtful += usize::from(start.new_start().is_some_and(is_doubtful));
        *all += 1;
    }
    let began = |start: &ListedStart| {
        let Some(told) = start.new_start() else { return start.known };
        let most = counts.get(&start.kind).is_some_and(|(doubtful, all)| 2 * doubtful > *all);
        let age = if most && is_doubtful(told) { oldest(told) } else { youngest(told) };
        Some(now.saturating_sub(age).max(1))
    };
    starts.iter().map(began).collect()
}
