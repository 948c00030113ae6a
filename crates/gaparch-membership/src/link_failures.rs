//! Links that failed in one direction, as reported by the members at their receiving ends.

use crate::view::LinkFailure;
use crate::{Nanos, SECOND};
use gaparch_protocol::fleet::Update;
use std::collections::BTreeMap;

/// The maximum size of the table; further failures are not recorded.
const MAX_LINKS: usize = 512;
/// The maximum number of failures that one member may report at a time.
const MAX_LINKS_PER_REPORTER: usize = 8;
/// How long a recovery is kept in the table, so that it is disseminated to all members.
const RECOVERED_LINK_RETENTION: Nanos = 60 * SECOND;

/// A link, ordered by its receiving end, which reports the state of the link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LinkKey {
    to: String,
    from: String,
}

/// When a report was made, by the reporter's own incarnation and heartbeat; the latest report wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReportedAt {
    pub incarnation: u64,
    pub heartbeat: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct LinkState {
    failed: bool,
    reported_at: ReportedAt,
    since: Nanos,
}

/// The table of links that are failed or have recently recovered.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkFailures {
    links: BTreeMap<LinkKey, LinkState>,
}

impl LinkFailures {
    /// Records a report; returns whether it changes the state of the link.
    pub fn record(
        &mut self,
        from: &str,
        to: &str,
        failed: bool,
        reported_at: ReportedAt,
        now: Nanos,
    ) -> bool {
        let key = LinkKey { to: to.to_owned(), from: from.to_owned() };
        // Links are assumed to work, so a working link needs no entry of its own.
        let is_recordable = failed && self.links.len() < MAX_LINKS && self.can_report(to);
        match self.links.get_mut(&key) {
            Some(link) if reported_at <= link.reported_at => false,
            Some(link) => {
                let changed = link.failed != failed;
                link.reported_at = reported_at;
                if changed {
                    link.failed = failed;
                    link.since = now;
                }
                changed
            }
            None if !is_recordable => false,
            None => {
                self.links.insert(key, LinkState { failed, reported_at, since: now });
                true
            }
        }
    }

    /// Whether the member has not yet reached its limit of reported failures.
    pub fn can_report(&self, reporter: &str) -> bool {
        let first = LinkKey { to: reporter.to_owned(), from: String::new() };
        let reported = self.links.range(first..).take_while(|(key, _)| key.to == reporter);
        reported.filter(|(_, link)| link.failed).count() < MAX_LINKS_PER_REPORTER
    }

    /// Removes links of members that are no longer present, and recoveries whose retention time is over.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool, now: Nanos) {
        let is_expired =
            |link: &LinkState| !link.failed && now >= link.since.saturating_add(RECOVERED_LINK_RETENTION);
        self.links.retain(|key, link| is_present(&key.to) && is_present(&key.from) && !is_expired(link));
    }

    /// The update that disseminates the state of a link.
    pub fn update(&self, from: &str, to: &str) -> Option<Update> {
        let link = self.links.get(&LinkKey { to: to.to_owned(), from: from.to_owned() })?;
        Some(Update::Link {
            from: from.to_owned(),
            to: to.to_owned(),
            failed: link.failed,
            incarnation: link.reported_at.incarnation,
            heartbeat: link.reported_at.heartbeat,
        })
    }

    /// All failed links.
    pub fn view(&self) -> Vec<LinkFailure> {
        let failed = self.links.iter().filter(|(_, link)| link.failed);
        failed
            .map(|(key, link)| LinkFailure { from: key.from.clone(), to: key.to.clone(), since: link.since })
            .collect()
    }
}
