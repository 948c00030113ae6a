//! A list on its way from another router, page by page.

use crate::claims::Believed;
use crate::{digest, HeldList, Nanos, MOST_ENTRIES, MS};
use gaparch_protocol::list::ListEntry;
use gaparch_protocol::ops::to_bytes;
use gaparch_protocol::versions::{ListVersion, ReplicationMessage};
use std::collections::BTreeMap;

/// Without a page for so long another router is asked.
pub(crate) const PAGE_WITHIN: Nanos = 250 * MS;
/// Pages that are sent on one question.
const PAGES: usize = 8;
/// Bytes of entries in one page: what a datagram has room for beside the longest description of its sender.
const ROOM: usize = 720;

/// A list that is being fetched.
#[derive(Clone, Debug)]
pub(crate) struct Fetch {
    pub wanted: Believed,
    pub of: String,
    pub asked_at: Nanos,
    entries: BTreeMap<u32, ListEntry>,
    count: Option<u32>,
}

/// What a page made of it.
#[derive(Debug, PartialEq)]
pub(crate) enum Came {
    More(u32),
    Whole(HeldList),
    Harmed,
    Other,
}

impl Fetch {
    pub fn new(wanted: Believed, of: String, now: Nanos) -> Fetch {
        Fetch { wanted, of, asked_at: now, entries: BTreeMap::new(), count: None }
    }

    /// The first entry that is missing.
    pub fn missing(&self) -> u32 {
        (0..).find(|n| !self.entries.contains_key(n)).unwrap_or(0)
    }

    pub fn ask(&self) -> ReplicationMessage {
        ReplicationMessage::ListRequest { version: self.wanted.version, first: self.missing() }
    }

    /// From now on another router is asked; what came stays, for its digest is judged at the end.
    pub fn ask_another(&mut self, of: String, now: Nanos) {
        (self.of, self.asked_at) = (of, now);
    }

    pub fn page(
        &mut self,
        version: ListVersion,
        said: u64,
        from: u32,
        of: u32,
        entries: Vec<ListEntry>,
        now: Nanos,
    ) -> Came {
        if !version.is_same_list(&self.wanted.version) {
            return Came::Other;
        }
        if said != self.wanted.digest || of > MOST_ENTRIES || self.count.is_some_and(|count| count != of) {
            return Came::Harmed;
        }
        self.count = Some(of);
        self.asked_at = now;
        for (n, entry) in (from..of).zip(entries) {
            self.entries.entry(n).or_insert(entry);
        }
        if self.entries.len() < of as usize {
            return Came::More(self.missing());
        }
        let entries: Vec<ListEntry> = std::mem::take(&mut self.entries).into_values().collect();
        self.count = None;
        let sorted = entries.windows(2).all(|pair| pair[0].engine < pair[1].engine);
        if !sorted || digest(&entries) != self.wanted.digest {
            return Came::Harmed;
        }
        Came::Whole(HeldList { version: self.wanted.version, digest: self.wanted.digest, entries })
    }
}

/// The pages of a list from an entry on.
pub(crate) fn pages(list: &HeldList, from: u32) -> Vec<ReplicationMessage> {
    let of = u32::try_from(list.entries.len()).unwrap_or(u32::MAX);
    let mut pages = Vec::new();
    let mut at = from;
    while pages.len() < PAGES && (at < of || (of == 0 && pages.is_empty())) {
        let (mut room, mut entries) = (ROOM, Vec::new());
        for entry in list.entries.iter().skip(at as usize) {
            let length = to_bytes(entry).len();
            if length > room {
                break;
            }
            room -= length;
            entries.push(entry.clone());
        }
        let count = entries.len() as u32;
        pages.push(ReplicationMessage::ListPage {
            version: list.version,
            digest: list.digest,
            first: at,
            total: of,
            entries,
        });
        if count == 0 {
            // An entry that fits into no datagram can't be handed on, nor can what follows it.
            break;
        }
        at += count;
    }
    pages
}
