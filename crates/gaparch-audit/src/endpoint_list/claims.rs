//! What routers claim to have from the list service itself, and which of these versions is believed.
//!
//! A version is believed once two routers have it from the service, or the only one that the service still
//! speaks to. So one router that states versions from the future misleads nobody while another hears the
//! service, whatever it states; and a site whose service reaches one router alone catches up through that
//! one.
//!
//! A router passes on what it has received from a claimant itself, with the claimant's name and the claim's
//! age; what it has received about claimants from others it does not pass on. So each claim rests on two
//! routers at most, the claimant and the one that passed it on, and **two claims corroborate each other only
//! where they rest on no router in common**. A router that makes up claimants, or claims of others, gains
//! nothing by it. Entries have to fit the digest that was stated with their version.

use crate::{Nanos, MILLISECOND};
use gaparch_protocol::versions::{Claim, ListVersion};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The number of claims remembered, of claimants themselves and, apart from these, of claims passed on.
const MAX_CLAIMS: usize = 2048;
/// The number of claims that are compared: those of the latest versions.
const MAX_COMPARED: usize = 64;
/// Versions that a service may be ahead of the list in use; a claim further ahead is a defect.
const MAX_VERSIONS_AHEAD: u64 = 1 << 32;
/// Epochs that a service may be ahead of the list in use.
const MAX_EPOCHS_AHEAD: u32 = 64;

/// What a router is claimed to have from the service.
#[derive(Clone, Copy, Debug)]
struct ClaimedList {
    version: ListVersion,
    digest: u64,
    /// When the service confirmed it, by the clock here.
    confirmed_at: Nanos,
}

impl ClaimedList {
    fn agrees_with(&self, other: &ClaimedList) -> bool {
        self.version.is_same_list(&other.version) && self.digest == other.digest
    }

    fn is_current(&self, since: Nanos, in_use: Option<ListVersion>) -> bool {
        self.confirmed_at >= since && is_plausible(self.version, in_use)
    }
}

/// A claim, and the routers that it rests on.
#[derive(Clone, Copy, Debug)]
struct Testimony<'a> {
    version: ListVersion,
    digest: u64,
    claimant: &'a str,
    passed_on_by: &'a str,
}

impl Testimony<'_> {
    fn is_independent_of(&self, other: &Testimony<'_>) -> bool {
        let sources = [other.claimant, other.passed_on_by];
        !sources.contains(&self.claimant) && !sources.contains(&self.passed_on_by)
    }

    fn believed(&self) -> BelievedList {
        BelievedList { version: self.version, digest: self.digest, is_corroborated: true }
    }
}

/// The list that the service is believed to have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BelievedList {
    pub version: ListVersion,
    pub digest: u64,
    /// Whether independent claims corroborate it.
    pub is_corroborated: bool,
}

/// A claim that was passed on: whose it is, and who passed it on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PassedOnKey {
    claimant: String,
    passed_on_by: String,
}

/// A router that alone states a later version than the one believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OutlierClaim {
    pub router: String,
    pub stated: ListVersion,
}

/// All claims that are remembered.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    /// Claims received from the claimants themselves.
    direct: BTreeMap<String, ClaimedList>,
    /// Claims that other routers passed on.
    passed_on: BTreeMap<PassedOnKey, ClaimedList>,
}

fn is_plausible(version: ListVersion, in_use: Option<ListVersion>) -> bool {
    let Some(in_use) = in_use else { return true };
    let versions_ahead = version.version.saturating_sub(in_use.version);
    let epochs_ahead = version.rank.saturating_sub(in_use.rank);
    let is_other_epoch = version.epoch != in_use.epoch;
    (is_other_epoch || versions_ahead <= MAX_VERSIONS_AHEAD) && epochs_ahead <= MAX_EPOCHS_AHEAD
}

