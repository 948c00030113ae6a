//! The files of a journal and of a history, byte by byte.

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
fn a_journal_keeps_its_name_and_its_bytes() {
    let disk = FaultyDisk::default();
    let (mut journal, _) = Journal::open(disk.clone(), "intents", 2).expect("opens");
    journal.rewrite([b"first"]).expect("written");
    journal.append(&[b"second"]).expect("appended");
    journal.append(&[b""]).expect("appended");
    assert_eq!(disk.list().expect("listed"), ["intents.1.log"]);
    assert_bytes(&disk.read("intents.1.log").expect("there"), JOURNAL);
    journal.rewrite([b"third"]).expect("written");
    assert_eq!(disk.list().expect("listed"), ["intents.2.log"]);
}

#[test]
fn a_pinned_journal_is_read() {
    let mut disk = FaultyDisk::default();
    disk.append("intents.1.log", &unhex(JOURNAL)).expect("written");
    let (journal, found) = Journal::open(disk, "intents", 2).expect("opens");
    assert_eq!(found.records, [b"first".to_vec(), b"second".to_vec(), Vec::new()]);
    assert_eq!((found.schema, found.torn_bytes, found.damaged), (Some(2), 0, 0));
    assert_eq!((journal.needs_rewrite(), journal.records()), (false, 3));
}

#[test]
fn a_history_keeps_its_name_and_its_bytes() {
    let disk = FaultyDisk::default();
    let mut history = History::open(disk.clone(), "endings", 1, LIMITS, |_, _| {}).expect("opens");
    history.push(b"first").expect("short");
    history.push(b"second").expect("short");
    history.flush().expect("written");
    assert_eq!(disk.list().expect("listed"), ["endings.1.part"]);
    assert_bytes(&disk.read("endings.1.part").expect("there"), HISTORY);
}

#[test]
fn a_pinned_history_is_read() {
    let mut disk = FaultyDisk::default();
    disk.append("endings.1.part", &unhex(HISTORY)).expect("written");
    let mut records = Vec::new();
    History::open(disk, "endings", 1, LIMITS, |schema, record| records.push((schema, record.to_vec())))
        .expect("opens");
    assert_eq!(records, [(1, b"first".to_vec()), (1, b"second".to_vec())]);
}
