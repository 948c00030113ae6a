//! The list that a router acts on.

use gaparch_protocol::list::{ListEntry, Scope, ServerState};
use gaparch_protocol::ops::to_bytes;
use gaparch_protocol::versions::ListVersion;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Epochs that are kept in mind. A service that began anew more often since is not told from one that never was.
const MOST_EPOCHS: usize = 16;

/// A whole list at one version.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct HeldList {
    pub version: ListVersion,
    pub digest: u64,
    /// In the order of their names.
    pub entries: Vec<ListEntry>,
}

/// The digest of a list: the wrapping sum of its entries' SHA-256, first eight bytes of each, so that it does not depend on
/// their order, and one entry's change costs one entry's work. It guards against defects, not against forgers: those
/// are kept out by the site's key.
pub fn digest<'a>(entries: impl IntoIterator<Item = &'a ListEntry>) -> u64 {
    entries.into_iter().fold(0, |sum, entry| sum.wrapping_add(digest_of(entry)))
}

fn digest_of(entry: &ListEntry) -> u64 {
    let hash = Sha256::digest(to_bytes(entry));
    hash.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// Why a list is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A later one is held already.
    Older { held: ListVersion, said: ListVersion },
    /// It is of a run of the service that another has followed.
    Replaced { held: ListVersion, said: ListVersion },
    /// Its entries are not those that its digest was made of.
    Harmed,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Older { held, said } => {
                write!(f, "version {} is older than {}, which is held", said.version, held.version)
            }
            Refusal::Replaced { held, said } => write!(
                f,
                "it is of epoch {}, which epoch {} has followed: a service that went back, or a second one",
                said.rank, held.rank
            ),
            Refusal::Harmed => f.write_str("its entries do not fit its digest"),
        }
    }
}

/// What became of a list that came.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    /// It is to be acted on; `new_epoch`: the service began anew.
    New {
        new_epoch: bool,
    },
    /// It says what is known already.
    Same,
    /// Changes were missed: the whole list has to be asked for.
    Missed,
    Refused(Refusal),
}

/// The list held, and what is known of the service's epochs.
#[derive(Clone, Debug, Default)]
pub struct Held {
    version: Option<ListVersion>,
    entries: BTreeMap<String, ListEntry>,
    digest: u64,
    epochs: Vec<(u64, u32)>,
    /// No service said so here, another router did.
    by_peer: bool,
    /// More than one router has this from the service itself: nothing older is taken from anybody.
    floor: Option<ListVersion>,
}

impl Held {
    pub fn version(&self) -> Option<ListVersion> {
        self.version
    }

    /// The list as it stands.
    pub fn list(&self) -> Arc<HeldList> {
        let entries = self.entries.values().cloned().collect();
        Arc::new(HeldList { version: self.version.unwrap_or_default(), digest: self.digest, entries })
    }

    /// That epoch's rank: one more than any known if it is new.
    fn rank(&mut self, epoch: u64) -> u32 {
        if let Some((_, rank)) = self.epochs.iter().find(|(e, _)| *e == epoch) {
            return *rank;
        }
        let last = self.epochs.iter().map(|(_, rank)| *rank).max().unwrap_or(0);
        let rank = last.max(self.version.map_or(0, |v| v.rank)).saturating_add(1);
        self.know(epoch, rank);
        rank
    }

    fn know(&mut self, epoch: u64, rank: u32) {
        self.epochs.retain(|(e, _)| *e != epoch);
        if self.epochs.len() >= MOST_EPOCHS {
            self.epochs.remove(0);
        }
        self.epochs.push((epoch, rank));
    }

    /// Several routers have this from the service itself. Where they count the same epoch higher, it is counted so
    /// here, too: a router that started later has seen fewer epochs.
    pub fn believe(&mut self, version: ListVersion) {
        self.floor = self.floor.max(Some(version));
        let known = self.epochs.iter().any(|(e, rank)| *e == version.epoch && *rank >= version.rank);
        if !known {
            self.know(version.epoch, version.rank);
        }
        if let Some(held) = self.version.as_mut().filter(|held| held.epoch == version.epoch) {
            held.rank = held.rank.max(version.rank);
        }
    }

