//! What is acknowledged is there again, wherever the power goes; what fails is never taken for kept.

use gaparch_store::faulty::{Faults, FaultyDisk, Unsynced};
use gaparch_store::{History, HistoryLimits, Journal, StateDirectory, StoreError};
use proptest::prelude::*;

fn open(disk: &FaultyDisk) -> (Journal<FaultyDisk>, Vec<Vec<u8>>) {
    let (journal, found) = Journal::open(disk.clone(), "intents", 1).expect("opens");
    (journal, found.records)
}

fn fresh(disk: &FaultyDisk) -> Journal<FaultyDisk> {
    let (mut journal, _) = open(disk);
    if journal.needs_rewrite() {
        journal.rewrite::<Vec<u8>>([]).expect("written");
    }
    journal
}

/// Appends records, and begins a new generation after every third, until the power goes. What was
/// acknowledged, and what was asked for.
fn work(disk: &FaultyDisk) -> (Vec<Vec<u8>>, usize) {
    let (mut journal, mut kept) = open(disk);
    let mut asked = kept.len();
    if journal.needs_rewrite() && journal.rewrite(&kept).is_err() {
        return (kept, asked);
    }
    for n in 0..10u8 {
        asked += 1;
        let record = vec![n; 5 + usize::from(n)];
        if journal.append(std::slice::from_ref(&record)).is_ok() {
            kept.push(record);
        }
        if n % 3 == 2 {
            let _ = journal.rewrite(&kept);
        }
    }
    (kept, asked)
}

#[test]
fn acknowledged_records_are_there_after_a_crash_at_every_operation() {
    let whole = FaultyDisk::default();
    work(&whole);
    let operations = whole.operations();
    assert!(operations > 20);
    for crash_at in 0..operations {
        for unsynced in [Unsynced::Lost, Unsynced::Kept, Unsynced::Half] {
            let disk = FaultyDisk::default();
            disk.set_faults(Faults { crash_at: Some(crash_at), ..Faults::default() });
            let (kept, asked) = work(&disk);
            assert!(disk.has_crashed());
            let disk = disk.after_crash(unsynced);
            let (_, found) = open(&disk);
            assert!(found.starts_with(&kept), "crash at {crash_at}, {unsynced:?}: {kept:?}, {found:?}");
            assert!(found.len() <= asked, "nothing that was not asked for");
            // And it goes on from there.
            let (more, _) = work(&disk);
            let (_, found) = open(&disk.after_crash(Unsynced::Lost));
            assert_eq!(found, more, "after a crash at {crash_at}, {unsynced:?}");
        }
    }
}

#[test]
fn a_full_disk_keeps_what_is_there_and_takes_more_once_there_is_room() {
    let disk = FaultyDisk::default();
    let mut journal = fresh(&disk);
    journal.append(&[b"one"]).expect("room");
    disk.set_faults(Faults { capacity_bytes: Some(disk.bytes() + 4), ..Faults::default() });
    assert!(matches!(journal.append(&[b"two"]), Err(StoreError::Io { .. })));
    disk.set_faults(Faults::default());
    journal.append(&[b"three"]).expect("room again");
    assert_eq!(open(&disk.after_crash(Unsynced::Lost)).1, [b"one".to_vec(), b"three".to_vec()]);
}

#[test]
fn after_a_failed_sync_nothing_is_taken_until_all_is_written_anew() {
    let disk = FaultyDisk::default();
    let mut journal = fresh(&disk);
    journal.append(&[b"one"]).expect("kept");
    disk.set_faults(Faults { sync_fails: true, ..Faults::default() });
    assert!(journal.append(&[b"two"]).is_err());
    disk.set_faults(Faults::default());
    assert!(matches!(journal.append(&[b"two"]), Err(StoreError::NeedsRewrite { .. })));
    journal.rewrite([b"one", b"two"]).expect("anew");
    journal.append(&[b"three"]).expect("kept");
    let all = [&b"one"[..], b"two", b"three"].map(<[u8]>::to_vec);
    assert_eq!(open(&disk.after_crash(Unsynced::Lost)).1, all);
}

