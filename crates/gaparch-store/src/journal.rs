//! A durable journal: few records, all of which must be there after a crash.

use crate::disk::Disk;
use crate::format::{self, FileHeader};
use crate::StoreError;

/// What was found on the disk when a journal was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JournalContents {
    /// The bodies of the records, in the order in which they were written.
    pub records: Vec<Vec<u8>>,
    /// The schema by which they were written; `None` if there was no journal.
    pub schema: Option<u16>,
    /// Bytes of an incomplete last record. It was never acknowledged, and is dropped.
    pub torn_bytes: usize,
    /// Records and files that are not what was written. The file is kept under a name that ends in `.damaged`.
    pub damaged: usize,
}

/// Whether the file of the present generation can be appended to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FileState {
    /// The file ends with its last acknowledged record.
    Clean,
    /// After the last acknowledged record there may be bytes of an append that failed.
    TornTail,
    /// There is no file, or its content is unknown or damaged: all records have to be written to a new one.
    NeedsRewrite,
}

/// An append-only file that is replaced by a new generation when it has grown.
///
/// Its generations are files `NAME.N.log`; the highest number is the present one. A new generation is written under
/// another name, synced and renamed, so that at every instant there is one complete generation.
pub struct Journal<D> {
    disk: D,
    name: String,
    schema: u16,
    generation: u64,
    /// Bytes of the present file that were acknowledged.
    length: u64,
    state: FileState,
    records: u64,
}

impl<D: Disk> Journal<D> {
    /// Opens a journal and reads what is there. If it is older than `schema`, the caller converts the records and
    /// [rewrites](Journal::rewrite) them.
    ///
    /// # Errors
    /// When the disk can't be read, or a later version wrote the journal. A journal that can be read but not written
    /// opens: its appends fail.
    pub fn open(disk: D, name: &str, schema: u16) -> Result<(Journal<D>, JournalContents), StoreError> {
        let mut journal = Journal {
            disk,
            name: name.to_owned(),
            schema,
            generation: 0,
            length: 0,
            // Until the first generation is written there is no file to append to.
            state: FileState::NeedsRewrite,
            records: 0,
        };
        let files = journal.disk.list().map_err(|e| StoreError::io("listing the directory", e))?;
        let contents = journal.read_newest_generation(&files)?;
        journal.remove_leftovers(&files);
        Ok((journal, contents))
    }

    /// Reads the newest generation whose header is valid.
    fn read_newest_generation(&mut self, files: &[String]) -> Result<JournalContents, StoreError> {
        let mut generations: Vec<u64> = files.iter().filter_map(|file| self.generation_of(file)).collect();
        generations.sort_unstable();
        let mut contents = JournalContents::default();
        while let Some(generation) = generations.pop() {
            let file = self.file(generation);
            let bytes = self.disk.read(&file).map_err(|e| StoreError::io(format!("reading {file}"), e))?;
            self.generation = self.generation.max(generation);
            match format::parse_file_header(&file, &bytes, self.schema)? {
                FileHeader::Damaged => {
                    // A generation gets its name only when it is complete: this one was damaged since.
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
        let is_present_schema = contents.schema == Some(self.schema);
        let is_newest = generation == self.generation;
        self.state = if !is_present_schema || contents.damaged > 0 || !is_newest {
            FileState::NeedsRewrite
        } else if scan.torn_bytes > 0 {
            FileState::TornTail
        } else {
            FileState::Clean
        };
        if scan.damaged_records > 0 {
            let file = self.file(generation);
            self.quarantine(&file);
        }
    }

    fn remove_leftovers(&mut self, files: &[String]) {
        for file in files {
            if self.is_leftover(file) {
                // A leftover costs space and nothing else.
                let _ = self.disk.remove(file);
            }
        }
    }

    fn file(&self, generation: u64) -> String {
        format!("{}.{generation}.log", self.name)
    }

    /// The name of a generation while it is being written.
    fn unfinished_file(&self) -> String {
        format!("{}.new", self.name)
    }

    fn generation_of(&self, file: &str) -> Option<u64> {
        file.strip_prefix(&self.name)?.strip_prefix('.')?.strip_suffix(".log")?.parse().ok()
    }

    fn is_leftover(&self, file: &str) -> bool {
        let is_older = self.generation_of(file).is_some_and(|generation| generation < self.generation);
        (is_older && !self.needs_rewrite()) || file == self.unfinished_file()
    }

    /// Keeps a damaged file under another name for whoever wants to examine it.
    fn quarantine(&mut self, file: &str) {
        self.state = FileState::NeedsRewrite;
        // If this fails the file keeps its name, and the next start passes over it as this one does.
        let _ = self.disk.rename(file, &format!("{file}.damaged"));
    }

    /// The number of records in the present generation.
    pub fn records(&self) -> u64 {
        self.records
    }

    /// The length of the present generation in bytes.
    pub fn bytes(&self) -> u64 {
        self.length
    }

    /// Whether all records have to be [written anew](Journal::rewrite) before one can be appended.
    pub fn needs_rewrite(&self) -> bool {
        self.state == FileState::NeedsRewrite
    }

    /// The disk on which the journal stands.
    pub fn disk(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Appends all of the records or none. Once this has returned they are there after any crash.
    ///
    /// # Errors
    /// When they could not be made durable. After a failed sync the content of the file is unknown: the journal
    /// [needs a rewrite](StoreError::NeedsRewrite) then.
    pub fn append<B: AsRef<[u8]>>(&mut self, records: &[B]) -> Result<(), StoreError> {
        let file = self.file(self.generation);
        if self.needs_rewrite() {
            return Err(StoreError::NeedsRewrite { file });
        }
        let mut bytes = Vec::new();
        for record in records {
            format::put_record(record.as_ref(), &mut bytes)?;
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
        // Part of it may be there, and must not stand before the next record.
        if self.disk.truncate(file, self.length).is_err() {
            self.state = FileState::TornTail;
        }
        Err(write_error(error))
    }

    /// Begins a new generation with these records alone.
    ///
    /// # Errors
    /// When it can't be written; the old one stays the present one. Where its rename has failed it is unknown which of
    /// the two the next start finds: the journal [needs another rewrite](StoreError::NeedsRewrite) then.
    pub fn rewrite<B: AsRef<[u8]>>(
        &mut self,
        records: impl IntoIterator<Item = B>,
    ) -> Result<(), StoreError> {
        let mut bytes = format::file_header(self.schema).to_vec();
        let mut count = 0;
        for record in records {
            format::put_record(record.as_ref(), &mut bytes)?;
            count += 1;
        }
        let unfinished = self.unfinished_file();
        let write_error = |error| StoreError::io(format!("writing {unfinished}"), error);
        // The append would add to what an earlier attempt has left.
        if self.disk.list().map_err(write_error)?.contains(&unfinished) {
            self.disk.remove(&unfinished).map_err(write_error)?;
        }
        self.disk.append(&unfinished, &bytes).map_err(write_error)?;
        self.disk.sync(&unfinished).map_err(write_error)?;
        let old_file = self.file(self.generation);
        let new_generation = self.generation + 1;
        let renamed = self.disk.rename(&unfinished, &self.file(new_generation));
        // A rename that failed may have taken effect: the next generation must have a higher number.
        self.generation = new_generation;
        if let Err(error) = renamed {
            self.state = FileState::NeedsRewrite;
            return Err(write_error(error));
        }
        // If this fails the next start passes over the older generation.
        let _ = self.disk.remove(&old_file);
        self.length = bytes.len() as u64;
        self.records = count;
        self.state = FileState::Clean;
        Ok(())
    }
}
