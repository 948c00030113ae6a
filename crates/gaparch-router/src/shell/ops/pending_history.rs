//! Buffers records for the history writer in memory, up to a bound.

use super::history_writer::Batch;
use tokio::sync::{mpsc, oneshot};

/// The most bytes of buffered records; beyond this new records are dropped.
const MAX_PENDING_BYTES: usize = 1 << 20;

/// Records that were not passed to the history writer yet.
pub(super) struct PendingHistory {
    writer: mpsc::Sender<Batch>,
    batch: Batch,
    bytes: usize,
    dropped: u64,
}

impl PendingHistory {
    pub fn new(writer: mpsc::Sender<Batch>) -> PendingHistory {
        PendingHistory { writer, batch: Batch::default(), bytes: 0, dropped: 0 }
    }

    pub fn add_event(&mut self, record: Vec<u8>) {
        if self.reserve(record.len()) {
            self.batch.events.push(record);
        }
    }

    pub fn add_outcome(&mut self, record: Vec<u8>) {
        if self.reserve(record.len()) {
            self.batch.outcomes.push(record);
        }
    }

    /// Records dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Passes all pending records to the writer, if its queue has room. An empty batch is sent too, since it
    /// makes the writer retry records that it could not write.
    pub fn submit(&mut self) {
        if let Ok(permit) = self.writer.try_reserve() {
            permit.send(std::mem::take(&mut self.batch));
            self.bytes = 0;
        }
    }

    /// Like [`submit`](PendingHistory::submit), with a notification once the records are written.
    pub fn flush(&mut self, written: oneshot::Sender<()>) {
        self.batch.written = Some(written);
        self.submit();
    }

    fn reserve(&mut self, bytes: usize) -> bool {
        let fits = self.bytes + bytes <= MAX_PENDING_BYTES;
        if fits {
            self.bytes += bytes;
        } else {
            self.dropped += 1;
        }
        fits
    }
}
