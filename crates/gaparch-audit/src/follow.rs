//! Speaking with the other routers about versions.

use crate::claims::{Believed, Claims};
use crate::fetch::{pages, Came, Fetch, PAGE_WITHIN};
use crate::view::{Happening, Row, View};
use crate::{HeldList, Nanos, MS};
use gaparch_protocol::versions::{Claim, ListVersion, ReplicationMessage, MAX_CLAIMS};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Others that are told at once.
const TELL: usize = 3;
/// Stamps in the time for which a list may go unconfirmed, at least.
const STAMPS: u64 = 6;
const STAMP_EVERY: Nanos = 500 * MS;
/// Changes that come faster than this are told together.
const CHANGES_APART: Nanos = 50 * MS;
/// For the own service to say what others have heard from it already.
const MOMENT: Nanos = 400 * MS;
/// Earlier versions that can still be handed on: a fetch must not fail because the list goes on meanwhile.
const PAST: usize = 8;
/// Routers whose stamps are kept.
const MOST_ROWS: usize = 2048;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub router: String,
    /// For how long a list may go unconfirmed.
    pub confirm: Nanos,
    pub seed: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Say {
        to: String,
        talk: ReplicationMessage,
    },
    /// Act on this list as if the service had said it.
    Take {
        list: Arc<HeldList>,
        by: String,
    },
    /// More than one router has this from the service itself.
    Believed(ListVersion),
    Happened(Happening),
}

/// One router's part in keeping all at the same version.
#[derive(Debug)]
pub struct Follow {
    set: Settings,
    rng: ChaCha8Rng,
    now: Nanos,
    own: Option<Arc<HeldList>>,
    past: VecDeque<Arc<HeldList>>,
    /// When the service itself last said what is held.
    sure_at: Option<Nanos>,
    began: Nanos,
    unsure_told: bool,
    claims: Claims,
    rows: BTreeMap<String, Row>,
    others: Vec<String>,
    believed: Option<Believed>,
    behind_since: Option<Nanos>,
    behind_told: bool,
    two_told: bool,
    outliers: BTreeMap<String, (Nanos, bool)>,
    fetch: Option<Fetch>,
    stamp_at: Nanos,
    brought_up: u64,
    refused: u64,
}

impl Follow {
    pub fn new(set: Settings, now: Nanos) -> Follow {
        Follow {
            rng: ChaCha8Rng::seed_from_u64(set.seed),
            now,
            own: None,
            past: VecDeque::new(),
            sure_at: None,
            began: now,
            unsure_told: false,
            claims: Claims::default(),
            rows: BTreeMap::new(),
            others: Vec::new(),
            believed: None,
            behind_since: None,
            behind_told: false,
            two_told: false,
            outliers: BTreeMap::new(),
            fetch: None,
            stamp_at: now,
            brought_up: 0,
            refused: 0,
            set,
        }
    }

    /// When [`on_time`](Follow::on_time) has something to do.
    pub fn next_at(&self) -> Nanos {
        let page = self.fetch.as_ref().map(|f| f.asked_at + PAGE_WITHIN);
        page.map_or(self.stamp_at, |at| at.min(self.stamp_at))
    }

    fn is_sure(&self) -> bool {
        self.sure_at.is_some_and(|at| at + self.set.confirm >= self.now)
    }

    fn version(&self) -> Option<ListVersion> {
        self.own.as_ref().map(|own| own.version)
    }

    /// The list held, and when the service itself last said so; none: another router has handed it on.
    pub fn on_news(&mut self, now: Nanos, list: Option<Arc<HeldList>>, sure_at: Option<Nanos>) {
        self.now = now.max(self.now);
        self.sure_at = sure_at.map(|at| at.min(self.now));
        let Some(list) = list else { return };
        if self.own.as_ref().is_some_and(|own| own.version == list.version) {
            return;
        }
        if let Some(before) = self.own.replace(list) {
            self.past.push_front(before);
            self.past.truncate(PAST);
        }
        self.stamp_at = self.stamp_at.min(self.now + CHANGES_APART);
    }

    /// What was held by time is worth nothing once the process was stopped: it has to be confirmed anew.
    pub fn on_woken(&mut self, now: Nanos) {
        self.now = now.max(self.now);
        self.sure_at = None;
        self.began = self.now;
    }

    /// Does what has fallen due. `others`: the routers that are present.
    pub fn on_time(&mut self, now: Nanos, others: Vec<String>, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        self.others = others;
        self.look(out);
        if self.now >= self.stamp_at {
            self.stamp_at = self.now + STAMP_EVERY.min(self.set.confirm / STAMPS);
            let mut some = self.others.clone();
            some.shuffle(&mut self.rng);
            some.truncate(TELL);
            for to in some {
                self.tell(&to, out);
            }
        }
        self.go_on(out);
    }

