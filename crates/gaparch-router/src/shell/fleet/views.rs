//! Views of the fleet for operators, and how severe its events are.

use gaparch_audit as audit;
use gaparch_membership::{LinkFailure, MemberView, MembershipEvent, View};
use gaparch_protocol::ops::view::{
    AuditOf, AuditView, EdgeRow, FleetView, MemberRow, Severity, VersionRow, VersionsView,
};

/// Datagrams that were dropped before the membership saw them, counted from the start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DroppedDatagrams {
    /// Their authentication code is wrong.
    pub forged: u64,
    /// They are too long or can't be parsed.
    pub malformed: u64,
    /// They are of a version of the protocol that is not known here.
    pub newer: u64,
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
        hears_nobody: view.is_isolated,
        unheard: view.is_unanswered,
        doubt: view.local_health,
        members: view.members.into_iter().map(member_row).collect(),
        edges: view.failed_links.into_iter().map(edge_row).collect(),
        sent: view.counters.sent,
        sent_bytes: view.counters.sent_bytes,
        received: view.counters.received,
        forged: dropped.forged,
        malformed: dropped.malformed,
        newer: dropped.newer,
        replayed: view.counters.replayed,
        misdirected: view.counters.misdirected,
        throttled: view.counters.throttled,
    }
}

fn member_row(member: MemberView) -> MemberRow {
    MemberRow {
        name: member.info.name,
        zone: member.info.zone,
        build: member.info.build,
        address: member.info.address,
        incarnation: member.info.incarnation,
        state: member.state,
        since: member.state_since,
        alive_at: member.last_alive_at,
        heard_at: member.last_heard_at,
        accused_by: member.accused_by,
        twin_at: member.duplicate_address,
        hears_nobody: member.is_isolated,
    }
}

fn edge_row(link: LinkFailure) -> EdgeRow {
    EdgeRow { from: link.from, to: link.to, since: link.since }
}

/// The answers of all routers together: those that did not answer, or whose record has gaps, are unknown.
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
        rows.extend(answer.rows.into_iter().map(|row| AuditOf {
            router: answer.router.clone(),
            list: row.list,
            sure: row.confirmed,
            sends: row.counts,
        }));
    }
    AuditView { complete: unknown.is_empty(), unknown, rows }
}

/// Which router holds which version of the list.
pub(super) fn versions_view(view: audit::ListView) -> VersionsView {
    let row = |row: audit::PeerListStatus| VersionRow {
        router: row.router,
        held: row.held,
        digest: row.digest,
        sure: row.confirmed_ago,
        said_at: row.reported_at,
    };
    VersionsView {
        held: view.held,
        entries: view.entries,
        sure: view.confirmed_ago,
        believed: view.believed,
        corroborated: view.is_corroborated,
        behind_since: view.behind_since,
        brought_up: view.fetched,
        refused: view.rejected,
        rows: view.peers.into_iter().map(row).collect(),
    }
}

/// The severity of an event of list replication.
pub(super) fn replication_severity(what: &audit::ListEvent) -> Severity {
    match what {
        audit::ListEvent::Confirmed
        | audit::ListEvent::CaughtUp { .. }
        | audit::ListEvent::FetchedFromPeer { .. } => Severity::Info,
        audit::ListEvent::Unconfirmed { .. }
        | audit::ListEvent::Behind { .. }
        | audit::ListEvent::DigestMismatch { .. } => Severity::Warning,
        audit::ListEvent::SourceOutdated { .. }
        | audit::ListEvent::SourcesDiffer { .. }
        | audit::ListEvent::Outlier { .. } => Severity::Trouble,
    }
}

/// The severity of a membership event; `None`: for the log alone, since a suspicion that ends by itself is no news to an
/// operator.
pub(super) fn membership_severity(what: &MembershipEvent) -> Option<Severity> {
    Some(match what {
        MembershipEvent::Suspected { .. } | MembershipEvent::Refuted { .. } => return None,
        MembershipEvent::Died { .. }
        | MembershipEvent::DuplicateName { .. }
        | MembershipEvent::IncarnationRolledBack { .. }
        | MembershipEvent::Unanswered
        | MembershipEvent::Isolated
        | MembershipEvent::QuorumLost { .. } => Severity::Trouble,
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
