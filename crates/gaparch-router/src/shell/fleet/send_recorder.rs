//! Counts sends to engines on the hot path, and passes the counts to the audit record's task without waiting
//! for it.

use super::audit_record::AuditMessage;
use gaparch_audit::{Nanos, SendBatch, SendTally};
use gaparch_protocol::versions::SendContext;
use std::collections::VecDeque;
use tokio::sync::mpsc;

/// The most batches buffered here for the audit record's task; beyond this new counts are merged into the
/// last batch.
const MAX_PENDING_BATCHES: usize = 64;

/// Counts of sends that are not in the audit record yet.
pub(in crate::shell) struct SendRecorder {
    /// The sends since the last batch.
    pub tally: SendTally,
    pending: VecDeque<SendBatch>,
    audit: mpsc::Sender<AuditMessage>,
}

impl SendRecorder {
    pub(super) fn new(audit: mpsc::Sender<AuditMessage>) -> SendRecorder {
        SendRecorder { tally: SendTally::default(), pending: VecDeque::new(), audit }
    }

    /// Passes the counts to the audit record; `context` has the versions that were in use.
    pub(super) fn submit(&mut self, context: SendContext, now: Nanos, engine_name: impl Fn(u32) -> String) {
        if !self.tally.is_empty() {
            let sent = self.tally.take(context, now, engine_name);
            if self.pending.len() < MAX_PENDING_BATCHES {
                self.pending.push_back(sent);
            } else if let Some(last) = self.pending.back_mut() {
                merge(last, sent);
            }
        }
        self.send_pending();
    }

    fn send_pending(&mut self) {
        while let Some(sent) = self.pending.pop_front() {
            if let Err(error) = self.audit.try_send(AuditMessage::Sent(sent)) {
                if let mpsc::error::TrySendError::Full(AuditMessage::Sent(sent)) = error {
                    self.pending.push_front(sent);
                }
                return;
            }
        }
    }
}

/// Merges counts into a pending batch, which happens if the record's disk is blocked for long. One count per
/// engine is kept. If the contexts differ the context is cleared, as either one would be wrong for part of
/// the sends.
fn merge(last: &mut SendBatch, sent: SendBatch) {
    last.omitted_records += sent.omitted_records + sent.records.len() as u64;
    last.at = sent.at;
    if last.context != sent.context {
        last.context = SendContext::default();
    }
    for counts in sent.counts {
        match last.counts.iter_mut().find(|existing| existing.engine == counts.engine) {
            Some(existing) => {
                existing.prefills += counts.prefills;
                existing.decodes += counts.decodes;
                existing.probes += counts.probes;
                existing.last_at = counts.last_at;
            }
            None => last.counts.push(counts),
        }
    }
}
