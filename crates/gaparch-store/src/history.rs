//! A bounded history: many records, of which the oldest are removed.

use crate::disk::Disk;
use crate::format::{self, FileHeader, FILE_HEADER_BYTES};
use crate::StoreError;

/// How much a history stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryLimits {
    /// Bytes after which a file is followed by another; at least 1024. The last records may exceed it.
    pub segment_bytes: u64,
    /// The most files, at least 2; the oldest is removed when there would be one more.
    pub max_segments: usize,
}

impl Default for HistoryLimits {
    fn default() -> Self {
        HistoryLimits { segment_bytes: 4 << 20, max_segments: 16 }
    }
}

/// Records in files `NAME.N.part`, called segments, bounded in bytes by the number and size of these.
///
/// Records are buffered in memory until [`flush`](History::flush), at most 1 MiB of them; past that new ones are
/// dropped and counted.
pub struct History<D> {
    disk: D,
    name: String,
    schema: u16,
    limits: HistoryLimits,
    /// Numbers of the segments, oldest first; the last one is written to.
    segments: Vec<u64>,
    last_segment: LastSegment,
    buffer: Vec<u8>,
    dropped_records: u64,
}

const MAX_BUFFERED_BYTES: usize = 1 << 20;
const MIN_SEGMENT_BYTES: u64 = 1024;
const MIN_SEGMENTS: usize = 2;

/// The state of the last segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LastSegment {
    /// It is not written to any more, or there is none.
    Closed,
    /// It holds this many bytes, all of them synced.
    Synced(u64),
    /// After this many synced bytes there may be some of a write or a sync that failed.
    Uncertain(u64),
}

impl<D: Disk> History<D> {
    /// Opens a history and calls `on_record` with the schema and the body of each record, oldest first.
    ///
    /// # Errors
    /// When the disk can't be read. Segments of a later version are left alone and passed over.
    pub fn open(
        disk: D,
        name: &str,
        schema: u16,
        limits: HistoryLimits,
        mut on_record: impl FnMut(u16, &[u8]),
    ) -> Result<History<D>, StoreError> {
        let limits = HistoryLimits {
            segment_bytes: limits.segment_bytes.max(MIN_SEGMENT_BYTES),
            max_segments: limits.max_segments.max(MIN_SEGMENTS),
        };
        let mut history = History {
            disk,
            name: name.to_owned(),
            schema,
            limits,
            segments: Vec::new(),
            // New records go to a new segment: the last one may end in the middle of a record.
            last_segment: LastSegment::Closed,
            buffer: Vec::new(),
            dropped_records: 0,
        };
        let names = history.disk.list().map_err(|e| StoreError::io("listing the directory", e))?;
        history.segments = names.iter().filter_map(|name| history.segment_of(name)).collect();
        history.segments.sort_unstable();
        for segment in history.segments.clone() {
            let file = history.file(segment);
            let bytes = history.disk.read(&file).map_err(|e| StoreError::io(format!("reading {file}"), e))?;
            // The other segments can be read without a damaged one.
            if let Ok(FileHeader::Schema(found)) = format::parse_file_header(&file, &bytes, schema) {
                format::scan(&bytes, |body| on_record(found, body));
            }
        }
        Ok(history)
    }

    fn file(&self, segment: u64) -> String {
        format!("{}.{segment}.part", self.name)
    }

    fn segment_of(&self, file: &str) -> Option<u64> {
        file.strip_prefix(&self.name)?.strip_prefix('.')?.strip_suffix(".part")?.parse().ok()
    }

    /// The number of records that were dropped because the buffer was full.
    pub fn dropped_records(&self) -> u64 {
        self.dropped_records
    }

    /// Adds a record to the buffer; it is durable after a [`flush`](History::flush).
    ///
    /// # Errors
    /// When the record is too long.
    pub fn push(&mut self, body: &[u8]) -> Result<(), StoreError> {
        if self.buffer.len() + body.len() > MAX_BUFFERED_BYTES {
            self.dropped_records += 1;
            return Ok(());
        }
        format::put_record(body, &mut self.buffer)
    }

    /// Writes the buffered records, and syncs them.
    ///
    /// # Errors
    /// When they can't be made durable: they stay buffered for the next flush, and earlier records stay on the disk.
    pub fn flush(&mut self) -> Result<(), StoreError> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let length = self.prepare_last_segment()?;
        let file = self.last_segment_file();
        let written = self.disk.append(&file, &self.buffer).and_then(|()| self.disk.sync(&file));
        if let Err(error) = written {
            return Err(self.failed(length, &file, error));
        }
        self.last_segment = LastSegment::Synced(length + self.buffer.len() as u64);
        self.buffer.clear();
        Ok(())
    }

    /// Makes the last segment ready to be appended to. Returns its length.
    fn prepare_last_segment(&mut self) -> Result<u64, StoreError> {
        if let LastSegment::Uncertain(length) = self.last_segment {
            self.discard_uncertain(length)?;
        }
        match self.last_segment {
            LastSegment::Synced(length) if length < self.limits.segment_bytes => Ok(length),
            LastSegment::Synced(_) | LastSegment::Closed | LastSegment::Uncertain(_) => self.begin_segment(),
        }
    }

    /// Removes the bytes that a failed write or sync may have left, since their records are written again. The cut is
    /// synced, so that the last page of what stays is written again too.
    fn discard_uncertain(&mut self, length: u64) -> Result<(), StoreError> {
        let file = self.last_segment_file();
        let is_empty = length <= FILE_HEADER_BYTES as u64;
        let done = match is_empty {
            true => self.disk.remove(&file),
            false => self.disk.truncate(&file, length).and_then(|()| self.disk.sync(&file)),
        };
        match done {
            // A file that was never created needs no removal.
            Err(error) if !(is_empty && error.kind() == std::io::ErrorKind::NotFound) => {
                Err(self.failed(length, &file, error))
            }
            _ if is_empty => {
                self.segments.pop();
                self.last_segment = LastSegment::Closed;
                Ok(())
            }
            _ => {
                self.last_segment = LastSegment::Synced(length);
                Ok(())
            }
        }
    }

    /// Begins another segment. Returns its length.
    fn begin_segment(&mut self) -> Result<u64, StoreError> {
        while self.segments.len() >= self.limits.max_segments {
            let oldest = self.segments.remove(0);
            // If this fails the segment costs space and nothing else.
            let _ = self.disk.remove(&self.file(oldest));
        }
        let segment = self.segments.last().map_or(1, |last| last + 1);
        let file = self.file(segment);
        // It counts from now on, written or not, so that the leftover of a failed attempt is removed in its turn.
        self.segments.push(segment);
        let header = format::file_header(self.schema);
        if let Err(error) = self.disk.append(&file, &header) {
            return Err(self.failed(0, &file, error));
        }
        self.last_segment = LastSegment::Synced(FILE_HEADER_BYTES as u64);
        Ok(FILE_HEADER_BYTES as u64)
    }

    /// Remembers that a write or sync of the last segment has failed after this many synced bytes.
    fn failed(&mut self, length: u64, file: &str, error: std::io::Error) -> StoreError {
        self.last_segment = LastSegment::Uncertain(length);
        StoreError::io(format!("writing {file}"), error)
    }

    fn last_segment_file(&self) -> String {
        self.segments.last().map(|segment| self.file(*segment)).unwrap_or_default()
    }
}
