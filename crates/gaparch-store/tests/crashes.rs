//! Acknowledged records survive a crash at any operation and disk faults of any kind; failed writes are
//! reported.

use gaparch_store::faulty::{Faults, FaultyDisk, Unsynced};
use gaparch_store::{History, HistoryLimits, Journal, StateDirectory, StoreError};
use proptest::prelude::*;

fn open(disk: &FaultyDisk) -> (Journal<FaultyDisk>, Vec<Vec<u8>>) {
    let (journal, contents) = Journal::open(disk.clone(), "intents", 1).expect("the journal opens");
    (journal, contents.records)
}

/// Opens a journal that records can be appended to.
fn writable_journal(disk: &FaultyDisk) -> Journal<FaultyDisk> {
    let (mut journal, _) = open(disk);
    if journal.needs_rewrite() {
        journal.rewrite::<Vec<u8>>([]).expect("the data is written");
    }
    journal
}

/// Opens the journal, appends ten records and rewrites the journal after every third, where the disk allows
/// it. Returns the records that were acknowledged, and the number of records that were there before or that
/// it tried to append.
fn append_and_rewrite(disk: &FaultyDisk) -> (Vec<Vec<u8>>, usize) {
    let (mut journal, mut acknowledged) = open(disk);
    let mut attempted = acknowledged.len();
    if journal.needs_rewrite() && journal.rewrite(&acknowledged).is_err() {
        return (acknowledged, attempted);
    }
    for n in 0..10u8 {
        attempted += 1;
        let record = vec![n; 5 + usize::from(n)];
        if journal.append(std::slice::from_ref(&record)).is_ok() {
            acknowledged.push(record);
        }
        if n % 3 == 2 {
            let _ = journal.rewrite(&acknowledged);
        }
    }
    (acknowledged, attempted)
}

#[test]
fn acknowledged_records_survive_a_crash_at_every_operation() {
    let faultless = FaultyDisk::default();
    append_and_rewrite(&faultless);
    let operations = faultless.operations();
    assert!(operations > 20);
    for crash_at in 0..operations {
        for unsynced in [Unsynced::Lost, Unsynced::Kept, Unsynced::Half] {
            let disk = FaultyDisk::default();
            disk.set_faults(Faults { crash_at: Some(crash_at), ..Faults::default() });
            let (acknowledged, attempted) = append_and_rewrite(&disk);
            assert!(disk.has_crashed());
            let disk = disk.after_crash(unsynced);
            let (_, found) = open(&disk);
            assert!(
                found.starts_with(&acknowledged),
                "crash at {crash_at}, {unsynced:?}: {acknowledged:?}, {found:?}"
            );
            assert!(found.len() <= attempted, "only records that were appended");
            // The recovered journal can be used as before.
            let (acknowledged, _) = append_and_rewrite(&disk);
            let (_, found) = open(&disk.after_crash(Unsynced::Lost));
            assert_eq!(found, acknowledged, "after a crash at {crash_at}, {unsynced:?}");
        }
    }
}

#[test]
fn a_journal_on_a_full_disk_keeps_its_records_and_accepts_more_once_there_is_space() {
    let disk = FaultyDisk::default();
    let mut journal = writable_journal(&disk);
    journal.append(&[b"one"]).expect("there is space");
    disk.set_faults(Faults { capacity_bytes: Some(disk.bytes() + 4), ..Faults::default() });
    assert!(matches!(journal.append(&[b"two"]), Err(StoreError::Io { .. })));
    disk.set_faults(Faults::default());
    journal.append(&[b"three"]).expect("there is space again");
    assert_eq!(open(&disk.after_crash(Unsynced::Lost)).1, [b"one".to_vec(), b"three".to_vec()]);
}

#[test]
fn after_a_failed_sync_the_journal_rejects_appends_until_it_is_rewritten() {
    let disk = FaultyDisk::default();
    let mut journal = writable_journal(&disk);
    journal.append(&[b"one"]).expect("the record is appended");
    disk.set_faults(Faults { sync_fails: true, ..Faults::default() });
    assert!(journal.append(&[b"two"]).is_err());
    disk.set_faults(Faults::default());
    assert!(matches!(journal.append(&[b"two"]), Err(StoreError::NeedsRewrite { .. })));
    journal.rewrite([b"one", b"two"]).expect("the journal is rewritten");
    journal.append(&[b"three"]).expect("the record is appended");
    let all = [&b"one"[..], b"two", b"three"].map(<[u8]>::to_vec);
    assert_eq!(open(&disk.after_crash(Unsynced::Lost)).1, all);
}

