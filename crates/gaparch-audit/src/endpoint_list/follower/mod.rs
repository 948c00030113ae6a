//! The follower of one router, which keeps it on the same version of the endpoint list as the other routers:
//! the messages that it sends and receives.

mod evaluate;

use crate::endpoint_list::claims::{BelievedList, Claims};
use crate::endpoint_list::event::ListEvent;
use crate::endpoint_list::fetch::{pages, Fetch, FetchProgress, Page};
use crate::endpoint_list::snapshot::ListSnapshot;
use crate::endpoint_list::view::{ListView, PeerListStatus};
use crate::{Nanos, MILLISECOND};
use gaparch_protocol::versions::{Claim, ListVersion, ReplicationMessage, MAX_CLAIMS};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The number of routers to which each status is sent.
const STATUS_FANOUT: usize = 3;
/// The longest time between two statuses.
const STATUS_INTERVAL: Nanos = 500 * MILLISECOND;
/// The least number of statuses within the time for which a list may go unconfirmed.
const STATUSES_PER_CONFIRMATION: u64 = 6;
/// The delay after which a change is announced, so that changes in quick succession are announced together.
const CHANGE_DELAY: Nanos = 50 * MILLISECOND;
/// The number of earlier lists that can still be fetched: a fetch must not fail because the list changes
/// while it runs.
const MAX_PAST_LISTS: usize = 8;
/// The number of routers whose status is remembered.
const MAX_PEERS: usize = 2048;

/// The settings of a follower.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowerSettings {
    /// The name of this router.
    pub router: String,
    /// For how long a list may go unconfirmed by the service, in nanoseconds.
    pub confirm_within: Nanos,
    /// The seed of the follower's random choices.
    pub seed: u64,
}

/// An effect that the shell carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowerOutput {
    /// Send a message to another router; it may be lost.
    Send {
        /// The name of the receiver.
        to: String,
        /// The message.
        message: ReplicationMessage,
    },
    /// Act on this list as if the service had sent it.
    Adopt {
        /// The list.
        list: Arc<ListSnapshot>,
        /// The router that it was fetched from.
        by: String,
    },
    /// More than one router has this version from the service itself.
    Corroborated(ListVersion),
    /// Report an event to operators.
    Event(ListEvent),
}

/// Since when a router has been an outlier, and whether that was reported.
#[derive(Clone, Copy, Debug)]
struct Outlier {
    since: Nanos,
    is_reported: bool,
}

/// The lasting conditions that were reported, so that each is reported once.
#[derive(Clone, Copy, Debug, Default)]
struct Reported {
    unconfirmed: bool,
    behind: bool,
    sources_differ: bool,
}

/// Exchanges list versions with the other routers, and fetches a list where this router lags.
#[derive(Debug)]
pub struct ListFollower {
    settings: FollowerSettings,
    rng: ChaCha8Rng,
    now: Nanos,
    current: Option<Arc<ListSnapshot>>,
    past: VecDeque<Arc<ListSnapshot>>,
    /// When the service itself last confirmed the list in use.
    confirmed_at: Option<Nanos>,
    /// Since when a confirmation is awaited, while there is none.
    started_at: Nanos,
    claims: Claims,
    peers: BTreeMap<String, PeerListStatus>,
    /// The names of the routers that are present.
    present: Vec<String>,
    believed: Option<BelievedList>,
    behind_since: Option<Nanos>,
    reported: Reported,
    outliers: BTreeMap<String, Outlier>,
    fetch: Option<Fetch>,
    next_status_at: Nanos,
    fetched: u64,
    rejected: u64,
}

impl ListFollower {
    /// A follower without any list.
    pub fn new(settings: FollowerSettings, now: Nanos) -> ListFollower {
        ListFollower {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            now,
            current: None,
            past: VecDeque::new(),
            confirmed_at: None,
            started_at: now,
            claims: Claims::default(),
            peers: BTreeMap::new(),
            present: Vec::new(),
            believed: None,
            behind_since: None,
            reported: Reported::default(),
            outliers: BTreeMap::new(),
            fetch: None,
            next_status_at: now,
            fetched: 0,
            rejected: 0,
            settings,
        }
    }

    /// When [`on_timer`](ListFollower::on_timer) has to be called next.
    pub fn next_timer_at(&self) -> Nanos {
        let timeout = self.fetch.as_ref().map(Fetch::times_out_at);
        timeout.map_or(self.next_status_at, |at| at.min(self.next_status_at))
    }

    fn advance(&mut self, now: Nanos) {
        self.now = now.max(self.now);
    }

    fn is_confirmed(&self) -> bool {
        self.confirmed_at.is_some_and(|at| at + self.settings.confirm_within >= self.now)
    }