impl Claims {
    /// Records a claim that `from` has stated: its own, or that of another router.
    pub fn record(&mut self, claim: &Claim, from: &str, now: Nanos) {
        let confirmed_at = now.saturating_sub(u64::from(claim.age_ms) * MILLISECOND);
        let claimed = ClaimedList { version: claim.version, digest: claim.digest, confirmed_at };
        if claim.router == from {
            if self.direct.len() < MAX_CLAIMS || self.direct.contains_key(from) {
                self.direct.insert(from.to_owned(), claimed);
            }
            return;
        }
        let key = PassedOnKey { claimant: claim.router.clone(), passed_on_by: from.to_owned() };
        if self.passed_on.len() < MAX_CLAIMS || self.passed_on.contains_key(&key) {
            self.passed_on.insert(key, claimed);
        }
    }

    /// Forgets claims that were last confirmed before an instant.
    pub fn forget_before(&mut self, at: Nanos) {
        self.direct.retain(|_, claimed| claimed.confirmed_at >= at);
        self.passed_on.retain(|_, claimed| claimed.confirmed_at >= at);
    }

    /// The latest claims that claimants themselves have stated, to be passed on to `receiver`.
    pub fn latest(
        &self,
        limit: usize,
        receiver: &str,
        in_use: Option<ListVersion>,
        now: Nanos,
    ) -> Vec<Claim> {
        let mut claims: Vec<(&String, &ClaimedList)> = self
            .direct
            .iter()
            .filter(|(router, claimed)| *router != receiver && is_plausible(claimed.version, in_use))
            .collect();
        claims.sort_by_key(|(_, claimed)| Reverse((claimed.version, claimed.confirmed_at)));
        claims.truncate(limit);
        claims.into_iter().map(|(router, claimed)| passed_on_claim(router, claimed, now)).collect()
    }

    /// The list that is believed, by claims that were confirmed at `since` or later. `in_use` is the version
    /// in use here.
    pub fn believed(&self, since: Nanos, in_use: Option<ListVersion>) -> Option<BelievedList> {
        let mut testimonies = self.testimonies(since, in_use);
        rank_epochs_alike(&mut testimonies, in_use);
        testimonies.sort_by_key(|testimony| Reverse((testimony.version, testimony.digest)));
        testimonies.truncate(MAX_COMPARED);
        corroborated(&testimonies).or_else(|| self.uncorroborated(since, in_use))
    }

    fn testimonies(&self, since: Nanos, in_use: Option<ListVersion>) -> Vec<Testimony<'_>> {
        let direct =
            self.direct.iter().map(|(claimant, claimed)| (claimant.as_str(), claimant.as_str(), claimed));
        let passed_on = self
            .passed_on
            .iter()
            .map(|(key, claimed)| (key.claimant.as_str(), key.passed_on_by.as_str(), claimed));
        direct
            .chain(passed_on)
            .filter(|(_, _, claimed)| claimed.is_current(since, in_use))
            .map(|(claimant, passed_on_by, claimed)| Testimony {
                version: claimed.version,
                digest: claimed.digest,
                claimant,
                passed_on_by,
            })
            .collect()
    }

    /// Where nothing is corroborated: the claim of the only claimant, and of several that do not agree the
    /// oldest.
    fn uncorroborated(&self, since: Nanos, in_use: Option<ListVersion>) -> Option<BelievedList> {
        let claimants = self.claimants(since).into_iter();
        let claimed: Vec<ClaimedList> =
            claimants.filter_map(|claimant| self.claimed_by(claimant, since, in_use)).collect();
        let oldest = claimed.iter().min_by_key(|claimed| claimed.version)?;
        let is_disputed = claimed
            .iter()
            .any(|other| other.version.is_same_list(&oldest.version) && other.digest != oldest.digest);
        (!is_disputed).then_some(BelievedList {
            version: oldest.version,
            digest: oldest.digest,
            is_corroborated: false,
        })
    }

    /// All claimants, in the order of their names.
    fn claimants(&self, since: Nanos) -> BTreeSet<&String> {
        let is_current = |claimed: &ClaimedList| claimed.confirmed_at >= since;
        let direct = self.direct.iter().filter(|(_, claimed)| is_current(claimed));
        let passed_on = self.passed_on.iter().filter(|(_, claimed)| is_current(claimed));
        let direct = direct.map(|(claimant, _)| claimant);
        direct.chain(passed_on.map(|(key, _)| &key.claimant)).collect()
    }

    /// What one claimant has, as far as is known: by its own claim, or by that which two others passed on
    /// alike, whichever is the fresher. A router that passes on what nobody said is alone with it.
    fn claimed_by(&self, claimant: &str, since: Nanos, in_use: Option<ListVersion>) -> Option<ClaimedList> {
        let own = self.direct.get(claimant).filter(|claimed| claimed.is_current(since, in_use)).copied();
        let passed_on: Vec<ClaimedList> = self
            .passed_on
            .iter()
            .filter(|(key, claimed)| key.claimant == claimant && claimed.is_current(since, in_use))
            .map(|(_, claimed)| *claimed)
            .collect();
        let is_stated_twice =
            |claimed: &&ClaimedList| passed_on.iter().filter(|other| claimed.agrees_with(other)).count() > 1;
        let stated_twice = passed_on.iter().filter(is_stated_twice).copied();
        own.into_iter().chain(stated_twice).max_by_key(|claimed| claimed.confirmed_at)
    }

    /// Routers that state a later version than the one believed.
    pub fn outliers(&self, since: Nanos, believed: ListVersion) -> Vec<OutlierClaim> {
        let later = self
            .direct
            .iter()
            .filter(|(_, claimed)| claimed.confirmed_at >= since && claimed.version.is_later_than(&believed));
        later
            .map(|(router, claimed)| OutlierClaim { router: router.clone(), stated: claimed.version })
            .collect()
    }
}

