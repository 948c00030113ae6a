//! Tests of `record`.

use super::*;
use gaparch_protocol::versions::ListVersion;

fn stamp(version: u64) -> SendContext {
    SendContext {
        list: ListVersion { rank: 1, epoch: 7, version },
        confirmed: true,
        ..SendContext::default()
    }
}

fn name(engine: u32) -> String {
    format!("engine-{engine}")
}

/// A record of so many pieces, each under another version.
fn record(run: u64, kept: Vec<AuditSegment>, count: u64, ends: bool) -> Vec<AuditSegment> {
    let written = kept.last().map_or(0, |p| p.number);
    let mut pieces = kept.clone();
    let mut book = Book::new(run, kept, written);
    pieces.extend(book.begin(run * 1000));
    let mut tally = Tally::default();
    for n in 0..count {
        for send in 0..3 {
            tally.note(send as u32 % 2, Kind::Read, n * 10 + send, 1, run * 1000 + n);
        }
        pieces.extend(book.take(&tally.take(stamp(n), run * 1000 + n, name)));
    }
    pieces.extend(book.close(ends));
    pieces
}

fn gaps(pieces: &[AuditSegment], witnessed: u64) -> Vec<Gap> {
    let mut chain = Chain::default();
    pieces.iter().for_each(|piece| chain.take(piece));
    chain.witnessed(witnessed);
    chain.gaps
}

#[test]
fn a_sound_record_has_no_gap_over_restarts_and_counts_exactly() {
    let first = record(1, Vec::new(), 4, true);
    let both = record(2, first, 3, true);
    assert_eq!(gaps(&both, 9), []);
    let book = Book::new(3, both, 9);
    let all: u64 = book.rows(&AuditFilter::default()).iter().map(|r| r.counts.prefills).sum();
    assert_eq!(all, 7 * 3);
    let below = AuditFilter { below_version: Some(2), engine: Some(name(0)), ..AuditFilter::default() };
    let rows = book.rows(&below);
    assert_eq!(rows.len(), 2, "{rows:?}");
    let one = AuditFilter { request: Some(10), ..AuditFilter::default() };
    assert_eq!(book.rows(&one).iter().map(|r| r.list.version).collect::<Vec<_>>(), [1]);
}

#[test]
fn whatever_is_done_to_a_record_is_named() {
    let sound = record(1, Vec::new(), 5, true);
    let mut removed = sound.clone();
    removed.remove(2);
    assert_eq!(gaps(&removed, 6), [Gap::Missing { after: 2, before: 4 }]);
    let mut altered = sound.clone();
    altered[2].counts[0].prefills -= 1;
    assert_eq!(gaps(&altered, 6), [Gap::Broken { at: 4 }], "a suppressed send");
    let mut swapped = sound.clone();
    swapped.swap(1, 3);
    assert!(gaps(&swapped, 6).iter().any(|g| matches!(g, Gap::Swapped { .. })));
    let cut = &sound[..4];
    assert!(gaps(cut, 6).contains(&Gap::Cut { after: 4, witnessed: 6 }));
    let killed = record(2, record(1, Vec::new(), 2, false), 1, true);
    assert!(matches!(gaps(&killed, 5)[..], [Gap::Killed { run: 1, .. }]), "{killed:?}");
    let at_once = record(2, record(1, Vec::new(), 0, false), 1, true);
    assert!(matches!(gaps(&at_once, 3)[..], [Gap::Killed { run: 1, .. }]), "before it had sent anything");
}

#[test]
fn what_finds_no_room_one_by_one_is_counted_all_the_same() {
    let mut tally = Tally::default();
    (0..5000).for_each(|n| tally.note(1, Kind::Write, n, 1, n));
    let mut book = Book::new(1, Vec::new(), 0);
    book.take(&tally.take(stamp(1), 5000, name));
    let piece = book.close(true).expect("a piece");
    assert_eq!((piece.counts[0].decodes, piece.records.len() as u64 + piece.omitted_records), (5000, 5000));
}

#[test]
fn numbers_of_a_cut_record_are_not_given_anew() {
    let sound = record(1, Vec::new(), 5, true);
    let mut book = Book::new(2, sound[..3].to_vec(), 6);
    assert!(book.gaps().contains(&Gap::Cut { after: 3, witnessed: 6 }));
    let mut tally = Tally::default();
    tally.note(1, Kind::Probe, 0, 0, 9);
    book.take(&tally.take(stamp(1), 9, name));
    assert_eq!(book.close(true).expect("a piece").number, 7);
}
