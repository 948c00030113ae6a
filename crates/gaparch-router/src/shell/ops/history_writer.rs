//! The history writer: writes events and request outcomes to disk, within bounds on space and memory. It owns
//! both histories.

use super::BroadcasterMessage;
use crate::shell::storage::{run_blocking, StorageFailure, StorageReporter};
use gaparch_ops::{EventLog, ObservedFollowUp, OutcomeLog, OUTCOME_SCHEMA};
use gaparch_protocol::ops::from_bytes;
use gaparch_protocol::ops::outcome::StoredOutcome;
use gaparch_protocol::ops::view::Event;
use gaparch_store::{Disk, History, HistoryLimits, StoreError};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the queue of batches; while it is full, the event broadcaster buffers records.
pub(super) const INBOX: usize = 4;
/// Segment files of one history.
const SEGMENTS: usize = 16;
/// Schema version of an event's record.
const EVENT_SCHEMA: u16 = 1;

/// Records to be stored.
#[derive(Debug, Default)]
pub(super) struct Batch {
    /// Encoded events.
    pub events: Vec<Vec<u8>>,
    /// Encoded request outcomes and follow-ups.
    pub outcomes: Vec<Vec<u8>>,
    /// Notified once the batch was written or the write failed.
    pub written: Option<oneshot::Sender<()>>,
}

/// The histories on disk.
struct Histories {
    events: History<Box<dyn Disk>>,
    outcomes: History<Box<dyn Disk>>,
}

impl Histories {
    fn write(&mut self, batch: &Batch) -> Result<(), StorageFailure> {
        self.push_and_flush(batch).map_err(|error| StorageFailure::History {
            error: Arc::new(error),
            dropped: self.events.dropped_records() + self.outcomes.dropped_records(),
        })
    }

    fn push_and_flush(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let events = batch.events.iter().try_for_each(|record| self.events.push(record));
        let outcomes = batch.outcomes.iter().try_for_each(|record| self.outcomes.push(record));
        // One disk may be full while the other is not, so both are flushed before an error is returned.
        let flushed = self.events.flush();
        self.outcomes.flush()?;
        flushed.and(events.and(outcomes))
    }
}

/// The task that writes the histories.
pub(super) struct HistoryWriter {
    histories: Histories,
}

impl HistoryWriter {
    /// Reads the stored histories. A quarter of `bytes` is for events, the rest for request outcomes.
    pub fn open(
        events: Box<dyn Disk>,
        outcomes: Box<dyn Disk>,
        bytes: u64,
        event_log: &mut EventLog,
        outcome_log: &mut OutcomeLog,
    ) -> Result<HistoryWriter, StoreError> {
        let limits =
            |bytes: u64| HistoryLimits { segment_bytes: bytes / SEGMENTS as u64, max_segments: SEGMENTS };
        let restore_event = |_, bytes: &[u8]| {
            if let Some(event) = from_bytes::<Event>(bytes) {
                event_log.push(event);
            }
        };
        let events = History::open(events, "events", EVENT_SCHEMA, limits(bytes / 4), restore_event)?;
        let restore_outcome = |_, bytes: &[u8]| match from_bytes::<StoredOutcome>(bytes) {
            Some(StoredOutcome::Outcome { outcome }) => outcome_log.restore(*outcome),
            Some(StoredOutcome::FollowUp { request, follow_up }) => {
                outcome_log.restore_follow_up(ObservedFollowUp { request, follow_up });
            }
            None => {}
        };
        let outcomes =
            History::open(outcomes, "endings", OUTCOME_SCHEMA, limits(bytes / 4 * 3), restore_outcome)?;
        Ok(HistoryWriter { histories: Histories { events, outcomes } })
    }

    /// Writes batches until the event broadcaster has ended.
    pub async fn run(self, mut batches: mpsc::Receiver<Batch>, messages: mpsc::Sender<BroadcasterMessage>) {
        let mut reporter = StorageReporter::new("history", messages);
        let mut histories = self.histories;
        while let Some(mut batch) = batches.recv().await {
            let written = batch.written.take();
            let done = run_blocking(histories, move |histories| histories.write(&batch)).await;
            let Ok((back, result)) = done else { return };
            histories = back;
            // Fails only if the receiver has stopped waiting.
            if let Some(written) = written {
                let _ = written.send(());
            }
            if reporter.report(result.err().as_ref()).await.is_err() {
                return;
            }
        }
    }
}
