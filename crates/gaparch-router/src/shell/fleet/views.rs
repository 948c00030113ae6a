//! Views of the fleet for operators, and the severity of its events.

use gaparch_audit as audit;
use gaparch_membership::{Connectivity, LinkFailure, MemberView, MembershipEvent, View};
use gaparch_protocol::ops::view::{
    self, AuditView, FleetView, LinkFault, ListVersionRow, ListVersionsView, RouterAuditRow, Severity,
};

/// Counts of datagrams that were dropped before they reached the membership.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DroppedDatagrams {
    /// The authentication tag is wrong.
    pub forged: u64,
    /// The datagram is too long or can't be parsed.
    pub malformed: u64,
    /// The version of the protocol is not supported.
    pub unsupported_version: u64,
}

/// The routers of the fleet, as this one sees them.
pub(super) fn fleet_view(view: View, dropped: DroppedDatagrams) -> FleetView {
    FleetView {
        router: view.local.name,
        incarnation: view.local.incarnation,
        majority: view.has_quorum,
        present: view.present,
        counted: view.counted,
        divisor: view.divisor,
        receives_nothing: view.connectivity == Connectivity::Isolated,
        is_unanswered: view.connectivity == Connectivity::Unanswered,
        timeout_extension: view.local_health,
        members: view.members.into_iter().map(member_view).collect(),
        link_faults: view.failed_links.into_iter().map(link_fault).collect(),
        sent: view.counters.sent,
        sent_bytes: view.counters.sent_bytes,
        received: view.counters.received,
        forged: dropped.forged,
        malformed: dropped.malformed,
        newer: dropped.unsupported_version,
        replayed: view.counters.replayed,
        misdirected: view.counters.misdirected,
        throttled: view.counters.throttled,
    }
}

fn member_view(member: MemberView) -> view::MemberView {
    view::MemberView {
        name: member.info.name,
        zone: member.info.zone,
        build: member.info.build,
        address: member.info.address,
        incarnation: member.info.incarnation,
        state: member.state,
        since: member.state_since,
        last_alive_at: member.last_alive_at,
        last_received_at: member.last_received_at,
        suspected_by: member.accused_by,
        duplicate_at: member.duplicate_address,
        receives_nothing: member.is_isolated,
    }
}

fn link_fault(link: LinkFailure) -> LinkFault {
    LinkFault { from: link.from, to: link.to, since: link.since }
}

/// Merges the answers of all routers. Those that did not answer, or whose record has gaps, are listed as
/// unknown.
pub(super) fn audit_view(mut answers: Vec<audit::AuditAnswer>) -> AuditView {
    answers.sort_by(|a, b| a.router.cmp(&b.router));
    let mut rows = Vec::new();
    let mut unknown = Vec::new();
    for answer in answers {
        match answer.gaps {
            None => unknown.push(format!("{} did not answer in time", answer.router)),
            Some(0) => {}
            Some(gaps) => unknown.push(format!("{} has {gaps} gaps in its record", answer.router)),
        }
        rows.extend(answer.rows.into_iter().map(|row| RouterAuditRow {
            router: answer.router.clone(),
            list: row.list,
            confirmed: row.confirmed,
            sends: row.counts,
        }));
    }
    AuditView { complete: unknown.is_empty(), unknown, rows }
}

/// The version of the endpoint list that each router holds.
pub(super) fn versions_view(view: audit::ListView) -> ListVersionsView {
    let row = |peer: audit::PeerListStatus| ListVersionRow {
        router: peer.router,
        version: peer.version,
        digest: peer.digest,
        confirmed_ago: peer.confirmed_ago,
        reported_at: peer.reported_at,
    };
    ListVersionsView {
        version: view.in_use,
        entries: view.entries,
        confirmed_ago: view.confirmed_ago,
        latest_known: view.believed,
        corroborated: view.is_corroborated,
        behind_since: view.behind_since,
        lists_from_peers: view.fetched,
        rejected_claims: view.rejected,
        rows: view.peers.into_iter().map(row).collect(),
    }
}

/// The severity of an event of list replication.
pub(super) fn replication_severity(event: &audit::ListEvent) -> Severity {
    match event {
        audit::ListEvent::Confirmed
        | audit::ListEvent::CaughtUp { .. }
        | audit::ListEvent::FetchedFromPeer { .. } => Severity::Info,
        audit::ListEvent::Unconfirmed { .. }
        | audit::ListEvent::Behind { .. }
        | audit::ListEvent::DigestMismatch { .. } => Severity::Warning,
        audit::ListEvent::SourceOutdated { .. }
        | audit::ListEvent::SourcesDiffer { .. }
        | audit::ListEvent::Outlier { .. } => Severity::Fault,
    }
}

/// The severity of a membership event. `None` for events that are only logged: a suspicion that is refuted is
/// of no interest to operators.
pub(super) fn membership_severity(event: &MembershipEvent) -> Option<Severity> {
    Some(match event {
        MembershipEvent::Suspected { .. } | MembershipEvent::Refuted { .. } => return None,
        MembershipEvent::Died { .. }
        | MembershipEvent::DuplicateName { .. }
        | MembershipEvent::IncarnationRolledBack { .. }
        | MembershipEvent::Unanswered
        | MembershipEvent::Isolated
        | MembershipEvent::QuorumLost { .. } => Severity::Fault,
        MembershipEvent::LinkFailed { .. }
        | MembershipEvent::Resumed { .. }
        | MembershipEvent::DeclaredDead { .. }
        | MembershipEvent::TooManyRouters { .. } => Severity::Warning,
        MembershipEvent::Joined { .. }
        | MembershipEvent::Restarted { .. }
        | MembershipEvent::Returned { .. }
        | MembershipEvent::Left { .. }
        | MembershipEvent::LinkRecovered { .. }
        | MembershipEvent::IsolationEnded
        | MembershipEvent::AnsweredAgain
        | MembershipEvent::QuorumGained { .. } => Severity::Info,
    })
}