    /// Takes what the list service says. `first`: it is the first word on its connection; a service that does not tell
    /// its epoch (0) may have begun anew there, and nowhere else.
    pub fn from_service(
        &mut self,
        epoch: u64,
        first: bool,
        scope: Scope,
        version: u64,
        entries: &[ListEntry],
    ) -> Taken {
        let rank = self.rank(epoch);
        let mut said = ListVersion { rank, epoch, version };
        let whole = scope == Scope::Full;
        let held = self.version.unwrap_or_default();
        let before = self.version.map(|held| (held.rank, held.epoch));
        if self.version.is_some() && held.is_later_than(&said) {
            if epoch == 0 && held.epoch == 0 && first && whole {
                said.rank = held.rank.saturating_add(1);
                self.know(0, said.rank);
            } else if self.by_peer && whole && self.floor.is_none_or(|floor| !floor.is_later_than(&said)) {
                // One router alone has said so, and the service itself does not: the service is right.
            } else if said.epoch != held.epoch {
                return Taken::Refused(Refusal::Replaced { held, said });
            } else {
                return Taken::Refused(Refusal::Older { held, said });
            }
        }
        if whole {
            let all: BTreeMap<String, ListEntry> =
                entries.iter().map(|e| (e.engine.clone(), e.clone())).collect();
            if self.version.is_some_and(|held| held.is_same_list(&said)) {
                // The same version with other entries is no version at all: the first word stands.
                self.by_peer = false;
                return if digest(all.values()) == self.digest {
                    Taken::Same
                } else {
                    Taken::Refused(Refusal::Harmed)
                };
            }
            self.digest = digest(all.values());
            self.entries = all;
        } else {
            if said.version <= held.version && before == Some((said.rank, said.epoch)) {
                return Taken::Same;
            }
            let next =
                before == Some((said.rank, said.epoch)) && held.version.saturating_add(1) == said.version;
            if !next {
                return Taken::Missed;
            }
            for entry in entries {
                self.change(entry);
            }
        }
        self.version = Some(said);
        self.by_peer = false;
        let new_epoch = before.is_some_and(|before| before != (said.rank, said.epoch));
        Taken::New { new_epoch }
    }

    fn change(&mut self, entry: &ListEntry) {
        let gone = entry.state == ServerState::Removed;
        let before = match gone {
            true => self.entries.remove(&entry.engine),
            false => self.entries.insert(entry.engine.clone(), entry.clone()),
        };
        self.digest = self.digest.wrapping_sub(before.as_ref().map_or(0, digest_of));
        self.digest = self.digest.wrapping_add(if gone { 0 } else { digest_of(entry) });
    }

    /// Takes a list that another router has handed on, as if the service had said it.
    pub fn from_peer(&mut self, list: &HeldList) -> Taken {
        let held = self.version.unwrap_or_default();
        if self.version.is_some() && !list.version.is_later_than(&held) {
            let refusal = Refusal::Older { held, said: list.version };
            return if list.version.is_same_list(&held) { Taken::Same } else { Taken::Refused(refusal) };
        }
        if digest(&list.entries) != list.digest {
            return Taken::Refused(Refusal::Harmed);
        }
        let new_epoch = self.version.is_some() && held.epoch != list.version.epoch;
        let mut version = list.version;
        if version.epoch == held.epoch {
            version.rank = version.rank.max(held.rank);
        }
        self.know(version.epoch, version.rank);
        self.entries = list.entries.iter().map(|e| (e.engine.clone(), e.clone())).collect();
        (self.version, self.digest, self.by_peer) = (Some(version), list.digest, true);
        Taken::New { new_epoch }
    }
}