fn passed_on_claim(router: &str, claimed: &ClaimedList, now: Nanos) -> Claim {
    // Rounded up: nothing looks fresher for having been passed on.
    let age_ms = now.saturating_sub(claimed.confirmed_at).div_ceil(MILLISECOND);
    Claim {
        router: router.to_owned(),
        version: claimed.version,
        digest: claimed.digest,
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    }
}

/// Gives each epoch the highest rank that anybody counts it by.
fn rank_epochs_alike(testimonies: &mut [Testimony<'_>], in_use: Option<ListVersion>) {
    let mut ranks: BTreeMap<u64, u32> = in_use.iter().map(|in_use| (in_use.epoch, in_use.rank)).collect();
    for testimony in testimonies.iter() {
        let rank = ranks.entry(testimony.version.epoch).or_default();
        *rank = (*rank).max(testimony.version.rank);
    }
    for testimony in testimonies {
        testimony.version.rank = ranks[&testimony.version.epoch];
    }
}

/// The latest list that independent testimonies corroborate, which are sorted by falling versions.
fn corroborated(testimonies: &[Testimony<'_>]) -> Option<BelievedList> {
    let mut first = 0;
    while first < testimonies.len() {
        let version = testimonies[first].version;
        let end = testimonies.iter().position(|other| other.version < version).unwrap_or(testimonies.len());
        let (later, same_version) = (&testimonies[..first], &testimonies[first..end]);
        if let Some(testimony) = corroborated_version(same_version, later) {
            return Some(testimony.believed());
        }
        first = end;
    }
    None
}

/// A testimony of one version that is corroborated: by another that states the same, or by one of a later
/// version, whose claimant must have had this one, too.
fn corroborated_version<'a, 'b>(
    same_version: &'b [Testimony<'a>],
    later: &[Testimony<'a>],
) -> Option<&'b Testimony<'a>> {
    let is_stated_twice = |one: &&Testimony<'_>| {
        same_version.iter().any(|other| other.digest == one.digest && one.is_independent_of(other))
    };
    if let Some(testimony) = same_version.iter().find(is_stated_twice) {
        return Some(testimony);
    }
    let first = same_version.first()?;
    if same_version.iter().any(|other| other.digest != first.digest) {
        return None;
    }
    same_version.iter().find(|one| later.iter().any(|other| one.is_independent_of(other)))
}
