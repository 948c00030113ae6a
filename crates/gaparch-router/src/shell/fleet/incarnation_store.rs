//! Stores this router's incarnation, which grows with each start.

use super::latest_value::{LatestValueStore, OptionalJournal};
use crate::shell::storage::StorageFailure;
use gaparch_store::Disk;

/// Schema version of a record, which is one number.
const SCHEMA: u16 = 1;
/// The most records before the journal is rewritten; only the highest number counts.
const MAX_SURPLUS_RECORDS: u64 = 256;

/// The journal of incarnations.
pub(super) struct IncarnationStore {
    journal: OptionalJournal,
}

impl IncarnationStore {
    /// Reads the stored incarnation; 0 if there is none.
    pub fn open(disk: Box<dyn Disk>) -> (IncarnationStore, u64) {
        let (journal, found) = OptionalJournal::open(disk, "incarnation", SCHEMA);
        (IncarnationStore { journal }, highest_number(&found.records))
    }
}

impl LatestValueStore for IncarnationStore {
    type Value = u64;

    fn write(&mut self, incarnation: &u64) -> Result<(), StorageFailure> {
        if *incarnation == 0 {
            return Ok(());
        }
        let record = incarnation.to_be_bytes();
        let journal = self.journal.get()?;
        if journal.needs_rewrite() || journal.records() > MAX_SURPLUS_RECORDS {
            journal.rewrite([record])?;
        } else {
            journal.append(&[record])?;
        }
        Ok(())
    }
}

/// The highest number of records that each hold a big-endian `u64`; 0 if there is none.
pub(super) fn highest_number(records: &[Vec<u8>]) -> u64 {
    let number = |record: &Vec<u8>| Some(u64::from_be_bytes(record.as_slice().try_into().ok()?));
    records.iter().filter_map(number).max().unwrap_or(0)
}
