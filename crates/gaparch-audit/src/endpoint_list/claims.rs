//! What routers claim to have from the list service itself, and which of these versions is believed.
//!
//! A version is believed once two routers have it from the service, or once the only router that the service
//! still reaches has it. So a single faulty router that states versions that do not exist yet misleads no
//! other router while one of them is reached by the service; and a site whose service reaches a single router
//! catches up through that router.
//!
//! A router relays the claims that it has received from the claimants themselves, with the claimant's name
//! and the claim's age; it does not relay relayed claims. So each claim depends on two routers at most, the
//! claimant and the one that relayed it, and **two claims corroborate each other only if they depend on no
//! router in common**. A router that makes up claimants, or claims of others, gains nothing by it. Entries
//! have to match the digest that was stated with their version.

use crate::{Nanos, MILLISECOND};
use gaparch_protocol::versions::{Claim, ListVersion};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The greatest number of direct claims that are kept, and also the greatest number of relayed ones.
const MAX_CLAIMS: usize = 2048;
/// The greatest number of claims that are compared: those of the latest versions.
const MAX_COMPARED: usize = 64;
/// How many versions a claim may be ahead of the list in use; one that is further ahead is a defect.
const MAX_VERSIONS_AHEAD: u64 = 1 << 32;
/// How many epochs a claim may be ahead of the list in use.
const MAX_EPOCHS_AHEAD: u32 = 64;

/// The list that a router is claimed to have from the service.
#[derive(Clone, Copy, Debug)]
struct ClaimedList {
    version: ListVersion,
    digest: u64,
    /// When the service confirmed it, by the local clock.
    confirmed_at: Nanos,
}

impl ClaimedList {
    fn agrees_with(&self, other: &ClaimedList) -> bool {
        self.version.is_same_list(&other.version) && self.digest == other.digest
    }

    fn is_valid(&self, since: Nanos, in_use: Option<ListVersion>) -> bool {
        self.confirmed_at >= since && is_plausible(self.version, in_use)
    }
}

/// A claim, and the routers that it depends on.
#[derive(Clone, Copy, Debug)]
struct SourcedClaim<'a> {
    version: ListVersion,
    digest: u64,
    claimant: &'a str,
    relayed_by: &'a str,
}

impl SourcedClaim<'_> {
    fn is_independent_of(&self, other: &SourcedClaim<'_>) -> bool {
        let sources = [other.claimant, other.relayed_by];
        !sources.contains(&self.claimant) && !sources.contains(&self.relayed_by)
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

/// The claimant of a relayed claim, and the router that relayed it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RelayedKey {
    claimant: String,
    relayed_by: String,
}

/// A router that states a later version than the one believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OutlierClaim {
    pub router: String,
    pub stated: ListVersion,
}

/// All claims that are kept.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    /// Claims received from the claimants themselves.
    direct: BTreeMap<String, ClaimedList>,
    /// Claims that other routers relayed.
    relayed: BTreeMap<RelayedKey, ClaimedList>,
}

fn is_plausible(version: ListVersion, in_use: Option<ListVersion>) -> bool {
    let Some(in_use) = in_use else { return true };
    let versions_ahead = version.version.saturating_sub(in_use.version);
    let epochs_ahead = version.rank.saturating_sub(in_use.rank);
    let is_other_epoch = version.epoch != in_use.epoch;
    (is_other_epoch || versions_ahead <= MAX_VERSIONS_AHEAD) && epochs_ahead <= MAX_EPOCHS_AHEAD
}

impl Claims {
    /// Records a claim that `from` has sent: its own, or one that it relays.
    pub fn record(&mut self, claim: &Claim, from: &str, now: Nanos) {
        let confirmed_at = now.saturating_sub(u64::from(claim.age_ms) * MILLISECOND);
        let claimed = ClaimedList { version: claim.version, digest: claim.digest, confirmed_at };
        if claim.router == from {
            if self.direct.len() < MAX_CLAIMS || self.direct.contains_key(from) {
                self.direct.insert(from.to_owned(), claimed);
            }
            return;
        }
        let key = RelayedKey { claimant: claim.router.clone(), relayed_by: from.to_owned() };
        if self.relayed.len() < MAX_CLAIMS || self.relayed.contains_key(&key) {
            self.relayed.insert(key, claimed);
        }
    }

    /// Forgets claims that were last confirmed before an instant.
    pub fn forget_before(&mut self, at: Nanos) {
        self.direct.retain(|_, claimed| claimed.confirmed_at >= at);
        self.relayed.retain(|_, claimed| claimed.confirmed_at >= at);
    }

