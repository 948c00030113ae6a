//! A durable journal for a small number of records, all of which survive a crash.

use crate::disk::Disk;
use crate::format::{self, FileHeader};
use crate::StoreError;

/// The content of a journal when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JournalContents {
    /// The bodies of the records, in the order they were written.
    pub records: Vec<Vec<u8>>,
    /// The schema of the records; `None` if there was no valid journal.
    pub schema: Option<u16>,
    /// Bytes after the last valid record. They are taken for the remains of a write that was never
    /// acknowledged, and are dropped.
    pub torn_bytes: usize,
    /// Number of damaged records and files. A damaged file is kept under a name that ends in `.damaged`.
    pub damaged: usize,
}

/// Whether records can be appended to the file of the current generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FileState {
    /// The file ends with its last acknowledged record.
    Clean,
    /// After the last acknowledged record there may be bytes of a failed append.
    TornTail,
    /// All records have to be written to a new file: there is none yet, its schema is older, or its content
    /// is unknown or damaged.
    NeedsRewrite,
}

/// An append-only file that can be compacted by rewriting it as a new generation.
///
/// The generations are files named `NAME.N.log`; the one with the highest number is current. A new generation
/// is written under another name, synced and renamed, so that a complete generation exists at all times.
pub struct Journal<D> {
    disk: D,
    name: String,
    schema: u16,
    generation: u64,
    /// Acknowledged bytes of the current file.
    length: u64,
    state: FileState,
    records: u64,
}

impl<D: Disk> Journal<D> {
    /// Opens a journal and reads its records. If they have an older schema than `schema`, the caller has to
    /// convert and [rewrite](Journal::rewrite) them.
    ///
    /// # Errors
    /// When the disk can't be read, or the journal was written by a later version. A read-only journal can be
    /// opened, but its appends fail.
    pub fn open(disk: D, name: &str, schema: u16) -> Result<(Journal<D>, JournalContents), StoreError> {
        let mut journal = Journal {
            disk,
            name: name.to_owned(),
            schema,
            generation: 0,
            length: 0,
            // There is no file to append to until the first generation is written.
            state: FileState::NeedsRewrite,
            records: 0,
        };
        let files = journal.disk.list().map_err(|e| StoreError::io("listing the directory", e))?;
        let contents = journal.read_newest_generation(&files)?;
        journal.remove_obsolete_files(&files);
        Ok((journal, contents))
    }

    /// Reads the newest generation with a valid header.
    fn read_newest_generation(&mut self, files: &[String]) -> Result<JournalContents, StoreError> {
        let mut generations: Vec<u64> =
            files.iter().filter_map(|file| self.generation_number(file)).collect();
        generations.sort_unstable();
        let mut contents = JournalContents::default();
        while let Some(generation) = generations.pop() {
            let file = self.generation_file(generation);
            let bytes = self.disk.read(&file).map_err(|e| StoreError::io(format!("reading {file}"), e))?;
            self.generation = self.generation.max(generation);
            match format::parse_file_header(&file, &bytes, self.schema)? {
                FileHeader::Damaged => {
                    // A generation is renamed to this name only when it is complete, so it was damaged
                    // afterwards.
                    contents.damaged += 1;
                    self.quarantine(&file);
                }
                FileHeader::Schema(schema) => {
                    contents.schema = Some(schema);
                    self.read_generation(generation, &bytes, &mut contents);
                    break;
                }
            }
        }
        Ok(contents)
    }

    fn read_generation(&mut self, generation: u64, bytes: &[u8], contents: &mut JournalContents) {
        let scan = format::scan(bytes, |body| contents.records.push(body.to_vec()));
        contents.torn_bytes = scan.torn_bytes;
        contents.damaged += scan.damaged_records;
        self.length = scan.valid_bytes as u64;
        self.records = contents.records.len() as u64;
        let is_current_schema = contents.schema == Some(self.schema);
        let is_newest = generation == self.generation;
        self.state = if !is_current_schema || contents.damaged > 0 || !is_newest {
            FileState::NeedsRewrite
        } else if scan.torn_bytes > 0 {
            FileState::TornTail
        } else {
            FileState::Clean
        };
        if scan.damaged_records > 0 {
            let file = self.generation_file(generation);
            self.quarantine(&file);
        }
    }

    fn remove_obsolete_files(&mut self, files: &[String]) {
        for file in files {
            if self.is_obsolete(file) {
                // If the removal fails, the file only takes up disk space.
                let _ = self.disk.remove(file);
            }
        }
    }

    fn generation_file(&self, generation: u64) -> String {
        format!("{}.{generation}.log", self.name)
    }

