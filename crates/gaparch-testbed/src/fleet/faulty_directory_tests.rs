//! What each disk fault leaves for the next process.

use super::*;
use gaparch_store::Journal;

/// What a journal on such a disk keeps for the next process, which finds a disk without faults.
fn kept(fault: DiskFault) -> (Result<(), String>, Vec<Vec<u8>>) {
    let directory = tempfile::tempdir().expect("a directory");
    let write = |fault, record: &[u8]| {
        let disk = FaultyDirectory::new(StateDirectory::open(directory.path()).expect("opened"), fault)
            .expect("a disk");
        let (mut journal, _) = Journal::open(disk, "x", 1).expect("opened");
        if journal.needs_rewrite() {
            journal.rewrite([record]).map_err(|e| e.to_string())
        } else {
            journal.append(&[record]).map_err(|e| e.to_string())
        }
    };
    write(DiskFault::Slow(Duration::ZERO), b"the first").expect("written");
    let wrote = write(fault, b"the second");
    let reads = matches!(fault, DiskFault::Flip | DiskFault::Stale);
    let read_by = if reads { fault } else { DiskFault::Slow(Duration::ZERO) };
    let disk = FaultyDirectory::new(StateDirectory::open(directory.path()).expect("opened"), read_by)
        .expect("a disk");
    (wrote, Journal::open(disk, "x", 1).expect("opened").1.records)
}

#[test]
fn each_fault_keeps_what_it_says() {
    let first = || vec![b"the first".to_vec()];
    assert_eq!(kept(DiskFault::Forget), (Ok(()), first()));
    assert_eq!(kept(DiskFault::Torn), (Ok(()), first()));
    assert_eq!(kept(DiskFault::Swapped), (Ok(()), first()), "the last write is not kept");
    assert_eq!(kept(DiskFault::Stale), (Ok(()), first()), "as it stood when the second process began");
    for fault in [DiskFault::Full, DiskFault::Broken, DiskFault::ReadOnly] {
        let (wrote, records) = kept(fault);
        assert!(wrote.is_err() && records == first(), "{fault:?}");
    }
    assert_eq!(kept(DiskFault::Slow(Duration::ZERO)).1.len(), 2);
    let (wrote, records) = kept(DiskFault::Flip);
    assert!(wrote.is_ok() && records.len() < 2, "{records:?}");
}