    fn tell(&mut self, to: &str, out: &mut Vec<Output>) {
        let own = self.own.as_deref().cloned().unwrap_or_default();
        let sure = self.sure_at.filter(|_| self.is_sure());
        let talk = ReplicationMessage::ListStatus {
            held: own.version,
            digest: own.digest,
            entries: own.entries.len() as u32,
            confirmed_ms_ago: sure.map(|at| (self.now - at).div_ceil(MS) as u32),
            claims: self.claims.best(MAX_CLAIMS, to, self.version(), self.now),
        };
        out.push(Output::Say { to: to.to_owned(), talk });
    }

    /// Another router has spoken; who it is is certain.
    pub fn on_talk(&mut self, now: Nanos, from: &str, talk: ReplicationMessage, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        match talk {
            ReplicationMessage::ListStatus { held, digest, entries: _, confirmed_ms_ago: sure, claims } => {
                if let Some(age) = sure {
                    let claim = Claim { router: from.to_owned(), version: held, digest, age_ms: age };
                    self.claims.take(&claim, from, self.now);
                }
                for claim in claims.iter().take(MAX_CLAIMS) {
                    // Nobody knows better than oneself what one has, nor than the sender what it has.
                    if claim.router != self.set.router && claim.router != from {
                        self.claims.take(claim, from, self.now);
                    }
                }
                let sure = sure.map(|age| u64::from(age) * MS);
                let row = Row { router: from.to_owned(), held, digest, sure, said_at: self.now };
                if self.rows.len() < MOST_ROWS || self.rows.contains_key(from) {
                    self.rows.insert(from.to_owned(), row);
                }
                self.look(out);
            }
            ReplicationMessage::ListRequest { version, first: entry } => {
                let all = self.own.iter().chain(&self.past);
                match all.into_iter().find(|list| list.version.is_same_list(&version)).cloned() {
                    Some(list) => {
                        let say = |talk| Output::Say { to: from.to_owned(), talk };
                        out.extend(pages(&list, entry).into_iter().map(say));
                    }
                    None => self.tell(from, out),
                }
            }
            ReplicationMessage::ListPage { version, digest, first: entry, total: of, entries } => {
                self.on_page(from, (version, digest), (entry, of), entries, out);
            }
            _ => {}
        }
    }

    fn on_page(
        &mut self,
        from: &str,
        (version, digest): (ListVersion, u64),
        (entry, of): (u32, u32),
        entries: Vec<gaparch_protocol::list::ListEntry>,
        out: &mut Vec<Output>,
    ) {
        let Some(fetch) = self.fetch.as_mut().filter(|f| f.of == from) else { return };
        match fetch.page(version, digest, entry, of, entries, self.now) {
            Came::Other => {}
            Came::More(missing) => {
                // The last page of a burst asks for the next burst.
                if missing > entry && entry + 1 < of {
                    let talk = fetch.ask();
                    out.push(Output::Say { to: from.to_owned(), talk });
                }
            }
            Came::Whole(list) => {
                self.fetch = None;
                self.brought_up += 1;
                let after = self.behind_since.map_or(0, |since| self.now - since);
                let told = Happening::BroughtUp { by: from.to_owned(), version, after };
                out.push(Output::Happened(told));
                out.push(Output::Take { list: Arc::new(list), by: from.to_owned() });
            }
            Came::Harmed => {
                self.fetch = None;
                self.refused += 1;
                self.rows.remove(from);
                out.push(Output::Happened(Happening::Harmed { by: from.to_owned(), version }));
            }
        }
    }

    /// Looks at what is believed, and whether that is held.
    fn look(&mut self, out: &mut Vec<Output>) {
        let since = self.now.saturating_sub(self.set.confirm);
        self.claims.forget_before(self.now.saturating_sub(self.set.confirm * 4));
        let present = &self.others;
        let old = self.now.saturating_sub(self.set.confirm * 20);
        self.rows.retain(|name, row| row.said_at >= old || present.contains(name));
        self.look_at_source(out);
        let believed = self.claims.believed(since, self.version());
        if let Some(believed) = believed.filter(|b| b.corroborated) {
            let news =
                self.believed.is_none_or(|before| before.version != believed.version || !before.corroborated);
            let lower =
                |own: ListVersion| own.epoch == believed.version.epoch && own.rank < believed.version.rank;
            if news || self.version().is_some_and(lower) {
                out.push(Output::Believed(believed.version));
            }
        }
        self.believed = believed;
        self.look_at_outliers(since, out);
        let later = |b: &Believed| self.version().is_none_or(|own| b.version.is_later_than(&own));
        let Some(believed) = believed.filter(later) else {
            if let Some(from) = self.behind_since.take().filter(|_| std::mem::take(&mut self.behind_told)) {
                let version = self.version().unwrap_or_default();
                out.push(Output::Happened(Happening::CaughtUp { version, after: self.now - from }));
            }
            self.fetch = None;
            return;
        };
        let from = *self.behind_since.get_or_insert(self.now);
        let held = self.version().unwrap_or_default();
        let long = self.now >= from + self.set.confirm;
        if self.is_sure() && held.epoch != believed.version.epoch {
            // Both speak of themselves; which one is right only people know.
            if long && !std::mem::replace(&mut self.two_told, true) {
                out.push(Output::Happened(Happening::TwoSources { held, believed: believed.version }));
            }
            return;
        }
        let moment = self.now < from + MOMENT.min(self.set.confirm / 2);
        if self.is_sure() && (moment || !believed.corroborated) {
            // The own service will say it; if not, it is a copy that hears of no change.
            return;
        }
        // It has said the older one again since others had the later one.
        let old = self.is_sure() && self.sure_at > Some(from);
        if (long || old) && !std::mem::replace(&mut self.behind_told, true) {
            let told = match old {
                true => Happening::SourceIsOld { held, believed: believed.version },
                false => Happening::Behind { held, believed: believed.version, for_: self.now - from },
            };
            out.push(Output::Happened(told));
        }
        if self.fetch.is_none() {
            self.start(believed, out);
        }
    }

