//! Full synchronization: requests the state of all members from another member, page by page.

use super::Membership;
use crate::dissemination::Topic;
use crate::output::Output;
use crate::{Nanos, MILLISECOND, SECOND};
use gaparch_protocol::fleet::{MemberState, MessageBody, MAX_DATAGRAM_BYTES};
use rand::seq::IteratorRandom;
use std::ops::Bound;

/// The time between two synchronizations.
const SYNC_INTERVAL: Nanos = 10 * SECOND;
/// The time between two synchronizations while many updates are queued.
const BUSY_SYNC_INTERVAL: Nanos = SECOND;
/// The number of queued topics above which synchronization is more frequent: piggybacking so many updates a
/// few at a time takes long.
const BUSY_QUEUE_LENGTH: usize = 16;
/// A page that has not arrived after this time is requested from another member.
const PAGE_TIMEOUT: Nanos = 500 * MILLISECOND;
/// The number of members considered for one page; even the shortest updates of that many do not fit into a
/// datagram.
const MAX_PAGE_CANDIDATES: usize = MAX_DATAGRAM_BYTES / 16;

/// A page that was requested.
#[derive(Debug)]
struct PendingPage {
    peer: String,
    after: String,
}

/// When and from where members are synchronized next.
#[derive(Debug)]
pub(super) struct SyncSchedule {
    next_at: Nanos,
    pending: Option<PendingPage>,
}

impl SyncSchedule {
    pub fn new(now: Nanos) -> SyncSchedule {
        SyncSchedule { next_at: now, pending: None }
    }

    /// Whether a requested page has not arrived yet.
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Takes the pending request for the page after `after`, if it was sent to this peer.
    fn take_pending(&mut self, peer: &str, after: &str) -> Option<PendingPage> {
        self.pending.take_if(|pending| pending.peer == peer && pending.after == after)
    }
}

impl Membership {
    /// Starts a synchronization, or continues one whose page was lost, with a random member that is alive.
    pub(super) fn start_sync_if_due(&mut self, out: &mut Vec<Output>) {
        if self.now < self.sync.next_at {
            return;
        }
        let alive = self.members.iter().filter(|(_, member)| member.state == MemberState::Alive);
        let Some(peer) = alive.map(|(name, _)| name).choose(&mut self.rng).cloned() else { return };
        let after = self.sync.pending.take().map(|pending| pending.after).unwrap_or_default();
        self.request_sync(&peer, after, out);
    }

    pub(super) fn request_sync(&mut self, peer: &str, after: String, out: &mut Vec<Output>) {
        self.sync.pending = Some(PendingPage { peer: peer.to_owned(), after: after.clone() });
        self.sync.next_at = self.now + PAGE_TIMEOUT;
        self.send_to_member(peer, MessageBody::SyncRequest { after }, &[], out);
    }

    pub(super) fn on_sync_request(&mut self, from: &str, after: String, out: &mut Vec<Output>) {
        let names = self.page_candidates(from, &after);
        let Some(address) = self.address(from) else { return };
        // Which name `next` holds is known only once the page is packed, so room is kept for the longest one.
        let longest = names.iter().max_by_key(|name| name.len()).cloned();
        let topics: Vec<Topic> = names.into_iter().map(Topic::Member).collect();
        let longest_body = MessageBody::SyncPage { after: after.clone(), next: longest };
        let packed = self.pack_page(from, &longest_body, &topics);
        let is_partial = packed.topics.len() < topics.len();
        let next = match packed.topics.last() {
            Some(Topic::Member(name)) if is_partial => Some(name.clone()),
            _ => None,
        };
        let body = MessageBody::SyncPage { after, next };
        self.send_with_updates(address, from.to_owned(), body, packed.updates, out);
    }

    /// The members whose names follow `after`, except the requester. No more are considered than may fit into
    /// a page: with a thousand members, looking at all of them was most of the work.
    fn page_candidates(&self, requester: &str, after: &str) -> Vec<String> {
        let range = (Bound::Excluded(after), Bound::Unbounded);
        let following = self.members.range::<str, _>(range).map(|(name, _)| name);
        following.filter(|name| *name != requester).take(MAX_PAGE_CANDIDATES).cloned().collect()
    }

    pub(super) fn on_sync_page(
        &mut self,
        from: &str,
        after: &str,
        next: Option<String>,
        out: &mut Vec<Output>,
    ) {
        if self.sync.take_pending(from, after).is_none() {
            return;
        }
        match next {
            Some(next) if next.as_str() > after => self.request_sync(from, next, out),
            _ if self.queue.len() > BUSY_QUEUE_LENGTH => self.sync.next_at = self.now + BUSY_SYNC_INTERVAL,
            _ => self.sync.next_at = self.now + SYNC_INTERVAL,
        }
    }
}
