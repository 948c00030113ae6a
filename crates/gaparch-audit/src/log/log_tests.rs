//! Tests of the audit log and its hash chain.

use super::*;
use gaparch_protocol::versions::{AuditFilter, AuditSegment, ListVersion, SendContext};

fn context(version: u64) -> SendContext {
    let list = ListVersion { rank: 1, epoch: 7, version };
    SendContext { list, confirmed: true, ..SendContext::default() }
}

fn name(engine: u32) -> String {
    format!("engine-{engine}")
}

/// The segments of a log that continues `stored` with `count` segments, each under another list version.
fn log(run_id: u64, stored: Vec<AuditSegment>, count: u64, ends: bool) -> Vec<AuditSegment> {
    let written = stored.last().map_or(0, |segment| segment.number);
    let mut segments = stored.clone();
    let mut log = AuditLog::new(run_id, stored, written);
    segments.extend(log.start(run_id * 1000));
    let mut tally = SendTally::default();
    for n in 0..count {
        for send in 0..3 {
            tally.record(send as u32 % 2, SendKind::Prefill, n * 10 + send, 1, run_id * 1000 + n);
        }
        segments.extend(log.append(&tally.take(context(n), run_id * 1000 + n, name)));
    }
    segments.extend(log.close_segment(ends));
    segments
}

fn gaps(segments: &[AuditSegment], written: u64) -> Vec<LogGap> {
    let mut chain = ChainVerifier::default();
    segments.iter().for_each(|segment| chain.push(segment));
    chain.expect_segment(written);
    chain.gaps().to_vec()
}

#[test]
fn an_intact_log_has_no_gaps_across_restarts_and_exact_counts() {
    let first = log(1, Vec::new(), 4, true);
    let both = log(2, first, 3, true);
    assert_eq!(gaps(&both, 9), []);
    let log = AuditLog::new(3, both, 9);
    let all: u64 = log.rows(&AuditFilter::default()).iter().map(|row| row.counts.prefills).sum();
    assert_eq!(all, 7 * 3);
    let below = AuditFilter { below_version: Some(2), engine: Some(name(0)), ..AuditFilter::default() };
    let rows = log.rows(&below);
    assert_eq!(rows.len(), 2, "{rows:?}");
    let one = AuditFilter { request: Some(10), ..AuditFilter::default() };
    assert_eq!(log.rows(&one).iter().map(|row| row.list.version).collect::<Vec<_>>(), [1]);
}

#[test]
fn every_kind_of_damage_to_a_log_is_reported() {
    let intact = log(1, Vec::new(), 5, true);
    let mut removed = intact.clone();
    removed.remove(2);
    assert_eq!(gaps(&removed, 6), [LogGap::Missing { after: 2, before: 4 }]);
    let mut altered = intact.clone();
    altered[2].counts[0].prefills -= 1;
    assert_eq!(
        gaps(&altered, 6),
        [LogGap::HashMismatch { at: 4 }],
        "a send that was removed from the counts"
    );
    let mut swapped = intact.clone();
    swapped.swap(1, 3);
    assert!(gaps(&swapped, 6).iter().any(|gap| matches!(gap, LogGap::OutOfOrder { .. })));
    let truncated = &intact[..4];
    assert!(gaps(truncated, 6).contains(&LogGap::Truncated { after: 4, written: 6 }));
    let killed = log(2, log(1, Vec::new(), 2, false), 1, true);
    assert!(matches!(gaps(&killed, 5)[..], [LogGap::UncleanShutdown { run_id: 1, .. }]), "{killed:?}");
    let killed_at_once = log(2, log(1, Vec::new(), 0, false), 1, true);
    assert!(
        matches!(gaps(&killed_at_once, 3)[..], [LogGap::UncleanShutdown { run_id: 1, .. }]),
        "killed before it had sent anything"
    );
}

#[test]
fn sends_beyond_the_record_limit_are_still_counted() {
    let mut tally = SendTally::default();
    (0..5000).for_each(|n| tally.record(1, SendKind::Decode, n, 1, n));
    let mut log = AuditLog::new(1, Vec::new(), 0);
    log.append(&tally.take(context(1), 5000, name));
    let segment = log.close_segment(true).expect("a segment");
    let records = segment.records.len() as u64 + segment.omitted_records;
    assert_eq!((segment.counts[0].decodes, records), (5000, 5000));
}

#[test]
fn segment_numbers_of_a_truncated_log_are_not_reused() {
    let intact = log(1, Vec::new(), 5, true);
    let mut log = AuditLog::new(2, intact[..3].to_vec(), 6);
    assert!(log.gaps().contains(&LogGap::Truncated { after: 3, written: 6 }));
    let mut tally = SendTally::default();
    tally.record(1, SendKind::Probe, 0, 0, 9);
    log.append(&tally.take(context(1), 9, name));
    assert_eq!(log.close_segment(true).expect("a segment").number, 7);
}