    fn version(&self) -> Option<ListVersion> {
        self.current.as_ref().map(|list| list.version)
    }

    /// Sets the list in use, and when the service itself last confirmed it: `None` if it was fetched from
    /// another router.
    pub fn on_list(&mut self, now: Nanos, list: Option<Arc<ListSnapshot>>, confirmed_at: Option<Nanos>) {
        self.advance(now);
        self.confirmed_at = confirmed_at.map(|at| at.min(self.now));
        let Some(list) = list else { return };
        if self.version() == Some(list.version) {
            return;
        }
        if let Some(before) = self.current.replace(list) {
            self.past.push_front(before);
            self.past.truncate(MAX_PAST_LISTS);
        }
        self.next_status_at = self.next_status_at.min(self.now + CHANGE_DELAY);
    }

    /// To be called after the process was paused: the list in use has to be confirmed again.
    pub fn on_resumed(&mut self, now: Nanos) {
        self.advance(now);
        self.confirmed_at = None;
        self.started_at = self.now;
    }

    /// Carries out the actions that are due. `present` has the names of the routers that are present.
    pub fn on_timer(&mut self, now: Nanos, present: Vec<String>, out: &mut Vec<FollowerOutput>) {
        self.advance(now);
        self.present = present;
        self.evaluate(out);
        if self.now >= self.next_status_at {
            self.send_statuses(out);
        }
        self.check_fetch(out);
    }

    fn send_statuses(&mut self, out: &mut Vec<FollowerOutput>) {
        let interval = STATUS_INTERVAL.min(self.settings.confirm_within / STATUSES_PER_CONFIRMATION);
        self.next_status_at = self.now + interval;
        let mut receivers = self.present.clone();
        receivers.shuffle(&mut self.rng);
        receivers.truncate(STATUS_FANOUT);
        for receiver in receivers {
            self.send_status(&receiver, out);
        }
    }

    fn send_status(&mut self, to: &str, out: &mut Vec<FollowerOutput>) {
        let list = self.current.as_deref().cloned().unwrap_or_default();
        let confirmed_at = self.confirmed_at.filter(|_| self.is_confirmed());
        let message = ReplicationMessage::ListStatus {
            version: list.version,
            digest: list.digest,
            entries: list.entries.len() as u32,
            confirmed_ms_ago: confirmed_at.map(|at| (self.now - at).div_ceil(MILLISECOND) as u32),
            claims: self.claims.latest(MAX_CLAIMS, to, self.version(), self.now),
        };
        out.push(FollowerOutput::Send { to: to.to_owned(), message });
    }

    /// Handles a message of another router, whose name is authenticated. Messages for other components are
    /// ignored.
    pub fn on_message(
        &mut self,
        now: Nanos,
        from: &str,
        message: ReplicationMessage,
        out: &mut Vec<FollowerOutput>,
    ) {
        self.advance(now);
        match message {
            ReplicationMessage::ListStatus { version, digest, entries: _, confirmed_ms_ago, claims } => {
                self.record_claims(from, version, digest, confirmed_ms_ago, &claims);
                self.record_status(from, version, digest, confirmed_ms_ago);
                self.evaluate(out);
            }
            ReplicationMessage::ListRequest { version, first } => {
                self.on_request(from, &version, first, out);
            }
            ReplicationMessage::ListPage { version, digest, first, total, entries } => {
                self.on_page(from, Page { version, digest, first, total, entries }, out);
            }
            _ => {}
        }
    }

    fn record_claims(
        &mut self,
        from: &str,
        version: ListVersion,
        digest: u64,
        confirmed_ms_ago: Option<u32>,
        relayed: &[Claim],
    ) {
        if let Some(age_ms) = confirmed_ms_ago {
            let claim = Claim { router: from.to_owned(), version, digest, age_ms };
            self.claims.record(&claim, from, self.now);
        }
        for claim in relayed.iter().take(MAX_CLAIMS) {
            // This router knows its own list, and the sender has stated its own in the status itself.
            if claim.router != self.settings.router && claim.router != from {
                self.claims.record(claim, from, self.now);
            }
        }
    }

