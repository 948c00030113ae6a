//! The requests in progress, with what the decisions ask of all of them kept up to date as each changes.

use super::{Part, Work};
use crate::api::{Nanos, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// Parts of a token in which pledges are added up: whole numbers, so that the order of changes leaves no trace.
const PARTS: f64 = 1024.0;
/// No request needs more tokens; a sum of a million such still fits.
const MOST: f64 = 1e9;

#[derive(Clone, Debug, Default)]
pub struct Works {
    all: BTreeMap<RequestId, Booked>,
    /// Unbegun ones that are not held before their read: an attempt is out, or a state waits.
    active: BTreeSet<RequestId>,
    /// Sum of what writers will have to take.
    pledged: i64,
}

#[derive(Clone, Debug)]
struct Booked {
    work: Work,
    pledged: i64,
}

impl Works {
    pub fn get(&self, id: &RequestId) -> Option<&Work> {
        self.all.get(id).map(|b| &b.work)
    }

    /// To be changed; [`Works::note`] must follow where an attempt, a state or the end changes.
    pub fn get_mut(&mut self, id: &RequestId) -> Option<&mut Work> {
        self.all.get_mut(id).map(|b| &mut b.work)
    }

    pub fn insert(&mut self, id: RequestId, work: Work) {
        self.remove(&id);
        self.all.insert(id, Booked { work, pledged: 0 });
        self.note(&id);
    }

    pub fn remove(&mut self, id: &RequestId) {
        self.active.remove(id);
        self.pledged -= self.all.remove(id).map_or(0, |b| b.pledged);
    }

    /// Books what has changed of a request.
    pub fn note(&mut self, id: &RequestId) {
        let Some(Booked { work, pledged }) = self.all.get_mut(id) else { return };
        let now = if work.pledged() { (work.need().clamp(0.0, MOST) * PARTS) as i64 } else { 0 };
        self.pledged += now - std::mem::replace(pledged, now);
        let active = work.unbegun() && (work.sent.is_some() || work.state.is_some());
        match active {
            true => self.active.insert(*id),
            false => self.active.remove(id),
        };
    }

    /// Tokens that writers will have to take.
    pub fn pledged(&self) -> f64 {
        self.pledged as f64 / PARTS
    }

    /// In the order of their ids.
    pub fn active(&self) -> &BTreeSet<RequestId> {
        &self.active
    }
}

/// Order in which held requests leave.
pub type Turn = (bool, Nanos, RequestId);

/// What decides whether a held request can go, so that most need no look.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wants {
    pub need: f64,
    /// Tokens to read at least, whatever is kept.
    pub unread: f64,
    pub aim: f64,
}

/// A part of the traffic of which some may go: the next in turn, and what there was no room for.
pub struct Open {
    pub part: Option<Part>,
    pub first: Option<(Turn, Wants)>,
    pub too_much: f64,
}

/// Requests held before their read.
#[derive(Clone, Debug, Default)]
pub struct Held {
    groups: BTreeMap<Option<Part>, Group>,
    by_end: BTreeSet<(Nanos, RequestId)>,
    places: BTreeMap<RequestId, (Option<Part>, Turn, Wants, Nanos)>,
}

/// Those that any server may be asked for, by part of the traffic; under `None` those that some must not.
#[derive(Clone, Debug, Default)]
pub struct Group {
    turns: BTreeMap<Turn, Wants>,
    needs: BTreeMap<u64, usize>,
    unread: BTreeMap<u64, usize>,
    aims: BTreeMap<u64, usize>,
}

impl Group {
    /// The least need, the least to read and the longest aim of any of them.
    pub fn easiest(&self) -> Wants {
        let first = |of: &BTreeMap<u64, usize>| of.keys().next().map_or(0.0, |bits| f64::from_bits(*bits));
        let last =
            |of: &BTreeMap<u64, usize>| of.keys().next_back().map_or(0.0, |bits| f64::from_bits(*bits));
        Wants { need: first(&self.needs), unread: first(&self.unread), aim: last(&self.aims) }
    }

    pub fn is_single(&self) -> bool {
        self.turns.len() == 1
    }

    fn add(&mut self, turn: Turn, wants: Wants) {
        self.turns.insert(turn, wants);
        // Figures are never negative: their bits are in their order.
        *self.needs.entry(wants.need.max(0.0).to_bits()).or_default() += 1;
        *self.unread.entry(wants.unread.max(0.0).to_bits()).or_default() += 1;
        *self.aims.entry(wants.aim.max(0.0).to_bits()).or_default() += 1;
    }

    fn take(&mut self, turn: &Turn, wants: Wants) {
        self.turns.remove(turn);
        let less = |of: &mut BTreeMap<u64, usize>, value: f64| {
            let bits = value.max(0.0).to_bits();
            if let Some(count) = of.get_mut(&bits) {
                *count -= 1;
                if *count == 0 {
                    of.remove(&bits);
                }
            }
        };
        less(&mut self.needs, wants.need);
        less(&mut self.unread, wants.unread);
        less(&mut self.aims, wants.aim);
    }

    /// The first after that turn, or of all.
    pub fn after(&self, turn: Option<Turn>) -> Option<(Turn, Wants)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = turn.map_or(Unbounded, Excluded);
        self.turns.range((from, Unbounded)).next().map(|(turn, wants)| (*turn, *wants))
    }
}

impl Held {
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub fn groups(&self) -> impl Iterator<Item = (&Option<Part>, &Group)> {
        self.groups.iter()
    }

    pub fn group(&self, part: &Option<Part>) -> Option<&Group> {
        self.groups.get(part)
    }

    /// `end`: when it has to be looked at, at the latest.
    pub fn insert(&mut self, id: RequestId, work: &Work, end: Nanos) {
        self.remove(&id);
        let plain = work.avoid.is_empty() && work.may_have_run.is_none();
        let part = plain.then(|| work.part());
        let turn = (work.over_share, work.aim_at, id);
        let unread = (work.request.prompt_tokens - work.request.prefix_tokens).max(0.0);
        let wants = Wants { need: work.need(), unread, aim: work.aim() };
        self.groups.entry(part).or_default().add(turn, wants);
        self.by_end.insert((end, id));
        self.places.insert(id, (part, turn, wants, end));
    }

    pub fn remove(&mut self, id: &RequestId) {
        let Some((part, turn, wants, end)) = self.places.remove(id) else { return };
        self.by_end.remove(&(end, *id));
        if let Some(group) = self.groups.get_mut(&part) {
            group.take(&turn, wants);
            if group.turns.is_empty() {
                self.groups.remove(&part);
            }
        }
    }

    /// Those whose end comes by `end`, or whose aim is past before `aim`.
    pub fn due(&self, end: Nanos, aim: Nanos) -> impl Iterator<Item = RequestId> + '_ {
        let ending = self.by_end.iter().take_while(move |(at, _)| *at <= end).map(|(_, id)| *id);
        let late = self.groups.values().flat_map(move |group| {
            [false, true].into_iter().flat_map(move |over| {
                let first = (over, 0, RequestId(0));
                let turns = group.turns.range(first..).map(|(turn, _)| *turn);
                turns.take_while(move |turn| turn.0 == over && turn.1 < aim).map(|turn| turn.2)
            })
        });
        ending.chain(late)
    }
}