    /// The latest claims received from the claimants themselves, to be relayed to `receiver`.
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
        claims.into_iter().map(|(router, claimed)| relayed_claim(router, claimed, now)).collect()
    }

    /// The list that is believed, by claims that were confirmed at `since` or later. `in_use` is the version
    /// in use here.
    pub fn believed(&self, since: Nanos, in_use: Option<ListVersion>) -> Option<BelievedList> {
        let mut claims = self.valid_claims(since, in_use);
        unify_epoch_ranks(&mut claims, in_use);
        claims.sort_by_key(|claim| Reverse((claim.version, claim.digest)));
        claims.truncate(MAX_COMPARED);
        corroborated(&claims).or_else(|| self.uncorroborated(since, in_use))
    }

    fn valid_claims(&self, since: Nanos, in_use: Option<ListVersion>) -> Vec<SourcedClaim<'_>> {
        let direct =
            self.direct.iter().map(|(claimant, claimed)| (claimant.as_str(), claimant.as_str(), claimed));
        let relayed = self
            .relayed
            .iter()
            .map(|(key, claimed)| (key.claimant.as_str(), key.relayed_by.as_str(), claimed));
        direct
            .chain(relayed)
            .filter(|(_, _, claimed)| claimed.is_valid(since, in_use))
            .map(|(claimant, relayed_by, claimed)| SourcedClaim {
                version: claimed.version,
                digest: claimed.digest,
                claimant,
                relayed_by,
            })
            .collect()
    }

    /// The list that is believed where no claim is corroborated: that of the only claimant, or the oldest one
    /// of several. `None` if claimants state different digests of it.
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
        let is_recent = |claimed: &ClaimedList| claimed.confirmed_at >= since;
        let direct = self.direct.iter().filter(|(_, claimed)| is_recent(claimed));
        let relayed = self.relayed.iter().filter(|(_, claimed)| is_recent(claimed));
        let direct = direct.map(|(claimant, _)| claimant);
        direct.chain(relayed.map(|(key, _)| &key.claimant)).collect()
    }

    /// The list that one claimant has: by its own claim, or by a claim that two other routers have relayed
    /// alike, whichever was confirmed later. A claim that a router makes up is relayed by that router only.
    fn claimed_by(&self, claimant: &str, since: Nanos, in_use: Option<ListVersion>) -> Option<ClaimedList> {
        let own = self.direct.get(claimant).filter(|claimed| claimed.is_valid(since, in_use)).copied();
        let relayed: Vec<ClaimedList> = self
            .relayed
            .iter()
            .filter(|(key, claimed)| key.claimant == claimant && claimed.is_valid(since, in_use))
            .map(|(_, claimed)| *claimed)
            .collect();
        let is_stated_twice =
            |claimed: &&ClaimedList| relayed.iter().filter(|other| claimed.agrees_with(other)).count() > 1;
        let stated_twice = relayed.iter().filter(is_stated_twice).copied();
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

fn relayed_claim(router: &str, claimed: &ClaimedList, now: Nanos) -> Claim {
    // Rounded up, so that a claim does not look fresher after being relayed.
    let age_ms = now.saturating_sub(claimed.confirmed_at).div_ceil(MILLISECOND);
    Claim {
        router: router.to_owned(),
        version: claimed.version,
        digest: claimed.digest,
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    }
}

/// Gives each epoch the highest rank that any claim, or the list in use, has for it.
fn unify_epoch_ranks(claims: &mut [SourcedClaim<'_>], in_use: Option<ListVersion>) {
    let mut ranks: BTreeMap<u64, u32> = in_use.iter().map(|in_use| (in_use.epoch, in_use.rank)).collect();
    for claim in claims.iter() {
        let rank = ranks.entry(claim.version.epoch).or_default();
        *rank = (*rank).max(claim.version.rank);
    }
    for claim in claims {
        claim.version.rank = ranks[&claim.version.epoch];
    }
}

/// The latest list that independent claims corroborate. The claims are sorted from the latest version down.
fn corroborated(claims: &[SourcedClaim<'_>]) -> Option<BelievedList> {
    let mut first = 0;
    while first < claims.len() {
        let version = claims[first].version;
        let end = claims.iter().position(|other| other.version < version).unwrap_or(claims.len());
        let (later, same_version) = (&claims[..first], &claims[first..end]);
        if let Some(claim) = corroborated_claim(same_version, later) {
            return Some(claim.believed());
        }
        first = end;
    }
    None
}

/// A claim of one version that is corroborated: by another claim of the same list, or by a claim of a later
/// version, whose claimant must have had this one, too.
fn corroborated_claim<'a, 'b>(
    same_version: &'b [SourcedClaim<'a>],
    later: &[SourcedClaim<'a>],
) -> Option<&'b SourcedClaim<'a>> {
    let is_stated_twice = |one: &&SourcedClaim<'_>| {
        same_version.iter().any(|other| other.digest == one.digest && one.is_independent_of(other))
    };
    if let Some(claim) = same_version.iter().find(is_stated_twice) {
        return Some(claim);
    }
    let first = same_version.first()?;
    if same_version.iter().any(|other| other.digest != first.digest) {
        return None;
    }
    same_version.iter().find(|one| later.iter().any(|other| one.is_independent_of(other)))
}
