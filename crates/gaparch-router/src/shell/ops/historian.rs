//! Puts what happened on disk, as far as there is time and room.

use super::News;
use gaparch_ops::EventLog;
use gaparch_ops::{ObservedFollowUp, OutcomeLog, OUTCOME_SCHEMA};
use gaparch_protocol::ops::from_bytes;
use gaparch_protocol::ops::outcome::StoredOutcome;
use gaparch_protocol::ops::view::Event;
use gaparch_store::{Disk, History, HistoryLimits, StoreError};
use tokio::sync::{mpsc, oneshot};

/// Batches that wait; past them the hub collects on.
pub(super) const INBOX: usize = 4;
/// Files of one kind.
const SEGMENTS: usize = 16;

/// Records to be kept.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub events: Vec<Vec<u8>>,
    pub endings: Vec<Vec<u8>>,
    /// Told once it is written, or can't be.
    pub written: Option<oneshot::Sender<()>>,
}

type Part = History<Box<dyn Disk>>;

pub(super) struct Historian {
    parts: Option<(Part, Part)>,
}

impl Historian {
    /// Reads what is kept: a quarter of the room is for events, the rest for endings.
    pub fn open(
        events: Box<dyn Disk>,
        endings: Box<dyn Disk>,
        bytes: u64,
        chronicle: &mut EventLog,
        ledger: &mut OutcomeLog,
    ) -> Result<Historian, StoreError> {
        let limits =
            |bytes: u64| HistoryLimits { segment_bytes: bytes / SEGMENTS as u64, max_segments: SEGMENTS };
        let take_event = |_, bytes: &[u8]| {
            from_bytes::<Event>(bytes).into_iter().for_each(|event| chronicle.push(event));
        };
        let events = History::open(events, "events", 1, limits(bytes / 4), take_event)?;
        let take_ending = |_, bytes: &[u8]| match from_bytes::<StoredOutcome>(bytes) {
            Some(StoredOutcome::Outcome { outcome }) => ledger.restore(*outcome),
            Some(StoredOutcome::FollowUp { request, follow_up }) => {
                ledger.restore_follow_up(ObservedFollowUp { request, follow_up });
            }
            None => {}
        };
        let endings = History::open(endings, "endings", OUTCOME_SCHEMA, limits(bytes / 4 * 3), take_ending)?;
        Ok(Historian { parts: Some((events, endings)) })
    }

    pub async fn run(mut self, mut batches: mpsc::Receiver<Batch>, news: mpsc::Sender<News>) {
        let mut told = None;
        while let Some(mut batch) = batches.recv().await {
            let written = batch.written.take();
            let Some((mut events, mut endings)) = self.parts.take() else { return };
            // A disk may take seconds.
            let work = tokio::task::spawn_blocking(move || {
                let result = write(&mut events, &mut endings, &batch);
                (events, endings, result)
            });
            let Ok((events, endings, result)) = work.await else { return };
            // Who waits for it has waited long enough otherwise.
            if let Some(written) = written {
                let _ = written.send(());
            }
            let dropped = events.dropped_records() + endings.dropped_records();
            self.parts = Some((events, endings));
            let trouble = result.err().map(|e| format!("{e}; {dropped} records were left out so far"));
            if told.as_ref() != Some(&trouble) {
                if news.send(News::NotKept("history", trouble.clone())).await.is_err() {
                    return;
                }
                told = Some(trouble);
            }
        }
    }
}

fn write(events: &mut Part, endings: &mut Part, batch: &Batch) -> Result<(), StoreError> {
    let pushed = batch.events.iter().try_for_each(|record| events.push(record));
    let pushed = pushed.and(batch.endings.iter().try_for_each(|record| endings.push(record)));
    // One disk may be full and the other not.
    let flushed = events.flush();
    endings.flush()?;
    flushed.and(pushed)
}
