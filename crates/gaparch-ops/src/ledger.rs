//! Why requests were not served, and what became of their clients.
//!
//! Bounded in bytes: the oldest go. All endings come by, since a client that comes back is known by how its next
//! request ended; only those not served are kept for long, of the others the last few.

use crate::SECOND;
use gaparch_protocol::ops::ending::{EndKind, Ending, EndingFilter, Evidence, FollowUp, Group, RequestName};
use gaparch_protocol::ops::view::TenantView;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Of records on disk.
pub const SCHEMA: u16 = 1;
/// A client that comes later than this has not come back, it has come again.
pub const FOLLOWED_FOR: u64 = 600 * SECOND;
/// Endings kept that were served.
const RECENT: usize = 500;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Bytes of endings not served, by estimate.
    pub bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { bytes: 32 << 20 }
    }
}

/// One that was not served. Evidence is shared: in an overload a thousand requests see the same engines.
#[derive(Clone, Debug)]
struct Kept {
    ending: Ending,
    evidence: Arc<Vec<Evidence>>,
    bytes: usize,
}

impl Kept {
    fn whole(&self) -> Ending {
        Ending { evidence: self.evidence.to_vec(), ..self.ending.clone() }
    }
}

/// A client of an earlier request has come back.
#[derive(Clone, Debug, PartialEq)]
pub struct Followed {
    pub request: RequestName,
    pub follow_up: FollowUp,
}

#[derive(Clone, Debug, Default)]
pub struct Ledger {
    bounds: Bounds,
    kept: VecDeque<Kept>,
    /// Number of the first one kept.
    first: u64,
    bytes: usize,
    by_name: HashMap<RequestName, u64>,
    /// Those not served whose client has not been seen again, by fingerprint.
    open: HashMap<u64, VecDeque<u64>>,
    recent: VecDeque<Ending>,
    tenants: BTreeMap<String, TenantView>,
    dropped: u64,
}

/// Tenants counted apart; those past it are counted together, under an empty name.
const MOST_TENANTS: usize = 1000;

impl Ledger {
    pub fn new(bounds: Bounds) -> Ledger {
        Ledger { bounds, ..Ledger::default() }
    }

    /// Takes an ending; the earlier ones that it tells the follow-up of.
    pub fn add(&mut self, ending: Ending) -> Vec<Followed> {
        self.count(&ending);
        let followed = self.follow(&ending);
        match ending.kind {
            EndKind::Served => {
                if self.recent.len() >= RECENT {
                    self.recent.pop_front();
                }
                self.recent.push_back(ending);
            }
            _ => self.keep(ending),
        }
        followed
    }

    /// Takes one that was kept on disk: no longer news.
    pub fn restore(&mut self, ending: Ending) {
        if ending.kind != EndKind::Served {
            self.keep(ending);
        }
    }

    /// Takes a follow-up that was kept on disk.
    pub fn restore_follow_up(&mut self, followed: Followed) {
        if let Some(number) = self.by_name.get(&followed.request).copied() {
            self.set_follow_up(number, followed.follow_up);
        }
    }

    fn count(&mut self, ending: &Ending) {
        let known = self.tenants.contains_key(&ending.tenant) || self.tenants.len() < MOST_TENANTS;
        let name = if known { ending.tenant.clone() } else { String::new() };
        let tenant = self.tenants.entry(name.clone()).or_default();
        tenant.name = name;
        tenant.requests += 1;
        tenant.tokens += u64::from(ending.tokens);
        match ending.kind {
            EndKind::Served => tenant.served += 1,
            EndKind::Refused => tenant.refused += 1,
            EndKind::Failed => tenant.failed += 1,
            EndKind::Left => tenant.left += 1,
        }
    }

