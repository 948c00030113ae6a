//! The transfer of a list from another router, page by page.

use super::claims::BelievedList;
use super::snapshot::{digest, ListSnapshot};
use crate::{Nanos, MAX_ENTRIES, MILLISECOND};
use gaparch_protocol::list::ListEntry;
use gaparch_protocol::ops::to_bytes;
use gaparch_protocol::versions::{ListVersion, ReplicationMessage};
use std::collections::BTreeMap;

/// The time without a new entry after which another router is asked.
pub(super) const PAGE_TIMEOUT: Nanos = 250 * MILLISECOND;
/// The greatest number of pages sent per request.
const MAX_PAGES: usize = 8;
/// The greatest number of bytes of entries in one page: what fits into a datagram next to the longest
/// description of its sender.
const PAGE_BYTES: usize = 720;

/// A page of a list, as it was received.
#[derive(Debug)]
pub(super) struct Page {
    pub version: ListVersion,
    pub digest: u64,
    pub first: u32,
    pub total: u32,
    pub entries: Vec<ListEntry>,
}

/// A list that is being fetched.
#[derive(Clone, Debug)]
pub(super) struct Fetch {
    pub requested: BelievedList,
    /// The router that was asked last.
    pub source: String,
    /// When it was asked, or later sent an entry that was missing.
    progress_at: Nanos,
    entries: BTreeMap<u32, ListEntry>,
    total: Option<u32>,
}

/// The effect of a page on a fetch.
#[derive(Debug, PartialEq)]
pub(super) enum FetchProgress {
    /// Entries are missing, from this index on.
    Incomplete { first_missing: u32 },
    /// The list is complete, and matches its digest.
    Complete(ListSnapshot),
    /// The page, or the complete list, contradicts the digest or the length that was stated for it.
    DigestMismatch,
    /// The page is of another list.
    Unrelated,
}

impl Fetch {
    pub fn new(requested: BelievedList, source: String, now: Nanos) -> Fetch {
        Fetch { requested, source, progress_at: now, entries: BTreeMap::new(), total: None }
    }

    /// When another router is asked if no new entry arrives before.
    pub fn times_out_at(&self) -> Nanos {
        self.progress_at + PAGE_TIMEOUT
    }

    /// The index of the first entry that is missing.
    fn first_missing(&self) -> u32 {
        (0..).find(|index| !self.entries.contains_key(index)).unwrap_or(0)
    }

    pub fn request(&self) -> ReplicationMessage {
        ReplicationMessage::ListRequest { version: self.requested.version, first: self.first_missing() }
    }

    /// Continues with another router. Received entries are kept, since the digest is checked at the end.
    pub fn switch_source(&mut self, source: String, now: Nanos) {
        self.source = source;
        self.progress_at = now;
    }

    pub fn on_page(&mut self, page: Page, now: Nanos) -> FetchProgress {
        if !page.version.is_same_list(&self.requested.version) {
            return FetchProgress::Unrelated;
        }
        let contradicts = self.total.is_some_and(|total| total != page.total);
        if page.digest != self.requested.digest || page.total > MAX_ENTRIES || contradicts {
            return FetchProgress::DigestMismatch;
        }
        self.total = Some(page.total);
        let known_entries = self.entries.len();
        for (index, entry) in (page.first..page.total).zip(page.entries) {
            self.entries.entry(index).or_insert(entry);
        }
        if self.entries.len() > known_entries {
            self.progress_at = now;
        }
        if self.entries.len() < page.total as usize {
            return FetchProgress::Incomplete { first_missing: self.first_missing() };
        }
        self.complete()
    }

    fn complete(&mut self) -> FetchProgress {
        let entries: Vec<ListEntry> = std::mem::take(&mut self.entries).into_values().collect();
        self.total = None;
        let is_sorted = entries.windows(2).all(|pair| pair[0].engine < pair[1].engine);
        if !is_sorted || digest(&entries) != self.requested.digest {
            return FetchProgress::DigestMismatch;
        }
        let requested = &self.requested;
        FetchProgress::Complete(ListSnapshot {
            version: requested.version,
            digest: requested.digest,
            entries,
        })
    }
}

/// The pages that answer one request for a list, from the entry at index `first` on.
pub(super) fn pages(list: &ListSnapshot, first: u32) -> Vec<ReplicationMessage> {
    let total = u32::try_from(list.entries.len()).unwrap_or(u32::MAX);
    let mut pages = Vec::new();
    let mut next = first;
    while pages.len() < MAX_PAGES && (next < total || (total == 0 && pages.is_empty())) {
        let entries = entries_of_page(list, next);
        let count = entries.len() as u32;
        let (version, digest) = (list.version, list.digest);
        pages.push(ReplicationMessage::ListPage { version, digest, first: next, total, entries });
        if count == 0 {
            // An entry that is larger than a page can't be sent, nor can the entries after it.
            break;
        }
        next += count;
    }
    pages
}

fn entries_of_page(list: &ListSnapshot, first: u32) -> Vec<ListEntry> {
    let mut room = PAGE_BYTES;
    let mut entries = Vec::new();
    for entry in list.entries.iter().skip(first as usize) {
        let length = to_bytes(entry).len();
        if length > room {
            break;
        }
        room -= length;
        entries.push(entry.clone());
    }
    entries
}
