//! Few records that must all be there again.

use crate::disk::Disk;
use crate::format::{self, Head};
use crate::StoreError;

/// What was found on the disk, in the order it was written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Found {
    pub records: Vec<Vec<u8>>,
    /// The schema they were written by; `None` if there was nothing.
    pub schema: Option<u16>,
    /// Bytes of a last record that was not whole: it was never acknowledged, and is dropped.
    pub torn: usize,
    /// Records that are not what was written. The file is kept beside, under a name that ends in `.damaged`.
    pub damaged: usize,
}

/// An append-only file that is written anew when it has grown.
///
/// Its generations are files `NAME.N.log`; the highest is the one in force. A new one is written under another
/// name, synced and renamed, so that at every instant one whole generation is there.
pub struct Journal<D> {
    disk: D,
    name: String,
    schema: u16,
    generation: u64,
    /// Bytes that were acknowledged.
    length: u64,
    /// Past `length` there may be bytes of an append that failed.
    untidy: bool,
    broken: bool,
    records: u64,
}

impl<D: Disk> Journal<D> {
    /// Opens what is there; what is older than `schema` is for the caller to bring up to date, and to
    /// [`rewrite`](Journal::rewrite).
    ///
    /// # Errors
    /// When the disk can't be read, or what is on it was written by a later version. A journal that can be
    /// read but not written opens: its appends fail.
    pub fn open(disk: D, name: &str, schema: u16) -> Result<(Journal<D>, Found), StoreError> {
        let mut journal = Journal {
            disk,
            name: name.to_owned(),
            schema,
            generation: 0,
            length: 0,
            untidy: false,
            // Until the first generation is written there is none to append to.
            broken: true,
            records: 0,
        };
        let names = journal.disk.list().map_err(|e| StoreError::io("listing the folder", e))?;
        let mut generations: Vec<u64> = names.iter().filter_map(|n| journal.generation_of(n)).collect();
        generations.sort_unstable();
        let mut found = Found::default();
        while let Some(generation) = generations.pop() {
            let file = journal.file(generation);
            let bytes = journal.disk.read(&file).map_err(|e| StoreError::io(format!("reading {file}"), e))?;
            journal.generation = journal.generation.max(generation);
            let Head::Schema(found_schema) = format::parse_head(&file, &bytes, schema)? else {
                // A generation is renamed only when it is whole: this one was harmed since.
                found.damaged += 1;
                journal.put_aside(&file);
                continue;
            };
            let scan = format::scan(&bytes, |body| found.records.push(body.to_vec()));
            found.schema = Some(found_schema);
            found.torn = scan.torn;
            found.damaged += scan.damaged;
            journal.length = scan.sound as u64;
            journal.untidy = scan.torn > 0;
            journal.broken = found_schema != schema || found.damaged > 0 || generation != journal.generation;
            journal.records = found.records.len() as u64;
            if scan.damaged > 0 {
                journal.put_aside(&file);
            }
            break;
        }
        let leftovers: Vec<&String> = names.iter().filter(|n| journal.is_leftover(n)).collect();
        for old in leftovers {
            // It costs room and nothing else.
            let _ = journal.disk.remove(old);
        }
        Ok((journal, found))
    }

    fn file(&self, generation: u64) -> String {
        format!("{}.{generation}.log", self.name)
    }

    fn generation_of(&self, file: &str) -> Option<u64> {
        file.strip_prefix(&self.name)?.strip_prefix('.')?.strip_suffix(".log")?.parse().ok()
    }

    fn is_leftover(&self, file: &str) -> bool {
        let older = self.generation_of(file).is_some_and(|g| g < self.generation && !self.broken);
        older || file == format!("{}.new", self.name)
    }

    /// Keeps a harmed file for whoever wants to look at it; its records are written anew.
    fn put_aside(&mut self, file: &str) {
        self.broken = true;
        // Where that fails the file stays what it is, and is passed over at the next start as now.
        let _ = self.disk.rename(file, &format!("{file}.damaged"));
    }

    /// Records since the generation began.
    pub fn records(&self) -> u64 {
        self.records
    }

    pub fn bytes(&self) -> u64 {
        self.length
    }

    /// All has to be written anew before anything can be appended.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    pub fn disk(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Keeps records, all or none. They are there again after any crash once this has returned.
    ///
    /// # Errors
    /// When they are not kept. After a failed sync nobody knows what is on the disk: the journal is
    /// [broken](StoreError::Broken) then until all is written anew.
    pub fn append<B: AsRef<[u8]>>(&mut self, records: &[B]) -> Result<(), StoreError> {
        let file = self.file(self.generation);
        if self.broken {
            return Err(StoreError::Broken { file });
        }
        let mut bytes = Vec::new();
        for record in records {
            format::put_record(record.as_ref(), &mut bytes)?;
        }
        let writing = |e| StoreError::io(format!("writing {file}"), e);
        if self.untidy {
            self.disk.truncate(&file, self.length).map_err(writing)?;
            self.untidy = false;
        }
        if let Err(error) = self.disk.append(&file, &bytes) {
            // Part of it may be there, and must not stand before what comes next.
            self.untidy = self.disk.truncate(&file, self.length).is_err();
            return Err(writing(error));
        }
        if let Err(error) = self.disk.sync(&file) {
            self.broken = true;
            return Err(StoreError::io(format!("syncing {file}"), error));
        }
        self.length += bytes.len() as u64;
        self.records += records.len() as u64;
        Ok(())
    }

    /// Begins a new generation with these records alone.
    ///
    /// # Errors
    /// When it can't be written; the old one stays in force. Where its rename has failed nobody knows which of the two the
    /// next start finds: the journal is [broken](StoreError::Broken) then until all is written anew.
    pub fn rewrite<B: AsRef<[u8]>>(
        &mut self,
        records: impl IntoIterator<Item = B>,
    ) -> Result<(), StoreError> {
        let mut bytes = format::head(self.schema).to_vec();
        let mut count = 0;
        for record in records {
            format::put_record(record.as_ref(), &mut bytes)?;
            count += 1;
        }
        let new = format!("{}.new", self.name);
        let wrong = |e| StoreError::io(format!("writing {new}"), e);
        // What an earlier try has left would stand before it.
        if self.disk.list().map_err(wrong)?.contains(&new) {
            self.disk.remove(&new).map_err(wrong)?;
        }
        self.disk.append(&new, &bytes).map_err(wrong)?;
        self.disk.sync(&new).map_err(wrong)?;
        let (old, next) = (self.file(self.generation), self.generation + 1);
        let file = self.file(next);
        if let Err(error) = self.disk.rename(&new, &file) {
            self.broken = true;
            // It may have taken effect: the next one must stand above it.
            self.generation = next;
            return Err(wrong(error));
        }
        // If this fails the older one is only passed over at the next start.
        let _ = self.disk.remove(&old);
        self.generation = next;
        self.length = bytes.len() as u64;
        self.records = count;
        (self.untidy, self.broken) = (false, false);
        Ok(())
    }
}
