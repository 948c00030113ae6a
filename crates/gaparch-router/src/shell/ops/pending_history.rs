//! Records on their way to the history writer, collected in memory up to a bound.

use super::history_writer::Batch;
use tokio::sync::{mpsc, oneshot};

/// Bytes of records that wait for the history writer; past it the newest are dropped.
const MAX_PENDING_BYTES: usize = 1 << 20;

/// Records that the history writer has not taken yet.
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
            self.batch.endings.push(record);
        }
    }

    /// Records dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Hands all pending records to the writer, if its queue has room. An empty batch is handed over too: the
    /// writer retries then what it could not write.
    pub fn hand_over(&mut self) {
        if let Ok(permit) = self.writer.try_reserve() {
            permit.send(std::mem::take(&mut self.batch));
            self.bytes = 0;
        }
    }

    /// The same, with a notification once the records are written.
    pub fn flush(&mut self, written: oneshot::Sender<()>) {
        self.batch.written = Some(written);
        self.hand_over();
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
