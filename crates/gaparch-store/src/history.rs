//! Many records of which the oldest may go.

use crate::disk::Disk;
use crate::format::{self, Head, HEAD};
use crate::StoreError;

/// How much is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryLimits {
    /// Bytes of one file, by and large.
    pub segment: u64,
    /// Files; the oldest goes when there would be one more.
    pub segments: usize,
}

impl Default for HistoryLimits {
    fn default() -> Self {
        HistoryLimits { segment: 4 << 20, segments: 16 }
    }
}

/// Records in files `NAME.N.part`, bounded in bytes by segments times their size.
///
/// Records wait in memory until [`flush`](History::flush), at most 1 MiB of them; past that the newest is
/// dropped and counted.
pub struct History<D> {
    disk: D,
    name: String,
    schema: u16,
    limits: HistoryLimits,
    /// Numbers of the files, oldest first; the last one is written to.
    parts: Vec<u64>,
    length: u64,
    waiting: Vec<u8>,
    dropped: u64,
}

const MOST_WAITING: usize = 1 << 20;

impl<D: Disk> History<D> {
    /// Opens it and shows what is there, oldest first, with the schema it was written by.
    ///
    /// # Errors
    /// When the disk can't be read. Files of a later version are left alone and not shown.
    pub fn open(
        disk: D,
        name: &str,
        schema: u16,
        limits: HistoryLimits,
        mut take: impl FnMut(u16, &[u8]),
    ) -> Result<History<D>, StoreError> {
        let limits = HistoryLimits { segment: limits.segment.max(1024), segments: limits.segments.max(2) };
        let mut history = History {
            disk,
            name: name.to_owned(),
            schema,
            limits,
            parts: Vec::new(),
            length: 0,
            waiting: Vec::new(),
            dropped: 0,
        };
        let names = history.disk.list().map_err(|e| StoreError::io("listing the folder", e))?;
        history.parts = names.iter().filter_map(|n| history.part_of(n)).collect();
        history.parts.sort_unstable();
        for part in history.parts.clone() {
            let file = history.file(part);
            let bytes = history.disk.read(&file).map_err(|e| StoreError::io(format!("reading {file}"), e))?;
            // The rest can be read without it.
            if let Ok(Head::Schema(found)) = format::parse_head(&file, &bytes, schema) {
                format::scan(&bytes, |body| take(found, body));
            }
        }
        // What is written now goes to a new file: the last one may end in the middle of a record.
        history.length = history.limits.segment;
        Ok(history)
    }

    fn file(&self, part: u64) -> String {
        format!("{}.{part}.part", self.name)
    }

    fn part_of(&self, file: &str) -> Option<u64> {
        file.strip_prefix(&self.name)?.strip_prefix('.')?.strip_suffix(".part")?.parse().ok()
    }

    /// Records that were dropped since they could not be written in time.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Takes a record; it is on the disk after a [`flush`](History::flush).
    ///
    /// # Errors
    /// When the record is too long.
    pub fn push(&mut self, body: &[u8]) -> Result<(), StoreError> {
        if self.waiting.len() + body.len() > MOST_WAITING {
            self.dropped += 1;
            return Ok(());
        }
        format::put_record(body, &mut self.waiting)
    }

    /// Writes what waits, and syncs it.
    ///
    /// # Errors
    /// When it can't be written: it waits on, for the next try.
    pub fn flush(&mut self) -> Result<(), StoreError> {
        if self.waiting.is_empty() {
            return Ok(());
        }
        if self.length >= self.limits.segment || self.parts.is_empty() {
            self.begin()?;
        }
        let file = self.parts.last().map(|part| self.file(*part)).unwrap_or_default();
        let wrong = |e| StoreError::io(format!("writing {file}"), e);
        let written = self.disk.append(&file, &self.waiting).and_then(|()| self.disk.sync(&file));
        if let Err(error) = written {
            // Part of it may be there: the next try goes to a new file.
            self.length = self.limits.segment;
            return Err(wrong(error));
        }
        self.length += self.waiting.len() as u64;
        self.waiting.clear();
        Ok(())
    }

    fn begin(&mut self) -> Result<(), StoreError> {
        // Room first: a full disk is helped by what goes.
        while self.parts.len() >= self.limits.segments {
            let oldest = self.parts.remove(0);
            let _ = self.disk.remove(&self.file(oldest));
        }
        let part = self.parts.last().map_or(1, |last| last + 1);
        let file = self.file(part);
        // It counts from now on, written or not, so that what a failed try leaves goes in its turn.
        self.parts.push(part);
        let head = format::head(self.schema);
        self.disk.append(&file, &head).map_err(|e| StoreError::io(format!("writing {file}"), e))?;
        self.length = HEAD as u64;
        Ok(())
    }
}