#[test]
fn a_harmed_record_costs_itself_and_the_file_is_kept() {
    let disk = FaultyDisk::default();
    let mut journal = fresh(&disk);
    journal.append(&[b"first", b"other", b"third"]).expect("kept");
    disk.corrupt("intents.1.log", |bytes| bytes[16 + 8 + 5 + 8] ^= 1);
    let (mut journal, found) = Journal::open(disk.clone(), "intents", 1).expect("opens");
    assert_eq!((found.records.len(), found.damaged, found.torn_bytes), (2, 1, 0));
    assert!(journal.needs_rewrite(), "what is left has to be written anew");
    journal.rewrite(&found.records).expect("written");
    assert_eq!(open(&disk).1, [b"first".to_vec(), b"third".to_vec()]);
    let names = gaparch_store::Disk::list(journal.disk()).expect("listed");
    assert!(names.contains(&"intents.1.log.damaged".to_owned()), "{names:?}");
}

#[test]
fn a_later_version_is_not_touched() {
    let disk = FaultyDisk::default();
    let (mut journal, _) = Journal::open(disk.clone(), "intents", 7).expect("opens");
    journal.rewrite([b"later"]).expect("written");
    let before = disk.bytes();
    let error = Journal::open(disk.clone(), "intents", 6).err().expect("refused");
    assert!(matches!(error, StoreError::UnsupportedVersion { schema: 7, .. }), "{error}");
    assert_eq!(disk.bytes(), before);
    // An older one says so, and wants to be written anew.
    let (journal, found) = Journal::open(disk, "intents", 9).expect("opens");
    assert_eq!((found.schema, journal.needs_rewrite()), (Some(7), true));
}

#[test]
fn a_history_is_bounded_and_survives_full_and_harmed_disks() {
    let limits = HistoryLimits { segment_bytes: 1024, max_segments: 3 };
    let disk = FaultyDisk::default();
    let read = |disk: &FaultyDisk| {
        let mut seen = Vec::new();
        let history = History::open(disk.clone(), "events", 1, limits, |_, r| seen.push(r.to_vec()));
        (history.expect("opens"), seen)
    };
    let (mut history, _) = read(&disk);
    for n in 0..200u32 {
        history.push(&[n as u8; 92]).expect("short");
        history.flush().expect("written");
        assert!(disk.bytes() <= 3 * (1024 + 100 + 16), "{}", disk.bytes());
    }
    let (_, seen) = read(&disk);
    assert!(seen.len() >= 20 && seen.last() == Some(&vec![199; 92]), "{}", seen.len());
    disk.set_faults(Faults { capacity_bytes: Some(disk.bytes() + 10), ..Faults::default() });
    history.push(&[200; 92]).expect("short");
    assert!(history.flush().is_err());
    disk.set_faults(Faults::default());
    history.flush().expect("it waited");
    assert_eq!(read(&disk).1.last(), Some(&vec![200; 92]));
    for _ in 0..20_000 {
        history.push(&[1; 92]).expect("short");
    }
    assert!(history.dropped_records() > 0, "what waits is bounded");
}

/// The disk fails for a while, in any of its ways, and the power goes in the end: what was flushed before is there, and each
/// record that was flushed after it once.
#[test]
fn a_history_loses_nothing_and_doubles_nothing_while_its_disk_fails_for_a_while() {
    let limits = HistoryLimits { segment_bytes: 1024, max_segments: 4 };
    let faults = [
        Faults { sync_fails: true, ..Faults::default() },
        Faults { read_only: true, ..Faults::default() },
        Faults { capacity_bytes: Some(200), ..Faults::default() },
    ];
    for fault in faults {
        let disk = FaultyDisk::default();
        let mut history = History::open(disk.clone(), "events", 1, limits, |_, _| {}).expect("opens");
        let mut next = 0_u8;
        let mut push = |history: &mut History<FaultyDisk>| {
            history.push(&[next; 92]).expect("short");
            next += 1;
        };
        push(&mut history);
        history.flush().expect("written");
        disk.set_faults(fault);
        for _ in 0..20 {
            push(&mut history);
            assert!(history.flush().is_err(), "{fault:?}");
        }
        disk.set_faults(Faults::default());
        history.flush().expect("it waited");
        push(&mut history);
        history.flush().expect("written");
        let mut seen = Vec::new();
        let after = disk.after_crash(Unsynced::Lost);
        History::open(after, "events", 1, limits, |_, record| seen.push(record[0])).expect("opens");
        assert_eq!(seen, (0..next).collect::<Vec<u8>>(), "{fault:?}");
    }
}