    fn record_status(
        &mut self,
        from: &str,
        version: ListVersion,
        digest: u64,
        confirmed_ms_ago: Option<u32>,
    ) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(from) {
            return;
        }
        let status = PeerListStatus {
            router: from.to_owned(),
            version,
            digest,
            confirmed_ago: confirmed_ms_ago.map(|age_ms| u64::from(age_ms) * MILLISECOND),
            reported_at: self.now,
        };
        self.peers.insert(from.to_owned(), status);
    }

    fn on_request(&mut self, from: &str, version: &ListVersion, first: u32, out: &mut Vec<FollowerOutput>) {
        let mut lists = self.current.iter().chain(&self.past);
        let Some(list) = lists.find(|list| list.version.is_same_list(version)).cloned() else {
            return self.send_status(from, out);
        };
        for message in pages(&list, first) {
            out.push(FollowerOutput::Send { to: from.to_owned(), message });
        }
    }

    fn on_page(&mut self, from: &str, page: Page, out: &mut Vec<FollowerOutput>) {
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.source == from) else { return };
        let (version, first, total) = (page.version, page.first, page.total);
        match fetch.on_page(page, self.now) {
            FetchProgress::Unrelated => {}
            FetchProgress::Incomplete { first_missing } => {
                // The last page of a burst requests the next burst.
                if first_missing > first && first + 1 < total {
                    let message = fetch.request();
                    out.push(FollowerOutput::Send { to: from.to_owned(), message });
                }
            }
            FetchProgress::Complete(list) => self.on_fetched(from, list, version, out),
            FetchProgress::DigestMismatch => self.on_digest_mismatch(from, version, out),
        }
    }

    fn on_fetched(
        &mut self,
        from: &str,
        list: ListSnapshot,
        version: ListVersion,
        out: &mut Vec<FollowerOutput>,
    ) {
        self.fetch = None;
        self.fetched += 1;
        let by = from.to_owned();
        let after = self.behind_since.map_or(0, |since| self.now - since);
        out.push(FollowerOutput::Event(ListEvent::FetchedFromPeer { by: by.clone(), version, after }));
        out.push(FollowerOutput::Adopt { list: Arc::new(list), by });
    }

    fn on_digest_mismatch(&mut self, from: &str, version: ListVersion, out: &mut Vec<FollowerOutput>) {
        self.fetch = None;
        self.rejected += 1;
        self.peers.remove(from);
        let by = from.to_owned();
        out.push(FollowerOutput::Event(ListEvent::DigestMismatch { by, version }));
    }

    /// A random router that has the requested list; if none has it, one that has a later list of its epoch.
    fn choose_source(&mut self, requested: &BelievedList, excluded: Option<&str>) -> Option<String> {
        let has_version = |status: &&PeerListStatus| {
            status.version.epoch == requested.version.epoch
                && status.version.version >= requested.version.version
        };
        let has_exactly = |status: &&PeerListStatus| {
            status.version.is_same_list(&requested.version) && status.digest == requested.digest
        };
        let is_eligible = |status: &&PeerListStatus| {
            self.present.contains(&status.router) && Some(status.router.as_str()) != excluded
        };
        let eligible: Vec<&PeerListStatus> =
            self.peers.values().filter(is_eligible).filter(has_version).collect();
        let exact: Vec<&PeerListStatus> = eligible.iter().copied().filter(has_exactly).collect();
        let candidates = if exact.is_empty() { eligible } else { exact };
        candidates.choose(&mut self.rng).map(|status| status.router.clone())
    }

    fn start_fetch(&mut self, requested: BelievedList, out: &mut Vec<FollowerOutput>) {
        let Some(source) = self.choose_source(&requested, None) else { return };
        let fetch = Fetch::new(requested, source.clone(), self.now);
        out.push(FollowerOutput::Send { to: source, message: fetch.request() });
        self.fetch = Some(fetch);
    }

    /// When the fetch has timed out, asks another router, or starts a new fetch if another list is believed
    /// by then.
    fn check_fetch(&mut self, out: &mut Vec<FollowerOutput>) {
        let now = self.now;
        let Some(mut fetch) = self.fetch.take_if(|fetch| now >= fetch.times_out_at()) else { return };
        let superseded =
            self.believed.filter(|believed| !believed.version.is_same_list(&fetch.requested.version));
        if let Some(believed) = superseded {
            return self.start_fetch(believed, out);
        }
        let source = self.choose_source(&fetch.requested, Some(&fetch.source));
        fetch.switch_source(source.unwrap_or_else(|| fetch.source.clone()), now);
        out.push(FollowerOutput::Send { to: fetch.source.clone(), message: fetch.request() });
        self.fetch = Some(fetch);
    }

    /// The lists of all routers, as far as this one knows them.
    pub fn view(&self) -> ListView {
        let confirmed_at = self.confirmed_at.filter(|_| self.is_confirmed());
        ListView {
            in_use: self.version().unwrap_or_default(),
            entries: self.current.as_ref().map_or(0, |list| list.entries.len() as u32),
            confirmed_ago: confirmed_at.map(|at| self.now - at),
            believed: self.believed.map(|believed| believed.version),
            is_corroborated: self.believed.is_some_and(|believed| believed.is_corroborated),
            behind_since: self.behind_since,
            fetched: self.fetched,
            rejected: self.rejected,
            peers: self.peers.values().cloned().collect(),
        }
    }
}
