//! The orders that one router holds, and their digests.

use crate::hash_part;
use gaparch_protocol::ops::to_bytes;
use gaparch_protocol::versions::{FleetOrder, OrderId};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::ops::Bound;

/// The greatest number of subjects; orders on further subjects are rejected.
const MAX_SUBJECTS: usize = 4096;

/// The latest order on one subject.
#[derive(Clone, Debug)]
struct Entry {
    order: FleetOrder,
    digest: u64,
    is_in_force: bool,
    is_stored: bool,
}

/// The latest order on each subject. Digests are wrapping sums over all orders, so that they do not depend on
/// the sequence of subjects.
#[derive(Debug, Default)]
pub(super) struct OrderTable {
    entries: BTreeMap<String, Entry>,
}

fn order_digest(order: &FleetOrder) -> u64 {
    hash_part(&Sha256::digest(to_bytes(&order.id)), 0)
}

impl OrderTable {
    /// Inserts an order that was read from disk; it is not in force yet.
    pub fn insert_stored(&mut self, subject: String, order: FleetOrder) {
        let digest = order_digest(&order);
        self.entries.insert(subject, Entry { order, digest, is_in_force: false, is_stored: true });
    }

    /// Inserts an order that is not on disk yet.
    pub fn insert(&mut self, subject: String, order: FleetOrder, is_in_force: bool) {
        let digest = order_digest(&order);
        self.entries.insert(subject, Entry { order, digest, is_in_force, is_stored: false });
    }

    /// Whether the table can take an order on this subject.
    pub fn has_capacity_for(&self, subject: &str) -> bool {
        self.entries.len() < MAX_SUBJECTS || self.entries.contains_key(subject)
    }

    pub fn get(&self, subject: &str) -> Option<&FleetOrder> {
        self.entries.get(subject).map(|entry| &entry.order)
    }

    /// All orders, in the order of their subjects.
    pub fn all(&self) -> Vec<FleetOrder> {
        self.entries.values().map(|entry| entry.order.clone()).collect()
    }

    /// All orders, those on subjects after the given one first.
    pub fn all_after(&self, subject: &str) -> impl Iterator<Item = &FleetOrder> {
        let later = self.entries.range::<str, _>((Bound::Excluded(subject), Bound::Unbounded));
        let earlier = self.entries.range::<str, _>((Bound::Unbounded, Bound::Included(subject)));
        later.chain(earlier).map(|(_, entry)| &entry.order)
    }

    /// Orders that are not in force here yet.
    pub fn not_in_force(&self) -> impl Iterator<Item = &FleetOrder> {
        self.entries.values().filter(|entry| !entry.is_in_force).map(|entry| &entry.order)
    }

    /// Marks an order as in force; returns whether that makes it complete, that is, in force and stored.
    pub fn mark_in_force(&mut self, id: &OrderId) -> bool {
        let Some(entry) = self.entries.values_mut().find(|entry| entry.order.id == *id) else {
            return false;
        };
        !std::mem::replace(&mut entry.is_in_force, true) && entry.is_stored
    }

    /// Marks an order as stored; returns whether that makes it complete, that is, in force and stored.
    pub fn mark_stored(&mut self, subject: &str, id: &OrderId) -> bool {
        let entry = self.entries.get_mut(subject).filter(|entry| entry.order.id == *id);
        entry.is_some_and(|entry| !std::mem::replace(&mut entry.is_stored, true) && entry.is_in_force)
    }

    /// The digest of all orders.
    pub fn digest(&self) -> u64 {
        self.entries.values().fold(0, |sum, entry| sum.wrapping_add(entry.digest))
    }

    /// The digest of the orders that are in force and stored.
    pub fn complete_digest(&self) -> u64 {
        let complete = self.entries.values().filter(|entry| entry.is_in_force && entry.is_stored);
        complete.fold(0, |sum, entry| sum.wrapping_add(entry.digest))
    }
}
