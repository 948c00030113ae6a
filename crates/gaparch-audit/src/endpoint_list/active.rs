//! The endpoint list that a router acts on.

use super::snapshot::{digest, entry_digest, ListSnapshot};
use gaparch_protocol::list::{ListEntry, Scope, ServerState};
use gaparch_protocol::versions::ListVersion;
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// The greatest number of epochs remembered. An epoch that was forgotten counts as new.
const MAX_EPOCHS: usize = 16;

/// Why a list is not adopted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ListRejection {
    /// A later version is in use already.
    #[error("version {} is older than {}, which is in use", .offered.version, .in_use.version)]
    Older {
        /// The version in use.
        in_use: ListVersion,
        /// The version that was offered.
        offered: ListVersion,
    },
    /// It is of an epoch of the list service that a later one has replaced.
    #[error(
        "it is of epoch {}, which epoch {} has followed: a service that went back, or a second one",
        .offered.rank, .in_use.rank
    )]
    ReplacedEpoch {
        /// The version in use.
        in_use: ListVersion,
        /// The version that was offered.
        offered: ListVersion,
    },
    /// Its entries do not match its digest, or differ from those in use under the same version.
    #[error("its entries do not fit its digest")]
    DigestMismatch,
}

/// The outcome of an update or a list that was offered.
#[derive(Clone, Debug, PartialEq)]
pub enum ListOutcome {
    /// It was adopted.
    Adopted {
        /// Whether the list before was of another epoch.
        new_epoch: bool,
    },
    /// It contains nothing new.
    Unchanged,
    /// Earlier changes were missed: the whole list has to be requested.
    Incomplete,
    /// It was rejected.
    Rejected(ListRejection),
}

/// An epoch of the list service, and its rank in the order of epochs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RankedEpoch {
    epoch: u64,
    rank: u32,
}

impl RankedEpoch {
    fn of(version: &ListVersion) -> RankedEpoch {
        RankedEpoch { epoch: version.epoch, rank: version.rank }
    }
}

/// The list in use, and what is known of the list service's epochs.
#[derive(Clone, Debug, Default)]
pub struct ActiveList {
    version: Option<ListVersion>,
    entries: BTreeMap<String, ListEntry>,
    digest: u64,
    epochs: Vec<RankedEpoch>,
    /// Whether it was fetched from another router, and the service has not confirmed it here.
    is_from_peer: bool,
    /// The latest version that more than one router has from the service itself: the list in use does not go
    /// back to an older one.
    floor: Option<ListVersion>,
}

impl ActiveList {
    /// The version in use, if there is any yet.
    pub fn version(&self) -> Option<ListVersion> {
        self.version
    }

    /// A copy of the list in use.
    pub fn snapshot(&self) -> Arc<ListSnapshot> {
        let entries = self.entries.values().cloned().collect();
        Arc::new(ListSnapshot { version: self.version.unwrap_or_default(), digest: self.digest, entries })
    }

    /// The rank of an epoch; a new one ranks above all known ones.
    fn rank_of(&mut self, epoch: u64) -> u32 {
        if let Some(known) = self.epochs.iter().find(|known| known.epoch == epoch) {
            return known.rank;
        }
        let last = self.epochs.iter().map(|known| known.rank).max().unwrap_or(0);
        let in_use = self.version.map_or(0, |version| version.rank);
        let rank = last.max(in_use).saturating_add(1);
        self.remember_epoch(RankedEpoch { epoch, rank });
        rank
    }

    fn remember_epoch(&mut self, epoch: RankedEpoch) {
        self.epochs.retain(|known| known.epoch != epoch.epoch);
        if self.epochs.len() >= MAX_EPOCHS {
            self.epochs.remove(0);
        }
        self.epochs.push(epoch);
    }

    /// Records that several routers have this version from the service itself. If they rank its epoch higher,
    /// this router adopts their rank: a router that started later has seen fewer epochs.
    pub fn corroborate(&mut self, version: ListVersion) {
        self.floor = self.floor.max(Some(version));
        let mut known = self.epochs.iter();
        let is_ranked = known.any(|known| known.epoch == version.epoch && known.rank >= version.rank);
        if !is_ranked {
            self.remember_epoch(RankedEpoch::of(&version));
        }
        if let Some(in_use) = self.version.as_mut().filter(|in_use| in_use.epoch == version.epoch) {
            in_use.rank = in_use.rank.max(version.rank);
        }
    }

