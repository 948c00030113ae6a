//! What routers say that they have from the list service itself, and what of it is believed.
//!
//! A version is believed once two routers have it from the service, or the only one that the service still speaks to. So
//! one router that states versions from the future moves nobody while another hears the service, whatever it states;
//! and a site whose service reaches one router alone is brought up by that one. What is passed on bears the name of
//! who has it from the service, and its age; its entries have to fit the digest that was stated with it.

use crate::{Nanos, MS};
use gaparch_protocol::versions::{Claim, ListVersion};
use std::collections::BTreeMap;

/// Claimants that are kept in mind.
const MOST: usize = 2048;
/// Versions and epochs that a service may have gone on since the one held, without which a single word is none.
const MOST_AHEAD: u64 = 1 << 32;
const MOST_EPOCHS_AHEAD: u32 = 64;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Known {
    pub version: ListVersion,
    pub digest: u64,
    /// When it was sure, by the clock here.
    pub at: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Believed {
    pub version: ListVersion,
    pub digest: u64,
    pub corroborated: bool,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Claims {
    by: BTreeMap<String, Known>,
}

impl Claims {
    /// Takes a claim; `direct`: the claimant itself has said so. What others pass on may be late, and is taken only where
    /// it is no step back.
    pub fn take(&mut self, claim: &Claim, direct: bool, now: Nanos) {
        let at = now.saturating_sub(u64::from(claim.age) * MS);
        let room = self.by.len() < MOST;
        let known = Known { version: claim.version, digest: claim.digest, at };
        match self.by.get_mut(&claim.router) {
            Some(before) if direct || known.version.later_than(&before.version) => *before = known,
            Some(before) if known.version.is(&before.version) => before.at = before.at.max(at),
            Some(_) => {}
            None if room => drop(self.by.insert(claim.router.clone(), known)),
            None => {}
        }
    }

    pub fn forget_before(&mut self, at: Nanos) {
        self.by.retain(|_, known| known.at >= at);
    }

    /// The latest ones of others, for whoever is told.
    pub fn best(&self, most: usize, not: &str, now: Nanos) -> Vec<Claim> {
        let mut all: Vec<(&String, &Known)> = self.by.iter().filter(|(router, _)| *router != not).collect();
        all.sort_by_key(|one| std::cmp::Reverse((one.1.version, one.1.at)));
        let claim = |(router, known): (&String, &Known)| Claim {
            router: router.clone(),
            version: known.version,
            digest: known.digest,
            // Rounded up: nothing looks fresher for having been passed on.
            age: u32::try_from(now.saturating_sub(known.at).div_ceil(MS)).unwrap_or(u32::MAX),
        };
        all.into_iter().take(most).map(claim).collect()
    }

    /// What is believed, by those that were sure at `since` or later. `held`: what this router has.
    pub fn believed(&self, since: Nanos, held: Option<ListVersion>) -> Option<Believed> {
        let mut fresh: Vec<Known> = self.by.values().filter(|known| known.at >= since).copied().collect();
        // An epoch has the rank of whoever counts it highest.
        let mut ranks: BTreeMap<u64, u32> = held.iter().map(|held| (held.epoch, held.rank)).collect();
        for known in &fresh {
            let rank = ranks.entry(known.version.epoch).or_default();
            *rank = (*rank).max(known.version.rank);
        }
        for known in &mut fresh {
            known.version.rank = ranks[&known.version.epoch];
        }
        fresh.sort_by_key(|known| std::cmp::Reverse(known.version));
        let (known, corroborated) = match fresh[..] {
            [] => return None,
            [only] => (only, false),
            [_, second, ..] => (second, true),
        };
        // The first of the two may be further on, or of another list under the same name.
        let differs =
            corroborated && fresh.iter().any(|k| k.version == known.version && k.digest != known.digest);
        let plausible = held.is_none_or(|held| {
            let ahead = known.version.version.saturating_sub(held.version);
            let anew = known.version.epoch != held.epoch;
            (anew || ahead <= MOST_AHEAD) && known.version.rank.saturating_sub(held.rank) <= MOST_EPOCHS_AHEAD
        });
        (plausible && !differs).then_some(Believed {
            version: known.version,
            digest: known.digest,
            corroborated,
        })
    }

    /// Routers that alone state more than the others believe, with what they state.
    pub fn outliers(&self, since: Nanos, believed: ListVersion) -> Vec<(String, ListVersion)> {
        let out = |(router, known): (&String, &Known)| {
            (known.at >= since && known.version.later_than(&believed))
                .then(|| (router.clone(), known.version))
        };
        self.by.iter().filter_map(out).collect()
    }
}
