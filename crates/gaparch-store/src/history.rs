//! A history of records that is bounded in size: the oldest records are removed.

use crate::disk::Disk;
use crate::format::{self, FileHeader, FILE_HEADER_BYTES};
use crate::StoreError;

/// The bounds on the size of a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryLimits {
    /// Size in bytes at which a new segment is started; at least 1024. The records of the last flush may
    /// exceed it.
    pub segment_bytes: u64,
    /// Maximum number of segments, at least 2. The oldest segment is removed before one more is created.
    pub max_segments: usize,
}

impl Default for HistoryLimits {
    fn default() -> Self {
        HistoryLimits { segment_bytes: 4 << 20, max_segments: 16 }
    }
}

/// A log of records in segments, which are files named `NAME.N.part`.
///
/// The number and the size of the segments are bounded. Records are buffered in memory until
/// [`flush`](History::flush). The buffer holds at most 1 MiB; records that don't fit are dropped and counted.
pub struct History<D> {
    disk: D,
    name: String,
    schema: u16,
    limits: HistoryLimits,
    /// Numbers of the segments, oldest first; records are appended to the last one.
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
    /// There is no segment, or the last one is complete.
    Closed,
    /// All of its bytes, this many, are synced.
    Synced(u64),
    /// After this many synced bytes there may be bytes of a failed write or sync.
    Uncertain(u64),
}

impl<D: Disk> History<D> {
    /// Opens a history and calls `on_record` with the schema and the body of each record, oldest first.
    /// Segments that have a damaged header or were written by a later version are skipped and left unchanged.
    ///
    /// # Errors
    /// When the disk can't be read.
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
            // New records are written to a new segment, since the last one may end with an incomplete record.
            last_segment: LastSegment::Closed,
            buffer: Vec::new(),
            dropped_records: 0,
        };
        let names = history.disk.list().map_err(|e| StoreError::io("listing the directory", e))?;
        history.segments = names.iter().filter_map(|name| history.segment_number(name)).collect();
        history.segments.sort_unstable();
        for segment in history.segments.clone() {
            let file = history.segment_file(segment);
            let bytes = history.disk.read(&file).map_err(|e| StoreError::io(format!("reading {file}"), e))?;
            // A damaged segment doesn't prevent the others from being read.
            if let Ok(FileHeader::Schema(found)) = format::parse_file_header(&file, &bytes, schema) {
                format::scan(&bytes, |body| on_record(found, body));
            }
        }
        Ok(history)
    }

    fn segment_file(&self, segment: u64) -> String {
        format!("{}.{segment}.part", self.name)
    }

    fn segment_number(&self, file: &str) -> Option<u64> {
        file.strip_prefix(&self.name)?.strip_prefix('.')?.strip_suffix(".part")?.parse().ok()
    }

    /// The number of records dropped because the buffer was full.
    pub fn dropped_records(&self) -> u64 {
        self.dropped_records
    }

    /// Adds a record to the buffer; it becomes durable with the next successful [`flush`](History::flush).
    ///
    /// # Errors
    /// When the record exceeds the maximum length.
    pub fn push(&mut self, body: &[u8]) -> Result<(), StoreError> {
        if self.buffer.len() + body.len() > MAX_BUFFERED_BYTES {
            self.dropped_records += 1;
            return Ok(());
        }
        format::encode_record(body, &mut self.buffer)
    }

    /// Writes and syncs the buffered records.
    ///
    /// # Errors
    /// When the records can't be made durable. They stay buffered for the next flush; earlier records stay on
    /// disk.
    pub fn flush(&mut self) -> Result<(), StoreError> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let length = self.prepare_last_segment()?;
        let file = self.last_segment_file();
        let written = self.disk.append(&file, &self.buffer).and_then(|()| self.disk.sync(&file));
        if let Err(error) = written {
            return Err(self.mark_uncertain(length, &file, error));
        }
        self.last_segment = LastSegment::Synced(length + self.buffer.len() as u64);
        self.buffer.clear();
        Ok(())
    }

    /// Prepares the last segment for an append, or starts a new one. Returns its length.
    fn prepare_last_segment(&mut self) -> Result<u64, StoreError> {
        if let LastSegment::Uncertain(length) = self.last_segment {
            self.discard_uncertain(length)?;
        }
        match self.last_segment {
            LastSegment::Synced(length) if length < self.limits.segment_bytes => Ok(length),
            LastSegment::Synced(_) | LastSegment::Closed | LastSegment::Uncertain(_) => self.start_segment(),
        }
    }

    /// Removes the bytes that a failed write or sync may have left, since their records are written again.
    /// The truncation is synced, so that the last page of the remaining content is written to the disk again.
    fn discard_uncertain(&mut self, length: u64) -> Result<(), StoreError> {
        let file = self.last_segment_file();
        let is_empty = length <= FILE_HEADER_BYTES as u64;
        let done = match is_empty {
            true => self.disk.remove(&file),
            false => self.disk.truncate(&file, length).and_then(|()| self.disk.sync(&file)),
        };
        match done {
            // A file that was never created doesn't need to be removed.
            Err(error) if !(is_empty && error.kind() == std::io::ErrorKind::NotFound) => {
                Err(self.mark_uncertain(length, &file, error))
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

    /// Starts a new segment and removes the oldest ones past the limit. Returns its length.
    fn start_segment(&mut self) -> Result<u64, StoreError> {
        while self.segments.len() >= self.limits.max_segments {
            let oldest = self.segments.remove(0);
            // If the removal fails, the segment only takes up disk space.
            let _ = self.disk.remove(&self.segment_file(oldest));
        }
        let segment = self.segments.last().map_or(1, |last| last + 1);
        let file = self.segment_file(segment);
        // The segment is counted before it is written, so that the remains of a failed write are removed like
        // any other segment.
        self.segments.push(segment);
        let header = format::encode_file_header(self.schema);
        if let Err(error) = self.disk.append(&file, &header) {
            return Err(self.mark_uncertain(0, &file, error));
        }
        self.last_segment = LastSegment::Synced(FILE_HEADER_BYTES as u64);
        Ok(FILE_HEADER_BYTES as u64)
    }

    /// Records that a write or sync of the last segment has failed after `length` synced bytes. Returns the
    /// error.
    fn mark_uncertain(&mut self, length: u64, file: &str, error: std::io::Error) -> StoreError {
        self.last_segment = LastSegment::Uncertain(length);
        StoreError::io(format!("writing {file}"), error)
    }

    fn last_segment_file(&self) -> String {
        self.segments.last().map(|segment| self.segment_file(*segment)).unwrap_or_default()
    }
}