    /// Applies an update of the list service. `is_first` tells whether it is the first one on its connection:
    /// a service that does not state its epoch (0) may have started a new one there, and nowhere else.
    pub fn apply_service_update(
        &mut self,
        epoch: u64,
        is_first: bool,
        scope: Scope,
        version: u64,
        entries: &[ListEntry],
    ) -> ListOutcome {
        let rank = self.rank_of(epoch);
        let previous = self.version;
        let mut offered = ListVersion { rank, epoch, version };
        if let Some(in_use) = previous.filter(|in_use| in_use.is_later_than(&offered)) {
            let is_full = scope == Scope::Full;
            if epoch == 0 && in_use.epoch == 0 && is_first && is_full {
                offered.rank = in_use.rank.saturating_add(1);
                self.remember_epoch(RankedEpoch::of(&offered));
            } else if !(is_full && self.may_revert_to(&offered)) {
                return ListOutcome::Rejected(outdated(in_use, offered));
            }
        }
        let not_adopted = match scope {
            Scope::Full => self.replace_entries(offered, entries),
            Scope::Delta => self.change_entries(offered, entries),
        };
        if let Some(outcome) = not_adopted {
            return outcome;
        }
        self.version = Some(offered);
        self.is_from_peer = false;
        let new_epoch = previous.is_some_and(|in_use| RankedEpoch::of(&in_use) != RankedEpoch::of(&offered));
        ListOutcome::Adopted { new_epoch }
    }

    /// Whether the service may replace the list in use by an older one: the list in use is from a single
    /// router, which may be faulty, and the service itself does not confirm it.
    fn may_revert_to(&self, offered: &ListVersion) -> bool {
        self.is_from_peer && self.floor.is_none_or(|floor| !floor.is_later_than(offered))
    }

    /// Replaces all entries by those of a full update; returns the outcome if it is not adopted.
    fn replace_entries(&mut self, offered: ListVersion, entries: &[ListEntry]) -> Option<ListOutcome> {
        let entries = by_name(entries);
        let offered_digest = digest(entries.values());
        if self.version.is_some_and(|in_use| in_use.is_same_list(&offered)) {
            // The same version with other entries is a defect of the service: the list in use is kept.
            self.is_from_peer = false;
            let is_same = offered_digest == self.digest;
            return Some(match is_same {
                true => ListOutcome::Unchanged,
                false => ListOutcome::Rejected(ListRejection::DigestMismatch),
            });
        }
        self.digest = offered_digest;
        self.entries = entries;
        None
    }

    /// Applies the changes of a delta; returns the outcome if it is not adopted.
    fn change_entries(&mut self, offered: ListVersion, entries: &[ListEntry]) -> Option<ListOutcome> {
        let in_use = self.version.unwrap_or_default();
        let is_same_epoch = self.version.is_some() && RankedEpoch::of(&in_use) == RankedEpoch::of(&offered);
        if is_same_epoch && offered.version <= in_use.version {
            return Some(ListOutcome::Unchanged);
        }
        if !is_same_epoch || in_use.version.saturating_add(1) != offered.version {
            return Some(ListOutcome::Incomplete);
        }
        for entry in entries {
            self.change_entry(entry);
        }
        None
    }

    fn change_entry(&mut self, entry: &ListEntry) {
        let is_removed = entry.state == ServerState::Removed;
        let before = match is_removed {
            true => self.entries.remove(&entry.engine),
            false => self.entries.insert(entry.engine.clone(), entry.clone()),
        };
        self.digest = self.digest.wrapping_sub(before.as_ref().map_or(0, entry_digest));
        self.digest = self.digest.wrapping_add(if is_removed { 0 } else { entry_digest(entry) });
    }

    /// Adopts a list that was fetched from another router if it is later than the one in use.
    pub fn apply_peer_list(&mut self, list: &ListSnapshot) -> ListOutcome {
        let in_use = self.version.unwrap_or_default();
        if self.version.is_some() && !list.version.is_later_than(&in_use) {
            if list.version.is_same_list(&in_use) {
                return ListOutcome::Unchanged;
            }
            return ListOutcome::Rejected(ListRejection::Older { in_use, offered: list.version });
        }
        if digest(&list.entries) != list.digest {
            return ListOutcome::Rejected(ListRejection::DigestMismatch);
        }
        let new_epoch = self.version.is_some() && in_use.epoch != list.version.epoch;
        let mut version = list.version;
        if version.epoch == in_use.epoch {
            version.rank = version.rank.max(in_use.rank);
        }
        self.remember_epoch(RankedEpoch::of(&version));
        self.entries = by_name(&list.entries);
        self.version = Some(version);
        self.digest = list.digest;
        self.is_from_peer = true;
        ListOutcome::Adopted { new_epoch }
    }
}

fn by_name(entries: &[ListEntry]) -> BTreeMap<String, ListEntry> {
    entries.iter().map(|entry| (entry.engine.clone(), entry.clone())).collect()
}

fn outdated(in_use: ListVersion, offered: ListVersion) -> ListRejection {
    match offered.epoch == in_use.epoch {
        true => ListRejection::Older { in_use, offered },
        false => ListRejection::ReplacedEpoch { in_use, offered },
    }
}
