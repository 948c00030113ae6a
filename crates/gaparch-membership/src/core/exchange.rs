//! Asking another for all that it knows.

use super::*;
use std::ops::Bound;

/// Members that are looked at for one page; the shortest words of so many do not fit into a datagram.
const MOST_OF_A_PAGE: usize = MAX_DATAGRAM_BYTES / 16;

impl Membership {
    pub(super) fn exchange(&mut self, out: &mut Vec<Output>) {
        if self.now < self.exchange_at {
            return;
        }
        let alive = self.members.iter().filter(|(_, m)| m.state == MemberState::Alive);
        let Some(name) = alive.map(|(n, _)| n).choose(&mut self.rng).cloned() else { return };
        let after = self.exchange.take().map(|(_, after)| after).unwrap_or_default();
        self.ask_for(&name, after, out);
    }

    pub(super) fn ask_for(&mut self, name: &str, after: String, out: &mut Vec<Output>) {
        self.exchange = Some((name.to_owned(), after.clone()));
        self.exchange_at = self.now + EXCHANGE_AGAIN;
        self.say(name, MessageBody::SyncRequest { after }, &[], out);
    }

    pub(super) fn on_want(&mut self, from: &str, after: String, out: &mut Vec<Output>) {
        // More than fit into a page need not be looked at: of a thousand members that was most of the work.
        let later = (Bound::Excluded(after.as_str()), Bound::Unbounded);
        let names = self.members.range::<str, _>(later).map(|(name, _)| name).filter(|n| *n != from);
        let names: Vec<String> = names.take(MOST_OF_A_PAGE).cloned().collect();
        let topics: Vec<Topic> = names.iter().cloned().map(Topic::Member).collect();
        let Some(address) = self.address(from) else { return };
        // How many go into one datagram is known once it is made.
        let page = |next| MessageBody::SyncPage { after: after.clone(), next };
        let widest = page(names.iter().max_by_key(|n| n.len()).cloned());
        let (news, taken) = self.news(from, &widest, &topics, false);
        let next = taken.last().filter(|_| taken.len() < topics.len()).and_then(|topic| match topic {
            Topic::Member(name) => Some(name.clone()),
            Topic::Edge(..) => None,
        });
        self.post(address, from.to_owned(), page(next), news, out);
    }

    pub(super) fn on_page(&mut self, from: &str, after: &str, next: Option<String>, out: &mut Vec<Output>) {
        if self.exchange.as_ref().is_none_or(|(who, asked)| who != from || asked != after) {
            return;
        }
        self.exchange = None;
        match next {
            Some(next) if next.as_str() > after => self.ask_for(from, next, out),
            // Where much is new, passing it on piece by piece takes long.
            _ if self.queue.len() > MUCH_NEWS => self.exchange_at = self.now + EXCHANGE_SOON,
            _ => self.exchange_at = self.now + EXCHANGE_EVERY,
        }
    }
}
