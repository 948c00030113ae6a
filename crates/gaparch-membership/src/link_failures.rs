//! Links that fail in one direction, as the members at their receiving ends say.

use crate::view::LinkFailure;
use crate::{Nanos, SECOND};
use gaparch_protocol::fleet::Update;
use std::collections::BTreeMap;

/// The size of the table; further failures are not recorded.
const MAX_LINKS: usize = 512;
/// The number of failures that one member may report.
const MAX_LINKS_PER_REPORTER: usize = 8;
/// For how long a recovery is remembered, so that it reaches all members.
const KEEP_RECOVERED: Nanos = 60 * SECOND;

/// The receiving end of a link, which reports its state, and the sending end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LinkKey {
    to: String,
    from: String,
}

/// The instant of a report by the reporter's own count; the later report holds.
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

/// The table of links that fail, or have recovered of late.
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
        // A link that works is what all take it for.
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

    /// Whether a member may report one more failure.
    pub fn can_report(&self, reporter: &str) -> bool {
        let first = LinkKey { to: reporter.to_owned(), from: String::new() };
        let reported = self.links.range(first..).take_while(|(key, _)| key.to == reporter);
        reported.filter(|(_, link)| link.failed).count() < MAX_LINKS_PER_REPORTER
    }

    /// Forgets links of members that are no longer present, and recoveries that all members know of.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool, now: Nanos) {
        let is_over = |link: &LinkState| !link.failed && now >= link.since.saturating_add(KEEP_RECOVERED);
        self.links.retain(|key, link| is_present(&key.to) && is_present(&key.from) && !is_over(link));
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

    /// All links that fail.
    pub fn view(&self) -> Vec<LinkFailure> {
        let failed = self.links.iter().filter(|(_, link)| link.failed);
        failed
            .map(|(key, link)| LinkFailure { from: key.from.clone(), to: key.to.clone(), since: link.since })
            .collect()
    }
}
