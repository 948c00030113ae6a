//! Counts what is sent to engines, on the hot path, and hands the counts to the audit record's task without
//! waiting for it.

use super::audit_record::AuditMessage;
use gaparch_audit::{Nanos, SendBatch, SendTally};
use gaparch_protocol::versions::SendContext;
use std::collections::VecDeque;
use tokio::sync::mpsc;

/// Hand-overs that wait for the audit record's task. Past it new counts are merged into the last one.
const MAX_WAITING: usize = 64;

/// Counts of sends that the audit record does not have yet.
pub(in crate::shell) struct SendRecorder {
    /// What was sent since the last hand-over.
    pub tally: SendTally,
    waiting: VecDeque<SendBatch>,
    audit: mpsc::Sender<AuditMessage>,
}

impl SendRecorder {
    pub(super) fn new(audit: mpsc::Sender<AuditMessage>) -> SendRecorder {
        SendRecorder { tally: SendTally::default(), waiting: VecDeque::new(), audit }
    }

    /// Hands over what was sent; `context` is what the router acted by.
    pub(super) fn hand_over(
        &mut self,
        context: SendContext,
        now: Nanos,
        engine_name: impl Fn(u32) -> String,
    ) {
        if !self.tally.is_empty() {
            let sent = self.tally.take(context, now, engine_name);
            if self.waiting.len() < MAX_WAITING {
                self.waiting.push_back(sent);
            } else if let Some(last) = self.waiting.back_mut() {
                merge(last, sent);
            }
        }
        self.send_waiting();
    }

    fn send_waiting(&mut self) {
        while let Some(sent) = self.waiting.pop_front() {
            if let Err(error) = self.audit.try_send(AuditMessage::Sent(sent)) {
                if let mpsc::error::TrySendError::Full(AuditMessage::Sent(sent)) = error {
                    self.waiting.push_front(sent);
                }
                return;
            }
        }
    }
}

/// Adds counts to those that wait already: the record's disk has been stuck for long. One count an engine is
/// kept, and where the contexts differ no context, for a clean record of the wrong one would be false.
fn merge(last: &mut SendBatch, sent: SendBatch) {
    last.omitted_records += sent.omitted_records + sent.records.len() as u64;
    last.at = sent.at;
    if last.context != sent.context {
        last.context = SendContext::default();
    }
    for counts in sent.counts {
        match last.counts.iter_mut().find(|known| known.engine == counts.engine) {
            Some(known) => {
                known.prefills += counts.prefills;
                known.decodes += counts.decodes;
                known.probes += counts.probes;
                known.last_at = counts.last_at;
            }
            None => last.counts.push(counts),
        }
    }
}