    /// The name of a new generation while it is being written.
    fn unfinished_file(&self) -> String {
        format!("{}.new", self.name)
    }

    fn generation_number(&self, file: &str) -> Option<u64> {
        file.strip_prefix(&self.name)?.strip_prefix('.')?.strip_suffix(".log")?.parse().ok()
    }

    fn is_obsolete(&self, file: &str) -> bool {
        let is_older = self.generation_number(file).is_some_and(|generation| generation < self.generation);
        (is_older && !self.needs_rewrite()) || file == self.unfinished_file()
    }

    /// Renames a damaged file, so that it is kept for examination.
    fn quarantine(&mut self, file: &str) {
        self.state = FileState::NeedsRewrite;
        // If the rename fails, the file keeps its name and is handled the same way at the next start.
        let _ = self.disk.rename(file, &format!("{file}.damaged"));
    }

    /// The number of records in the current generation.
    pub fn records(&self) -> u64 {
        self.records
    }

    /// The length of the current generation in bytes.
    pub fn bytes(&self) -> u64 {
        self.length
    }

    /// Whether all records have to be [rewritten](Journal::rewrite) before more can be appended.
    pub fn needs_rewrite(&self) -> bool {
        self.state == FileState::NeedsRewrite
    }

    /// The disk that holds the journal.
    pub fn disk(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Appends all of the records or none. Once this has returned without an error, they survive a crash.
    ///
    /// # Errors
    /// When the records could not be made durable. After a failed sync the content of the file is unknown,
    /// and the journal [needs a rewrite](StoreError::NeedsRewrite).
    pub fn append<B: AsRef<[u8]>>(&mut self, records: &[B]) -> Result<(), StoreError> {
        let file = self.generation_file(self.generation);
        if self.needs_rewrite() {
            return Err(StoreError::NeedsRewrite { file });
        }
        let mut bytes = Vec::new();
        for record in records {
            format::encode_record(record.as_ref(), &mut bytes)?;
        }
        self.append_bytes(&file, &bytes)?;
        if let Err(error) = self.disk.sync(&file) {
            self.state = FileState::NeedsRewrite;
            return Err(StoreError::io(format!("syncing {file}"), error));
        }
        self.length += bytes.len() as u64;
        self.records += records.len() as u64;
        Ok(())
    }

    fn append_bytes(&mut self, file: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let write_error = |error| StoreError::io(format!("writing {file}"), error);
        if self.state == FileState::TornTail {
            self.disk.truncate(file, self.length).map_err(write_error)?;
            self.state = FileState::Clean;
        }
        let Err(error) = self.disk.append(file, bytes) else { return Ok(()) };
        // Some of the bytes may have been written; they must be removed before the next record is appended.
        if self.disk.truncate(file, self.length).is_err() {
            self.state = FileState::TornTail;
        }
        Err(write_error(error))
    }

    /// Replaces the content of the journal by a new generation with these records.
    ///
    /// # Errors
    /// When the new generation can't be written; the old one stays current. If its rename has failed, it is
    /// unknown which of the two is found at the next start, and the journal [needs another
    /// rewrite](StoreError::NeedsRewrite).
    pub fn rewrite<B: AsRef<[u8]>>(
        &mut self,
        records: impl IntoIterator<Item = B>,
    ) -> Result<(), StoreError> {
        let mut bytes = format::encode_file_header(self.schema).to_vec();
        let mut count = 0;
        for record in records {
            format::encode_record(record.as_ref(), &mut bytes)?;
            count += 1;
        }
        let unfinished = self.unfinished_file();
        let write_error = |error| StoreError::io(format!("writing {unfinished}"), error);
        // An append would add to the remains of an earlier failed attempt.
        if self.disk.list().map_err(write_error)?.contains(&unfinished) {
            self.disk.remove(&unfinished).map_err(write_error)?;
        }
        self.disk.append(&unfinished, &bytes).map_err(write_error)?;
        self.disk.sync(&unfinished).map_err(write_error)?;
        let old_file = self.generation_file(self.generation);
        let new_generation = self.generation + 1;
        let renamed = self.disk.rename(&unfinished, &self.generation_file(new_generation));
        // A rename that reports an error may have taken effect, so the next generation needs a higher number.
        self.generation = new_generation;
        if let Err(error) = renamed {
            self.state = FileState::NeedsRewrite;
            return Err(write_error(error));
        }
        // If the removal fails, the older generation is ignored and removed at the next start.
        let _ = self.disk.remove(&old_file);
        self.length = bytes.len() as u64;
        self.records = count;
        self.state = FileState::Clean;
        Ok(())
    }
}
