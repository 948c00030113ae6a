//! A whole endpoint list at one version, and its digest.

use crate::hash_part;
use gaparch_protocol::list::ListEntry;
use gaparch_protocol::ops::to_bytes;
use gaparch_protocol::versions::ListVersion;
use sha2::{Digest, Sha256};

/// A whole list at one version.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct ListSnapshot {
    /// The version of the list.
    pub version: ListVersion,
    /// The digest of its entries.
    pub digest: u64,
    /// The entries, in the order of their names.
    pub entries: Vec<ListEntry>,
}

/// The digest of a list: the wrapping sum of the first eight bytes of each entry's SHA-256. So it does not
/// depend on the order of entries, and a change of one entry costs one or two hashes. It detects defects, not
/// forgery: the site's key protects against that.
pub fn digest<'a>(entries: impl IntoIterator<Item = &'a ListEntry>) -> u64 {
    entries.into_iter().fold(0, |sum, entry| sum.wrapping_add(entry_digest(entry)))
}

/// The number that one entry adds to the digest of its list.
pub(super) fn entry_digest(entry: &ListEntry) -> u64 {
    hash_part(&Sha256::digest(to_bytes(entry)), 0)
}