#[test]
fn a_folder_is_one_router_s_alone() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("state");
    let first = StateDirectory::open(&path).expect("free");
    let error = StateDirectory::open(&path).expect_err("in use").to_string();
    assert!(error.contains(&format!("process {}", std::process::id())), "{error}");
    drop(first);
    let (mut journal, _) =
        Journal::open(StateDirectory::open(&path).expect("free again"), "a", 1).expect("opens");
    journal.rewrite([b"x"]).expect("written");
    journal.append(&[b"y"]).expect("kept");
    drop(journal);
    let (_, found) = Journal::open(StateDirectory::open(&path).expect("free"), "a", 1).expect("opens");
    assert_eq!(found.records, [b"x".to_vec(), b"y".to_vec()]);
}

proptest! {
    /// Whatever bytes stand at the end, what was acknowledged before is found.
    #[test]
    fn any_tail_is_survived(tail in proptest::collection::vec(any::<u8>(), 0..60), cut in 0usize..40) {
        let disk = FaultyDisk::default();
        let mut journal = fresh(&disk);
        journal.append(&[b"one", b"two"]).expect("kept");
        journal.append(&[[9u8; 32]]).expect("kept");
        disk.corrupt("intents.1.log", |bytes| {
            bytes.truncate(bytes.len() - cut);
            bytes.extend_from_slice(&tail);
        });
        let (mut journal, found) = Journal::open(disk.clone(), "intents", 1).expect("opens");
        prop_assert!(found.records.starts_with(&[b"one".to_vec(), b"two".to_vec()]));
        let before = found.records.clone();
        if journal.needs_rewrite() {
            journal.rewrite(&before).expect("written");
        }
        journal.append(&[b"more"]).expect("kept");
        let (_, after) = open(&disk);
        prop_assert_eq!(&after[..before.len()], &before[..]);
        prop_assert_eq!(after.last(), Some(&b"more".to_vec()));
    }
}

/// The disk fails for a while, in any of its ways and in any order, and the power goes in the end: what was acknowledged
/// is there, whatever failed before and after it.
#[test]
fn what_is_acknowledged_while_the_disk_fails_now_and_then_is_there_after_a_crash() {
    let faults = [
        Faults::default(),
        Faults { read_only: true, ..Faults::default() },
        Faults { capacity_bytes: Some(0), ..Faults::default() },
        Faults { sync_fails: true, ..Faults::default() },
        Faults { rename_fails_late: true, ..Faults::default() },
    ];
    for seed in 0..5_u64.pow(6) {
        let disk = FaultyDisk::default();
        let mut journal = fresh(&disk);
        let mut kept: Vec<Vec<u8>> = Vec::new();
        for step in 0..6_u32 {
            disk.set_faults(faults[(seed / 5_u64.pow(step) % 5) as usize]);
            let record = vec![step as u8; 4];
            // As whoever keeps records does: what can't be appended is kept by writing all anew, or is not kept.
            let mut all = kept.clone();
            all.push(record.clone());
            let done = match journal.needs_rewrite() || step == 2 {
                true => journal.rewrite(&all),
                false => journal.append(&[record]),
            };
            if done.is_ok() {
                kept = all;
            }
        }
        let (_, found) = open(&disk.after_crash(Unsynced::Lost));
        let missing = kept.iter().filter(|record| !found.contains(record)).count();
        assert_eq!(missing, 0, "faults {seed}: {kept:?} were acknowledged, {found:?} are there");
    }
}