#[test]
fn a_damaged_record_does_not_affect_the_others_and_its_file_is_kept() {
    let disk = FaultyDisk::default();
    let mut journal = writable_journal(&disk);
    journal.append(&[b"first", b"other", b"third"]).expect("the record is appended");
    disk.corrupt("intents.1.log", |bytes| bytes[16 + 8 + 5 + 8] ^= 1);
    let (mut journal, contents) = Journal::open(disk.clone(), "intents", 1).expect("the journal opens");
    assert_eq!((contents.records.len(), contents.damaged, contents.torn_bytes), (2, 1, 0));
    assert!(journal.needs_rewrite(), "the remaining records have to be rewritten");
    journal.rewrite(&contents.records).expect("the journal is rewritten");
    assert_eq!(open(&disk).1, [b"first".to_vec(), b"third".to_vec()]);
    let names = gaparch_store::Disk::list(journal.disk()).expect("the files are listed");
    assert!(names.contains(&"intents.1.log.damaged".to_owned()), "{names:?}");
}

#[test]
fn a_journal_of_a_later_schema_is_not_changed() {
    let disk = FaultyDisk::default();
    let (mut journal, _) = Journal::open(disk.clone(), "intents", 7).expect("the journal opens");
    journal.rewrite([b"later"]).expect("the data is written");
    let before = disk.bytes();
    let error = Journal::open(disk.clone(), "intents", 6).err().expect("the schema is not supported");
    assert!(matches!(error, StoreError::UnsupportedVersion { schema: 7, .. }), "{error}");
    assert_eq!(disk.bytes(), before);
    // A journal of an older schema reports it and needs a rewrite.
    let (journal, contents) = Journal::open(disk, "intents", 9).expect("the journal opens");
    assert_eq!((contents.schema, journal.needs_rewrite()), (Some(7), true));
}

#[test]
fn a_history_is_bounded_in_size_and_survives_a_full_disk() {
    let limits = HistoryLimits { segment_bytes: 1024, max_segments: 3 };
    let disk = FaultyDisk::default();
    let read = |disk: &FaultyDisk| {
        let mut records = Vec::new();
        let history = History::open(disk.clone(), "events", 1, limits, |_, body| records.push(body.to_vec()));
        (history.expect("the history opens"), records)
    };
    let (mut history, _) = read(&disk);
    for n in 0..200u32 {
        history.push(&[n as u8; 92]).expect("the record fits");
        history.flush().expect("the data is written");
        assert!(disk.bytes() <= 3 * (1024 + 100 + 16), "{}", disk.bytes());
    }
    let (_, records) = read(&disk);
    assert!(records.len() >= 20 && records.last() == Some(&vec![199; 92]), "{}", records.len());
    disk.set_faults(Faults { capacity_bytes: Some(disk.bytes() + 10), ..Faults::default() });
    history.push(&[200; 92]).expect("the record fits");
    assert!(history.flush().is_err());
    disk.set_faults(Faults::default());
    history.flush().expect("the buffered records are written");
    assert_eq!(read(&disk).1.last(), Some(&vec![200; 92]));
    for _ in 0..20_000 {
        history.push(&[1; 92]).expect("the record fits");
    }
    assert!(history.dropped_records() > 0, "the buffer is bounded");
}

/// While the disk fails, a flush may write records and still report an error. After recovery and a crash,
/// each record must be there exactly once.
#[test]
fn a_history_neither_loses_nor_duplicates_records_while_its_disk_fails() {
    let limits = HistoryLimits { segment_bytes: 1024, max_segments: 4 };
    let faults = [
        Faults { sync_fails: true, ..Faults::default() },
        Faults { read_only: true, ..Faults::default() },
        Faults { capacity_bytes: Some(200), ..Faults::default() },
    ];
    for fault in faults {
        let disk = FaultyDisk::default();
        let mut history =
            History::open(disk.clone(), "events", 1, limits, |_, _| {}).expect("the history opens");
        let mut next = 0_u8;
        let mut push = |history: &mut History<FaultyDisk>| {
            history.push(&[next; 92]).expect("the record fits");
            next += 1;
        };
        push(&mut history);
        history.flush().expect("the data is written");
        disk.set_faults(fault);
        for _ in 0..20 {
            push(&mut history);
            assert!(history.flush().is_err(), "{fault:?}");
        }
        disk.set_faults(Faults::default());
        history.flush().expect("the buffered records are written");
        push(&mut history);
        history.flush().expect("the data is written");
        let mut found = Vec::new();
        let after = disk.after_crash(Unsynced::Lost);
        History::open(after, "events", 1, limits, |_, body| found.push(body[0])).expect("the history opens");
        assert_eq!(found, (0..next).collect::<Vec<u8>>(), "{fault:?}");
    }
}