    fn look_at_source(&mut self, out: &mut Vec<Output>) {
        let silent_from = self.sure_at.unwrap_or(self.began);
        let unsure = self.now > silent_from + self.set.confirm;
        if unsure != self.unsure_told && (unsure || self.sure_at.is_some()) {
            self.unsure_told = unsure;
            let silent = self.now - silent_from;
            let told = if unsure { Happening::Unsure { silent } } else { Happening::Sure };
            out.push(Output::Happened(told));
        }
    }

    fn look_at_outliers(&mut self, since: Nanos, out: &mut Vec<Output>) {
        let believed = match self.believed {
            Some(believed) if believed.corroborated => believed.version,
            _ if self.is_sure() => self.version().unwrap_or_default(),
            _ => return self.outliers.clear(),
        };
        let now = self.claims.outliers(since, believed);
        self.outliers.retain(|router, _| now.iter().any(|(other, _)| other == router));
        for (router, said) in now {
            let (from, told) = self.outliers.entry(router.clone()).or_insert((self.now, false));
            if self.now >= *from + self.set.confirm * 2 && !std::mem::replace(told, true) {
                self.refused += 1;
                out.push(Output::Happened(Happening::Outlier { router, said, believed }));
            }
        }
    }

    /// Who holds that list, as far as is known.
    fn holder(&mut self, wanted: &Believed, not: Option<&str>) -> Option<String> {
        let holds =
            |row: &&Row| row.held.epoch == wanted.version.epoch && row.held.version >= wanted.version.version;
        let exactly = |row: &&Row| row.held.is_same_list(&wanted.version) && row.digest == wanted.digest;
        let present = |row: &&Row| self.others.contains(&row.router) && Some(row.router.as_str()) != not;
        let rows = || self.rows.values().filter(present).filter(holds);
        let mut names: Vec<String> = rows().filter(exactly).map(|r| r.router.clone()).collect();
        if names.is_empty() {
            names = rows().map(|r| r.router.clone()).collect();
        }
        names.choose(&mut self.rng).cloned()
    }

    fn start(&mut self, wanted: Believed, out: &mut Vec<Output>) {
        let Some(of) = self.holder(&wanted, None) else { return };
        let fetch = Fetch::new(wanted, of.clone(), self.now);
        out.push(Output::Say { to: of, talk: fetch.ask() });
        self.fetch = Some(fetch);
    }

    /// Asks another where no page has come for a while; for what is believed now if that is another list.
    fn go_on(&mut self, out: &mut Vec<Output>) {
        let Some(mut fetch) = self.fetch.take_if(|f| self.now >= f.asked_at + PAGE_WITHIN) else { return };
        match self.believed {
            Some(believed) if !believed.version.is_same_list(&fetch.wanted.version) => {
                self.start(believed, out)
            }
            _ => {
                let before = fetch.of.clone();
                let other = self.holder(&fetch.wanted, Some(&before));
                fetch.ask_another(other.unwrap_or(before), self.now);
                out.push(Output::Say { to: fetch.of.clone(), talk: fetch.ask() });
                self.fetch = Some(fetch);
            }
        }
    }

    /// How the versions look from here.
    pub fn view(&self) -> View {
        View {
            held: self.version().unwrap_or_default(),
            entries: self.own.as_ref().map_or(0, |own| own.entries.len() as u32),
            sure: self.sure_at.filter(|_| self.is_sure()).map(|at| self.now - at),
            believed: self.believed.map(|b| b.version),
            corroborated: self.believed.is_some_and(|b| b.corroborated),
            behind_since: self.behind_since,
            brought_up: self.brought_up,
            refused: self.refused,
            rows: self.rows.values().cloned().collect(),
        }
    }
}
