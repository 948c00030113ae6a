//! Which list is believed, how it compares with the one in use, and which events follow from that.

use super::{FollowerOutput, ListFollower, Outlier};
use crate::endpoint_list::claims::BelievedList;
use crate::endpoint_list::event::ListEvent;
use crate::{Nanos, MILLISECOND};
use gaparch_protocol::versions::ListVersion;

/// How long the service may take to send this router a list that others have received from it already.
const SERVICE_DELAY: Nanos = 400 * MILLISECOND;
/// The number of confirmation times after which a claim is forgotten.
const CLAIM_LIFETIME: u64 = 4;
/// The number of confirmation times after which the status of a router that is not present is forgotten.
const STATUS_LIFETIME: u64 = 20;
/// The number of confirmation times for which a router has to be an outlier before it is reported.
const OUTLIER_REPORT_DELAY: u64 = 2;

impl ListFollower {
    /// Determines which list is believed, compares it with the one in use, and starts a fetch if necessary.
    pub(super) fn evaluate(&mut self, out: &mut Vec<FollowerOutput>) {
        self.forget_old();
        self.check_confirmation(out);
        let since = self.now.saturating_sub(self.settings.confirm_within);
        self.update_believed(since, out);
        self.check_outliers(since, out);
        let is_later =
            |believed: &BelievedList| self.version().is_none_or(|own| believed.version.is_later_than(&own));
        match self.believed.filter(is_later) {
            Some(believed) => self.on_behind(believed, out),
            None => self.on_up_to_date(out),
        }
    }

    fn forget_old(&mut self) {
        let confirm_within = self.settings.confirm_within;
        self.claims.forget_before(self.now.saturating_sub(confirm_within * CLAIM_LIFETIME));
        let oldest = self.now.saturating_sub(confirm_within * STATUS_LIFETIME);
        let present = &self.present;
        self.peers.retain(|name, status| status.reported_at >= oldest || present.contains(name));
    }

    /// Reports that the service has confirmed no list for too long, or that it confirms again.
    fn check_confirmation(&mut self, out: &mut Vec<FollowerOutput>) {
        let silent_since = self.confirmed_at.unwrap_or(self.started_at);
        let is_unconfirmed = self.now > silent_since + self.settings.confirm_within;
        if is_unconfirmed == self.reported.unconfirmed {
            return;
        }
        if !is_unconfirmed && self.confirmed_at.is_none() {
            return;
        }
        self.reported.unconfirmed = is_unconfirmed;
        let silent_for = self.now - silent_since;
        out.push(FollowerOutput::Event(match is_unconfirmed {
            true => ListEvent::Unconfirmed { silent_for },
            false => ListEvent::Confirmed,
        }));
    }

    fn update_believed(&mut self, since: Nanos, out: &mut Vec<FollowerOutput>) {
        let believed = self.claims.believed(since, self.version());
        if let Some(believed) = believed.filter(|believed| believed.is_corroborated) {
            let is_new = self
                .believed
                .is_none_or(|before| before.version != believed.version || !before.is_corroborated);
            if is_new || self.ranks_lower_than(&believed.version) {
                out.push(FollowerOutput::Corroborated(believed.version));
            }
        }
        self.believed = believed;
    }

    /// Whether the list in use is of the same epoch, and that epoch has a lower rank here.
    fn ranks_lower_than(&self, version: &ListVersion) -> bool {
        self.version().is_some_and(|own| own.epoch == version.epoch && own.rank < version.rank)
    }

    fn on_up_to_date(&mut self, out: &mut Vec<FollowerOutput>) {
        self.fetch = None;
        let Some(since) = self.behind_since.take() else { return };
        if std::mem::take(&mut self.reported.behind) {
            let version = self.version().unwrap_or_default();
            let after = self.now - since;
            out.push(FollowerOutput::Event(ListEvent::CaughtUp { version, after }));
        }
    }

    /// Handles that the believed list is later than the one in use.
    fn on_behind(&mut self, believed: BelievedList, out: &mut Vec<FollowerOutput>) {
        let since = *self.behind_since.get_or_insert(self.now);
        let in_use = self.version().unwrap_or_default();
        let has_lasted = self.now >= since + self.settings.confirm_within;
        if self.is_confirmed() && in_use.epoch != believed.version.epoch {
            // Each service confirms its own list; only operators can decide which one is right.
            if has_lasted && !std::mem::replace(&mut self.reported.sources_differ, true) {
                let believed = believed.version;
                out.push(FollowerOutput::Event(ListEvent::SourcesDiffer { in_use, believed }));
            }
            return;
        }
        if self.is_confirmed() && (!self.is_service_delay_over(since) || !believed.is_corroborated) {
            // The service is expected to send the list to this router, too; if it does not, this router is
            // connected to a stale replica of it.
            return;
        }
        self.report_behind(in_use, believed.version, since, has_lasted, out);
        if self.fetch.is_none() {
            self.start_fetch(believed, out);
        }
    }

    fn is_service_delay_over(&self, since: Nanos) -> bool {
        self.now >= since + SERVICE_DELAY.min(self.settings.confirm_within / 2)
    }

    fn report_behind(
        &mut self,
        in_use: ListVersion,
        believed: ListVersion,
        since: Nanos,
        has_lasted: bool,
        out: &mut Vec<FollowerOutput>,
    ) {
        // The service has confirmed the older list to this router since other routers have the later one.
        let is_source_outdated = self.is_confirmed() && self.confirmed_at > Some(since);
        if !has_lasted && !is_source_outdated {
            return;
        }
        if std::mem::replace(&mut self.reported.behind, true) {
            return;
        }
        out.push(FollowerOutput::Event(match is_source_outdated {
            true => ListEvent::SourceOutdated { in_use, believed },
            false => ListEvent::Behind { in_use, believed, lag: self.now - since },
        }));
    }

    /// Reports routers that have long stated versions that no other router has.
    fn check_outliers(&mut self, since: Nanos, out: &mut Vec<FollowerOutput>) {
        let believed = match self.believed {
            Some(believed) if believed.is_corroborated => believed.version,
            _ if self.is_confirmed() => self.version().unwrap_or_default(),
            _ => return self.outliers.clear(),
        };
        let claims = self.claims.outliers(since, believed);
        self.outliers.retain(|router, _| claims.iter().any(|claim| claim.router == *router));
        let report_delay = self.settings.confirm_within * OUTLIER_REPORT_DELAY;
        for claim in claims {
            let first_seen = Outlier { since: self.now, is_reported: false };
            let outlier = self.outliers.entry(claim.router.clone()).or_insert(first_seen);
            if self.now < outlier.since + report_delay || outlier.is_reported {
                continue;
            }
            outlier.is_reported = true;
            self.rejected += 1;
            let (router, stated) = (claim.router, claim.stated);
            out.push(FollowerOutput::Event(ListEvent::Outlier { router, stated, believed }));
        }
    }
}