#[test]
fn a_state_directory_is_locked_by_one_process() {
    let parent = tempfile::tempdir().expect("the directory is created");
    let path = parent.path().join("state");
    let first = StateDirectory::open(&path).expect("the directory is free");
    let error = StateDirectory::open(&path).expect_err("the directory is in use").to_string();
    assert!(error.contains(&format!("process {}", std::process::id())), "{error}");
    drop(first);
    let directory = StateDirectory::open(&path).expect("the directory is free again");
    let (mut journal, _) = Journal::open(directory, "a", 1).expect("the journal opens");
    journal.rewrite([b"x"]).expect("the data is written");
    journal.append(&[b"y"]).expect("the record is appended");
    drop(journal);
    let directory = StateDirectory::open(&path).expect("the directory is free");
    let (_, contents) = Journal::open(directory, "a", 1).expect("the journal opens");
    assert_eq!(contents.records, [b"x".to_vec(), b"y".to_vec()]);
}

proptest! {
    /// Records before a truncated last record and arbitrary trailing bytes are found.
    #[test]
    fn records_before_any_damaged_tail_are_found(
        tail in proptest::collection::vec(any::<u8>(), 0..60),
        cut in 0usize..40,
    ) {
        let disk = FaultyDisk::default();
        let mut journal = writable_journal(&disk);
        journal.append(&[b"one", b"two"]).expect("the record is appended");
        journal.append(&[[9u8; 32]]).expect("the record is appended");
        disk.corrupt("intents.1.log", |bytes| {
            bytes.truncate(bytes.len() - cut);
            bytes.extend_from_slice(&tail);
        });
        let (mut journal, contents) =
            Journal::open(disk.clone(), "intents", 1).expect("the journal opens");
        prop_assert!(contents.records.starts_with(&[b"one".to_vec(), b"two".to_vec()]));
        let before = contents.records.clone();
        if journal.needs_rewrite() {
            journal.rewrite(&before).expect("the data is written");
        }
        journal.append(&[b"more"]).expect("the record is appended");
        let (_, after) = open(&disk);
        prop_assert_eq!(&after[..before.len()], &before[..]);
        prop_assert_eq!(after.last(), Some(&b"more".to_vec()));
    }
}

/// Every sequence of six operations with any of the faults, followed by a crash: an acknowledged record must
/// not be lost because of an operation that failed before or after it.
#[test]
fn acknowledged_records_survive_any_sequence_of_faults_and_a_crash() {
    let faults = [
        Faults::default(),
        Faults { read_only: true, ..Faults::default() },
        Faults { capacity_bytes: Some(0), ..Faults::default() },
        Faults { sync_fails: true, ..Faults::default() },
        Faults { rename_fails_late: true, ..Faults::default() },
    ];
    for sequence in 0..5_u64.pow(6) {
        let disk = FaultyDisk::default();
        let mut journal = writable_journal(&disk);
        let mut acknowledged: Vec<Vec<u8>> = Vec::new();
        for step in 0..6_u32 {
            disk.set_faults(faults[(sequence / 5_u64.pow(step) % 5) as usize]);
            let record = vec![step as u8; 4];
            // As a user of a journal does: a record that can't be appended is written by a rewrite, or given
            // up.
            let mut all = acknowledged.clone();
            all.push(record.clone());
            let result = match journal.needs_rewrite() || step == 2 {
                true => journal.rewrite(&all),
                false => journal.append(&[record]),
            };
            if result.is_ok() {
                acknowledged = all;
            }
        }
        let (_, found) = open(&disk.after_crash(Unsynced::Lost));
        let missing = acknowledged.iter().filter(|record| !found.contains(record)).count();
        assert_eq!(missing, 0, "faults {sequence}: {acknowledged:?} were acknowledged, {found:?} were found");
    }
}
