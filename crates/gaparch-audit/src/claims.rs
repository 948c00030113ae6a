//! What routers say that they have from the list service itself, and what of it is believed.
//!
//! A version is believed once two routers have it from the service, or the only one that the service still speaks to. So
//! one router that states versions from the future moves nobody while another hears the service, whatever it states;
//! and a site whose service reaches one router alone is brought up by that one.
//!
//! What a router has heard from a claimant itself it passes on, with the claimant's name and the claim's age, and what it
//! has heard of claimants by others it does not: so each claim rests on two routers at most, who has it and who passed
//! it on, and **two claims bear each other out only where they rest on no router in common**. One that makes up claimants,
//! or claims of others, gains nothing by it. Entries have to fit the digest that was stated with their version.

use crate::{Nanos, MS};
use gaparch_protocol::versions::{Claim, ListVersion};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Claims that are kept in mind, of the claimants themselves and of others.
const MOST: usize = 2048;
/// Claims that are weighed at once: those of the latest versions.
const WEIGHED: usize = 64;
/// Versions and epochs that a service may have gone on since the one held; a claim further ahead is a defect's.
const MOST_AHEAD: u64 = 1 << 32;
const MOST_EPOCHS_AHEAD: u32 = 64;

#[derive(Clone, Copy, Debug)]
struct Known {
    version: ListVersion,
    digest: u64,
    /// When it was sure, by the clock here.
    at: Nanos,
}

/// A claim, and on whom it rests.
#[derive(Clone, Copy, Debug)]
struct Word<'a> {
    version: ListVersion,
    digest: u64,
    by: &'a str,
    told: &'a str,
}

