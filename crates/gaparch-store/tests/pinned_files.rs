//! The names and bytes of the files of a journal and of a history.

mod common;

use common::{assert_bytes, unhex};
use gaparch_store::faulty::FaultyDisk;
use gaparch_store::{Disk, History, HistoryLimits, Journal};

const JOURNAL: &str =
    "676170617263680a000100021ee4447700000005e2979c576669727374000000068787ed867365636f6e64\
                       000000002144df1c";
const HISTORY: &str =
    "676170617263680a0001000187ed15cd00000005e2979c576669727374000000068787ed867365636f6e64";
const LIMITS: HistoryLimits = HistoryLimits { segment_bytes: 1024, max_segments: 3 };

#[test]
fn a_journal_has_the_pinned_file_names_and_bytes() {
    let disk = FaultyDisk::default();
    let (mut journal, _) = Journal::open(disk.clone(), "intents", 2).expect("the store opens");
    journal.rewrite([b"first"]).expect("the data is written");
    journal.append(&[b"second"]).expect("the record is appended");
    journal.append(&[b""]).expect("the record is appended");
    assert_eq!(disk.list().expect("the files are listed"), ["intents.1.log"]);
    assert_bytes(&disk.read("intents.1.log").expect("the file exists"), JOURNAL);
    journal.rewrite([b"third"]).expect("the data is written");
    assert_eq!(disk.list().expect("the files are listed"), ["intents.2.log"]);
}

#[test]
fn a_pinned_journal_can_be_read() {
    let mut disk = FaultyDisk::default();
    disk.append("intents.1.log", &unhex(JOURNAL)).expect("the data is written");
    let (journal, contents) = Journal::open(disk, "intents", 2).expect("the store opens");
    assert_eq!(contents.records, [b"first".to_vec(), b"second".to_vec(), Vec::new()]);
    assert_eq!((contents.schema, contents.torn_bytes, contents.damaged), (Some(2), 0, 0));
    assert_eq!((journal.needs_rewrite(), journal.records()), (false, 3));
}

#[test]
fn a_history_has_the_pinned_file_name_and_bytes() {
    let disk = FaultyDisk::default();
    let mut history = History::open(disk.clone(), "endings", 1, LIMITS, |_, _| {}).expect("the store opens");
    history.push(b"first").expect("the record fits");
    history.push(b"second").expect("the record fits");
    history.flush().expect("the data is written");
    assert_eq!(disk.list().expect("the files are listed"), ["endings.1.part"]);
    assert_bytes(&disk.read("endings.1.part").expect("the file exists"), HISTORY);
}

#[test]
fn a_pinned_history_can_be_read() {
    let mut disk = FaultyDisk::default();
    disk.append("endings.1.part", &unhex(HISTORY)).expect("the data is written");
    let mut records = Vec::new();
    History::open(disk, "endings", 1, LIMITS, |schema, record| records.push((schema, record.to_vec())))
        .expect("the store opens");
    assert_eq!(records, [(1, b"first".to_vec()), (1, b"second".to_vec())]);
}