    fn keep(&mut self, mut ending: Ending) {
        let evidence = std::mem::take(&mut ending.evidence);
        let shared =
            self.kept.back().filter(|last| *last.evidence == evidence).map(|last| Arc::clone(&last.evidence));
        let own = shared.is_none();
        let evidence = shared.unwrap_or_else(|| Arc::new(evidence));
        let bytes = weight(&ending) + if own { evidence.iter().map(evidence_weight).sum() } else { 0 };
        let number = self.first + self.kept.len() as u64;
        self.by_name.insert(ending.request, number);
        if ending.follow_up.is_none() {
            self.open.entry(ending.fingerprint).or_default().push_back(number);
        }
        self.bytes += bytes;
        self.kept.push_back(Kept { ending, evidence, bytes });
        while self.bytes > self.bounds.bytes && self.kept.len() > 1 {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.kept.pop_front() else { return };
        let number = self.first;
        self.first += 1;
        self.bytes -= oldest.bytes;
        self.dropped += 1;
        if self.by_name.get(&oldest.ending.request) == Some(&number) {
            self.by_name.remove(&oldest.ending.request);
        }
        self.close(oldest.ending.fingerprint, number);
    }

    fn close(&mut self, fingerprint: u64, number: u64) {
        if let Some(open) = self.open.get_mut(&fingerprint) {
            open.retain(|n| *n != number);
            if open.is_empty() {
                self.open.remove(&fingerprint);
            }
        }
    }

    fn at(&self, number: u64) -> Option<&Kept> {
        self.kept.get(usize::try_from(number.checked_sub(self.first)?).ok()?)
    }

    fn set_follow_up(&mut self, number: u64, follow_up: FollowUp) {
        let at = number.checked_sub(self.first).and_then(|at| usize::try_from(at).ok());
        let Some(kept) = at.and_then(|at| self.kept.get_mut(at)) else { return };
        kept.ending.follow_up = Some(follow_up);
        let fingerprint = kept.ending.fingerprint;
        self.close(fingerprint, number);
    }

    /// A request is the follow-up of the earlier ones like it that ended before it was asked, the latest of them
    /// not longer ago than a client is followed. A client that came back twice was served by the last one: each
    /// earlier one is told of the next.
    fn follow(&mut self, ending: &Ending) -> Vec<Followed> {
        let Some(open) = self.open.get(&ending.fingerprint) else { return Vec::new() };
        let before = |n: &u64| {
            let earlier = self.at(*n).map(|k| k.ending.ended_at);
            earlier
                .is_some_and(|at| at <= ending.asked_at && at.saturating_add(FOLLOWED_FOR) >= ending.asked_at)
        };
        let numbers: Vec<u64> = open.iter().copied().filter(before).collect();
        let follow_up = FollowUp { asked_at: ending.asked_at, request: ending.request, kind: ending.kind };
        let name = |n: &u64| self.at(*n).map(|k| k.ending.request);
        let followed: Vec<(u64, RequestName)> = numbers.iter().filter_map(|n| Some((*n, name(n)?))).collect();
        let tell = |(number, request)| {
            self.set_follow_up(number, follow_up.clone());
            Followed { request, follow_up: follow_up.clone() }
        };
        followed.into_iter().map(tell).collect()
    }

    /// All that is known of a request.
    pub fn story(&self, request: RequestName) -> Option<Ending> {
        let kept = self.by_name.get(&request).and_then(|n| self.at(*n)).map(Kept::whole);
        kept.or_else(|| self.recent.iter().find(|e| e.request == request).cloned())
    }

    /// The latest first, and how many there are in all.
    pub fn endings(&self, filter: &EndingFilter, room: usize) -> (Vec<Ending>, u64) {
        let most = if filter.most == 0 { room } else { room.min(filter.most as usize) };
        let mut total = 0;
        let mut endings = Vec::new();
        for kept in self.kept.iter().rev().filter(|k| fits(k, filter)) {
            total += 1;
            if endings.len() < most {
                endings.push(kept.whole());
            }
        }
        (endings, total)
    }

    /// The last ones that were served, the latest last.
    pub fn recent(&self) -> impl DoubleEndedIterator<Item = &Ending> {
        self.recent.iter()
    }

    /// The most numerous first, and how many endings there are in all.
    pub fn groups(&self, filter: &EndingFilter) -> (Vec<Group>, u64) {
        let mut groups: BTreeMap<_, Group> = BTreeMap::new();
        let mut total = 0;
        for kept in self.kept.iter().filter(|k| fits(k, filter)) {
            let e = &kept.ending;
            total += 1;
            let key = (e.kind, e.cause, e.waited_for, e.class.clone(), e.tenant.clone());
            let group = groups.entry(key).or_insert_with(|| Group {
                kind: e.kind,
                cause: e.cause,
                waited_for: e.waited_for,
                class: e.class.clone(),
                tenant: e.tenant.clone(),
                count: 0,
                first_at: e.ended_at,
                last_at: e.ended_at,
                came_back: 0,
                served_then: 0,
                example: e.request,
            });
            group.count += 1;
            group.first_at = group.first_at.min(e.ended_at);
            if e.ended_at >= group.last_at {
                (group.last_at, group.example) = (e.ended_at, e.request);
            }
            group.came_back += u64::from(e.follow_up.is_some());
            let served = e.follow_up.as_ref().is_some_and(|f| f.kind == EndKind::Served);
            group.served_then += u64::from(served);
        }
        let mut groups: Vec<Group> = groups.into_values().collect();
        groups.sort_by_key(|g| std::cmp::Reverse(g.count));
        (groups, total)
    }

    pub fn tenants(&self) -> Vec<TenantView> {
        self.tenants.values().cloned().collect()
    }

    pub fn len(&self) -> usize {
        self.kept.len()
    }

    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Bytes in use, by estimate; at most the bound, but for a last one that is larger by itself.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Endings that went since there was no room.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

fn fits(kept: &Kept, filter: &EndingFilter) -> bool {
    let e = &kept.ending;
    let same = |wanted: &Option<String>, is: &str| wanted.as_deref().is_none_or(|w| w == is);
    let touched = |engine: &str| {
        e.steps.iter().any(|s| s.engine == engine)
            || kept.evidence.iter().any(|v| v.engine == engine && !v.avoided.is_empty())
    };
    filter.kind.is_none_or(|k| k == e.kind)
        && filter.cause.is_none_or(|c| c == e.cause)
        && filter.waited_for.is_none_or(|w| Some(w) == e.waited_for)
        && same(&filter.class, &e.class)
        && same(&filter.tenant, &e.tenant)
        && filter.engine.as_deref().is_none_or(touched)
        && filter.since.is_none_or(|at| e.ended_at >= at)
        && filter.until.is_none_or(|at| e.ended_at <= at)
}

/// Bytes of a text besides its struct's: an allocation has a head of 8 bytes, and is 32 at the least.
fn text(text: &str) -> usize {
    if text.is_empty() {
        return 0;
    }
    (text.len() + 8).next_multiple_of(16).max(32)
}

fn weight(e: &Ending) -> usize {
    let steps = e.steps.iter().map(|s| size_of_val(s) + text(&s.engine)).sum::<usize>();
    // Indices: two maps with their slack, and the queue of a fingerprint. Queues double: a part of this one is empty.
    size_of::<Kept>() * 3 / 2 + text(&e.class) + text(&e.tenant) + steps + 280
}

fn evidence_weight(e: &Evidence) -> usize {
    size_of::<Evidence>() + text(&e.engine) + text(&e.avoided)
}
