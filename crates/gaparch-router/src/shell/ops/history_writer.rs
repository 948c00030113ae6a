//! The history writer: puts events and endings of requests on disk, as far as there is time and room. It owns
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

/// Batches that wait; past them the event broadcaster collects on.
pub(super) const INBOX: usize = 4;
/// Files of one history.
const SEGMENTS: usize = 16;
/// Version of the meaning of an event's record.
const EVENT_SCHEMA: u16 = 1;

/// Records to be stored.
#[derive(Debug, Default)]
pub(super) struct Batch {
    /// Encoded events.
    pub events: Vec<Vec<u8>>,
    /// Encoded endings and follow-ups.
    pub endings: Vec<Vec<u8>>,
    /// Notified once the batch is written, or can't be.
    pub written: Option<oneshot::Sender<()>>,
}

/// The histories on disk.
struct Histories {
    events: History<Box<dyn Disk>>,
    endings: History<Box<dyn Disk>>,
}

impl Histories {
    fn write(&mut self, batch: &Batch) -> Result<(), StorageFailure> {
        self.push_and_flush(batch).map_err(|error| StorageFailure::History {
            error: Arc::new(error),
            dropped: self.events.dropped_records() + self.endings.dropped_records(),
        })
    }

    fn push_and_flush(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let events = batch.events.iter().try_for_each(|record| self.events.push(record));
        let endings = batch.endings.iter().try_for_each(|record| self.endings.push(record));
        // One disk may be full and the other not.
        let flushed = self.events.flush();
        self.endings.flush()?;
        flushed.and(events.and(endings))
    }
}

/// The task that writes the histories.
pub(super) struct HistoryWriter {
    histories: Histories,
}

impl HistoryWriter {
    /// Reads what is stored: a quarter of the room is for events, the rest for endings.
    pub fn open(
        events: Box<dyn Disk>,
        endings: Box<dyn Disk>,
        bytes: u64,
        event_log: &mut EventLog,
        ledger: &mut OutcomeLog,
    ) -> Result<HistoryWriter, StoreError> {
        let limits =
            |bytes: u64| HistoryLimits { segment_bytes: bytes / SEGMENTS as u64, max_segments: SEGMENTS };
        let restore_event = |_, bytes: &[u8]| {
            if let Some(event) = from_bytes::<Event>(bytes) {
                event_log.push(event);
            }
        };
        let events = History::open(events, "events", EVENT_SCHEMA, limits(bytes / 4), restore_event)?;
        let restore_ending = |_, bytes: &[u8]| match from_bytes::<StoredOutcome>(bytes) {
            Some(StoredOutcome::Outcome { outcome }) => ledger.restore(*outcome),
            Some(StoredOutcome::FollowUp { request, follow_up }) => {
                ledger.restore_follow_up(ObservedFollowUp { request, follow_up });
            }
            None => {}
        };
        let endings =
            History::open(endings, "endings", OUTCOME_SCHEMA, limits(bytes / 4 * 3), restore_ending)?;
        Ok(HistoryWriter { histories: Histories { events, endings } })
    }

    /// Writes batches until nobody sends any more.
    pub async fn run(self, mut batches: mpsc::Receiver<Batch>, messages: mpsc::Sender<BroadcasterMessage>) {
        let mut reporter = StorageReporter::new("history", messages);
        let mut histories = self.histories;
        while let Some(mut batch) = batches.recv().await {
            let written = batch.written.take();
            let done = run_blocking(histories, move |histories| histories.write(&batch)).await;
            let Ok((back, result)) = done else { return };
            histories = back;
            // Whoever waits for it may have given up.
            if let Some(written) = written {
                let _ = written.send(());
            }
            if reporter.report(result.err().as_ref()).await.is_err() {
                return;
            }
        }
    }
}
