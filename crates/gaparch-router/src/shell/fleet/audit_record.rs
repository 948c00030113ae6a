//! The audit record: what was sent to engines under which version of the endpoint list. It is written by a
//! task of its own, for which sends never wait.

use super::incarnation_store::highest_number;
use crate::shell::storage::{run_blocking, StorageFailure, StorageReporter};
use gaparch_audit::{AuditLog, ChainVerifier, SendBatch};
use gaparch_net::Clock;
use gaparch_protocol::ops::{from_bytes, to_bytes};
use gaparch_protocol::versions::AuditSegment;
use gaparch_store::{Disk, History, HistoryLimits, Journal, StateDirectory, StoreError};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the queue of send batches; while it is full, the owner keeps counting.
pub(in crate::shell) const AUDIT_INBOX: usize = 64;
/// Interval at which an open segment is closed.
const CLOSE_INTERVAL: Duration = Duration::from_secs(5);
/// Schema version of both files. A history record is one segment; a mark is the number of the last segment
/// written.
const SCHEMA: u16 = 1;
const LIMITS: HistoryLimits = HistoryLimits { segment_bytes: 1 << 20, max_segments: 16 };
/// The most marks in their journal before it is rewritten.
const MAX_MARKS: u64 = 1024;

/// The audit record, shared with the tasks that query it.
pub(super) type SharedAuditRecord = Arc<Mutex<AuditLog>>;

pub(super) fn lock(record: &SharedAuditRecord) -> MutexGuard<'_, AuditLog> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A message of the owner.
pub(in crate::shell) enum AuditMessage {
    /// Sends under one version of the list.
    Sent(SendBatch),
    /// The router shuts down; the receiver is notified once everything is on disk.
    Finish(oneshot::Sender<()>),
}

/// The files of the record; `None` for a file that can't be read.
pub(super) struct AuditStore {
    history: Option<History<Box<dyn Disk>>>,
    mark: Option<Journal<Box<dyn Disk>>>,
}

impl AuditStore {
    /// Reads the stored record. A disk that can't be read does not prevent the router from starting; the
    /// record shows the gaps.
    pub fn open(disk: Box<dyn Disk>, mark: Box<dyn Disk>, run: u64) -> (AuditStore, AuditLog) {
        let mut segments: Vec<AuditSegment> = Vec::new();
        let history =
            History::open(disk, "audit", SCHEMA, LIMITS, |_, body| segments.extend(from_bytes(body))).ok();
        let (mark, last_written) = match Journal::open(mark, "audit-mark", SCHEMA) {
            Ok((journal, found)) => (Some(journal), highest_number(&found.records)),
            Err(_) => (None, 0),
        };
        (AuditStore { history, mark }, AuditLog::new(run, segments, last_written))
    }

    fn write(&mut self, segment: &AuditSegment) -> Result<(), StorageFailure> {
        let history = self.history.as_mut().ok_or(StorageFailure::Unreadable)?;
        history.push(&to_bytes(segment))?;
        history.flush()?;
        let mark = self.mark.as_mut().ok_or(StorageFailure::Unreadable)?;
        let number = segment.number.to_be_bytes();
        if mark.needs_rewrite() || mark.records() > MAX_MARKS {
            mark.rewrite([number])?;
        } else {
            mark.append(&[number])?;
        }
        Ok(())
    }
}

/// Verifies the record in the state folder of a router that is not running.
///
/// # Errors
/// If the folder can't be opened or is locked by a running router.
pub fn verify(folder: &Path) -> Result<ChainVerifier, StoreError> {
    let folder = StateDirectory::open(folder)?;
    let mut chain = ChainVerifier::default();
    History::open(folder.share(), "audit", SCHEMA, LIMITS, |_, body| {
        from_bytes(body).iter().for_each(|segment| chain.push(segment));
    })?;
    let (_, found) = Journal::open(folder, "audit-mark", SCHEMA)?;
    chain.expect_segment(highest_number(&found.records));
    Ok(chain)
}

/// The next action of the task.
#[derive(Default)]
struct Step {
    /// A completed segment to write.
    segment: Option<AuditSegment>,
    /// Set when the router shuts down; notified once the segment is written.
    finished: Option<oneshot::Sender<()>>,
}

impl Step {
    fn write(segment: Option<AuditSegment>) -> Step {
        Step { segment, finished: None }
    }
}

/// Records the owner's send counts and writes completed segments.
pub(super) async fn run(
    mut store: AuditStore,
    record: SharedAuditRecord,
    mut inbox: mpsc::Receiver<AuditMessage>,
    clock: Clock,
    mut reporter: StorageReporter,
) {
    let mut close_timer = tokio::time::interval(CLOSE_INTERVAL);
    close_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for gap in lock(&record).gaps() {
        tracing::warn!(%gap, "the audit record has a gap");
    }
    let mut step = Step::write(lock(&record).start(clock.now()));
    loop {
        if let Some(segment) = step.segment.take() {
            let Ok((back, result)) = run_blocking(store, move |store| store.write(&segment)).await else {
                return;
            };
            store = back;
            if reporter.report(result.err().as_ref()).await.is_err() {
                return;
            }
        }
        if let Some(finished) = step.finished.take() {
            let _ = finished.send(());
            return;
        }
        step = tokio::select! {
            message = inbox.recv() => match message {
                Some(AuditMessage::Sent(sent)) => Step::write(lock(&record).append(&sent)),
                Some(AuditMessage::Finish(finished)) => {
                    Step { segment: lock(&record).finish(clock.now()), finished: Some(finished) }
                }
                None => return,
            },
            _ = close_timer.tick() => Step::write(lock(&record).close_segment(false)),
        };
    }
}
