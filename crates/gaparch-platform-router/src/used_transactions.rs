//! The transaction ids of open requests, and those that must not be run again.

use gaparch_platform_protocol::client_request::TransactionId;
use gaparch_scheduler::api::Nanos;
use gaparch_scheduler::policy::repeated_ids::{MAX_REMEMBERED, REMEMBER_FOR};
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use thiserror::Error;

/// Capacity that an empty table of open requests keeps.
const IDLE_CAPACITY: usize = 64;

/// Why a request with an id that was used before is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum IdConflict {
    /// A request with this id is open.
    #[error("a request of this id is open")]
    Open,
    /// A request with this id may have run, and a second execution may be harmful.
    #[error("a request of this id may have run")]
    MayHaveRun,
}

/// Transaction ids in use. Bounded by the open requests and [`MAX_REMEMBERED`].
#[derive(Debug, Default)]
pub(crate) struct UsedTransactions {
    open: HashSet<TransactionId>,
    /// Hashes of the ids that must not be run again, with the time until which that holds.
    remembered: HashMap<u64, Nanos>,
    /// The same in the order of these times.
    by_time: VecDeque<(Nanos, u64)>,
    /// Its keys are random, so clients can't choose ids with the same hash.
    hasher: RandomState,
}

impl UsedTransactions {
    /// Registers the id of a request that is now open.
    ///
    /// # Errors
    /// Returns an error if the id is in use or must not be run again.
    pub fn register(&mut self, transaction: &TransactionId, now: Nanos) -> Result<(), IdConflict> {
        self.forget_until(now);
        if self.remembered.contains_key(&self.hasher.hash_one(transaction)) {
            return Err(IdConflict::MayHaveRun);
        }
        if !self.open.insert(transaction.clone()) {
            return Err(IdConflict::Open);
        }
        Ok(())
    }

    /// Frees the id of a request that has no running attempts any more.
    pub fn unregister(&mut self, transaction: &TransactionId) {
        self.open.remove(transaction);
        if self.open.is_empty() {
            self.open.shrink_to(IDLE_CAPACITY);
        }
    }

    /// Keeps an id from being run again for some time.
    pub fn remember(&mut self, transaction: &TransactionId, now: Nanos) {
        self.forget_until(now);
        if self.by_time.len() >= MAX_REMEMBERED {
            self.forget_oldest();
        }
        let until = now.saturating_add(REMEMBER_FOR);
        let hash = self.hasher.hash_one(transaction);
        if self.remembered.insert(hash, until).is_none() {
            self.by_time.push_back((until, hash));
        }
    }

    fn forget_until(&mut self, now: Nanos) {
        while self.by_time.front().is_some_and(|(until, _)| *until <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, hash)) = self.by_time.pop_front() {
            self.remembered.remove(&hash);
        }
    }
}

#[cfg(test)]
#[path = "used_transactions_tests.rs"]
mod tests;