impl Word<'_> {
    fn rests_apart(&self, other: &Word<'_>) -> bool {
        ![other.by, other.told].iter().any(|one| *one == self.by || *one == self.told)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Believed {
    pub version: ListVersion,
    pub digest: u64,
    pub corroborated: bool,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Claims {
    /// Of the claimants themselves.
    direct: BTreeMap<String, Known>,
    /// By claimant and by who passed it on.
    told: BTreeMap<(String, String), Known>,
}

fn is_plausible(version: ListVersion, held: Option<ListVersion>) -> bool {
    held.is_none_or(|held| {
        let ahead = version.version.saturating_sub(held.version);
        let anew = version.epoch != held.epoch;
        (anew || ahead <= MOST_AHEAD) && version.rank.saturating_sub(held.rank) <= MOST_EPOCHS_AHEAD
    })
}

impl Claims {
    /// Takes a claim that `from` has stated: its own, or that of another.
    pub fn take(&mut self, claim: &Claim, from: &str, now: Nanos) {
        let at = now.saturating_sub(u64::from(claim.age_ms) * MS);
        let known = Known { version: claim.version, digest: claim.digest, at };
        if claim.router == from {
            if self.direct.len() < MOST || self.direct.contains_key(from) {
                self.direct.insert(from.to_owned(), known);
            }
            return;
        }
        let key = (claim.router.clone(), from.to_owned());
        if self.told.len() < MOST || self.told.contains_key(&key) {
            self.told.insert(key, known);
        }
    }

    pub fn forget_before(&mut self, at: Nanos) {
        self.direct.retain(|_, known| known.at >= at);
        self.told.retain(|_, known| known.at >= at);
    }

    /// The latest ones that claimants themselves have stated, for whoever is told.
    pub fn best(&self, most: usize, not: &str, held: Option<ListVersion>, now: Nanos) -> Vec<Claim> {
        let fits = |(router, known): &(&String, &Known)| *router != not && is_plausible(known.version, held);
        let mut all: Vec<(&String, &Known)> = self.direct.iter().filter(fits).collect();
        all.sort_by_key(|one| Reverse((one.1.version, one.1.at)));
        let claim = |(router, known): (&String, &Known)| Claim {
            router: router.clone(),
            version: known.version,
            digest: known.digest,
            // Rounded up: nothing looks fresher for having been passed on.
            age_ms: u32::try_from(now.saturating_sub(known.at).div_ceil(MS)).unwrap_or(u32::MAX),
        };
        all.into_iter().take(most).map(claim).collect()
    }

    /// What is believed, by those that were sure at `since` or later. `held`: what this router has.
    pub fn believed(&self, since: Nanos, held: Option<ListVersion>) -> Option<Believed> {
        let direct = self.direct.iter().map(|(by, known)| (by, by, known));
        let told = self.told.iter().map(|((by, told), known)| (by, told, known));
        let mut words: Vec<Word<'_>> = direct
            .chain(told)
            .filter(|(_, _, known)| known.at >= since && is_plausible(known.version, held))
            .map(|(by, told, known)| Word { version: known.version, digest: known.digest, by, told })
            .collect();
        // An epoch has the rank of whoever counts it highest.
        let mut ranks: BTreeMap<u64, u32> = held.iter().map(|held| (held.epoch, held.rank)).collect();
        for word in &words {
            let rank = ranks.entry(word.version.epoch).or_default();
            *rank = (*rank).max(word.version.rank);
        }
        for word in &mut words {
            word.version.rank = ranks[&word.version.epoch];
        }
        words.sort_by_key(|word| Reverse((word.version, word.digest)));
        words.truncate(WEIGHED);
        let mut first = 0;
        while first < words.len() {
            let version = words[first].version;
            let until = words.iter().position(|w| w.version < version).unwrap_or(words.len());
            let here = &words[first..until];
            let apart =
                |one: &Word<'_>, others: &[Word<'_>]| others.iter().any(|other| one.rests_apart(other));
            let believed = |one: &Word<'_>| Believed { version, digest: one.digest, corroborated: true };
            // Two that state the same; or one, where whoever has a later one must have had this, too.
            let same =
                here.iter().find(|one| here.iter().any(|o| o.digest == one.digest && one.rests_apart(o)));
            if let Some(one) = same {
                return Some(believed(one));
            }
            let alike = here.iter().all(|one| one.digest == here[0].digest);
            if let Some(one) = here.iter().find(|one| alike && apart(one, &words[..first])) {
                return Some(believed(one));
            }
            first = until;
        }
        // Nothing is borne out: the word of the only one is taken, and of several that do not agree the least.
        let standing: Vec<Known> =
            self.claimants(since).filter_map(|by| self.standing(by, since, held)).collect();
        let least = standing.iter().min_by_key(|known| known.version)?;
        let differ = standing
            .iter()
            .any(|known| known.version.is_same_list(&least.version) && known.digest != least.digest);
        (!differ).then_some(Believed { version: least.version, digest: least.digest, corroborated: false })
    }

    fn claimants(&self, since: Nanos) -> impl Iterator<Item = &String> {
        let told = self.told.iter().filter(move |(_, known)| known.at >= since).map(|((by, _), _)| by);
        let direct = self.direct.iter().filter(move |(_, known)| known.at >= since).map(|(by, _)| by);
        let mut all: Vec<&String> = direct.chain(told).collect();
        all.sort_unstable();
        all.dedup();
        all.into_iter()
    }

    /// What one claimant has, as far as is known: by its own word, or by that of two others, whichever is the fresher. One
    /// that passes on what nobody said is alone with it.
    fn standing(&self, by: &str, since: Nanos, held: Option<ListVersion>) -> Option<Known> {
        let fits = |known: &&Known| known.at >= since && is_plausible(known.version, held);
        let own = self.direct.get(by).filter(fits).copied();
        let told: Vec<&Known> =
            self.told.iter().filter(|((of, _), _)| of == by).map(|(_, known)| known).filter(fits).collect();
        let alike = |a: &Known, b: &Known| a.version.is_same_list(&b.version) && a.digest == b.digest;
        let twice = told.iter().filter(|known| told.iter().filter(|other| alike(known, other)).count() > 1);
        own.into_iter().chain(twice.map(|known| **known)).max_by_key(|known| known.at)
    }

    /// Routers that alone state more than the others believe, with what they state.
    pub fn outliers(&self, since: Nanos, believed: ListVersion) -> Vec<(String, ListVersion)> {
        let out = |(router, known): (&String, &Known)| {
            (known.at >= since && known.version.is_later_than(&believed))
                .then(|| (router.clone(), known.version))
        };
        self.direct.iter().filter_map(out).collect()
    }
}
