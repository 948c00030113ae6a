//! Queries to the audit records of all routers, and answers to the queries of other routers.

use super::audit_record;
use super::task::FleetTask;
use super::views::audit_view;
use gaparch_audit::{self as audit, AuditQuery};
use gaparch_membership::{MemberView, Output};
use gaparch_protocol::fleet::MemberState;
use gaparch_protocol::ops::to_bytes;
use gaparch_protocol::ops::view::AuditView;
use gaparch_protocol::versions::{AuditFilter, ReplicationMessage};
use tokio::sync::oneshot;

/// The most concurrent queries of operators; further ones are denied.
const MAX_PENDING_QUERIES: usize = 16;

/// A query to all routers whose answers are being collected.
pub(super) struct PendingQuery {
    pub query: AuditQuery,
    reply: oneshot::Sender<Option<AuditView>>,
}

impl FleetTask {
    /// Sends an operator's query to all routers that may be alive.
    pub(super) fn start_audit_query(
        &mut self,
        filter: AuditFilter,
        reply: oneshot::Sender<Option<AuditView>>,
        out: &mut Vec<Output>,
    ) {
        if self.list_replication.is_none() || self.audit_queries.len() >= MAX_PENDING_QUERIES {
            return drop(reply.send(None));
        }
        let may_be_alive = |member: &MemberView| member.state != MemberState::Left;
        let members = self.membership.view().members;
        let routers = members.into_iter().filter(may_be_alive).map(|member| member.info.name).collect();
        self.next_nonce += 1;
        let query = AuditQuery::new(self.next_nonce, filter, routers, self.clock.now());
        self.audit_queries.push(PendingQuery { query, reply });
        self.advance_audit_queries(out);
    }

    /// Sends due requests, and finishes the queries that are complete or have timed out.
    pub(super) fn advance_audit_queries(&mut self, out: &mut Vec<Output>) {
        let now = self.clock.now();
        let mut requests = Vec::new();
        for pending in &mut self.audit_queries {
            pending.query.on_timer(now, &mut requests);
        }
        self.send_all(now, requests, out);
        let queries = std::mem::take(&mut self.audit_queries);
        let (finished_queries, pending) = queries.into_iter().partition(|pending| pending.query.is_over(now));
        self.audit_queries = pending;
        for finished in finished_queries {
            let view = self.collected_view(finished.query);
            // Fails only if the session that asked has ended.
            let _ = finished.reply.send(Some(view));
        }
    }

    /// The answers of all routers, including this one.
    fn collected_view(&self, query: AuditQuery) -> AuditView {
        let filter = query.filter().clone();
        let mut answers = query.into_answers();
        let record = audit_record::lock(&self.audit_record);
        answers.push(audit::AuditAnswer {
            router: self.membership.local_info().name,
            rows: record.rows(&filter),
            gaps: Some(gap_count(&record)),
        });
        drop(record);
        audit_view(answers)
    }

    /// Answers another router's query, or processes its answer to a query of this router.
    pub(super) fn on_audit_message(
        &mut self,
        from: &str,
        message: &ReplicationMessage,
        out: &mut Vec<Output>,
    ) {
        let now = self.clock.now();
        if let ReplicationMessage::AuditRequest { nonce, filter, first } = message {
            let pages = {
                let record = audit_record::lock(&self.audit_record);
                audit::answer_pages(*nonce, now, gap_count(&record), &record.rows(filter), *first)
            };
            for page in pages {
                self.membership.send_payload(now, from, to_bytes(&page), out);
            }
        }
        if matches!(message, ReplicationMessage::AuditPage { .. }) {
            let mut requests = Vec::new();
            for pending in &mut self.audit_queries {
                pending.query.on_message(now, from, message, &mut requests);
            }
            self.send_all(now, requests, out);
            self.advance_audit_queries(out);
        }
    }

    fn send_all(&mut self, now: u64, messages: Vec<(String, ReplicationMessage)>, out: &mut Vec<Output>) {
        for (to, message) in messages {
            self.membership.send_payload(now, &to, to_bytes(&message), out);
        }
    }
}

fn gap_count(record: &audit::AuditLog) -> u32 {
    u32::try_from(record.gaps().len()).unwrap_or(u32::MAX)
}
