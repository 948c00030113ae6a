//! Tests how much is done for one connection in a turn.

use gaparch_scheduler::policy::turns::Turn;

const KIB: usize = 1024;

/// Returns how often `record` can be called in a turn.
fn count_in_turn(record: impl Fn(&mut Turn)) -> usize {
    let mut turn = Turn::default();
    let mut count = 1;
    record(&mut turn);
    while !turn.take_over() {
        record(&mut turn);
        count += 1;
    }
    count
}

/// Guards against turns in which a connection that sends little at a time, but always something, is read many times.
#[test]
fn a_turn_has_few_reads_however_few_bytes_they_bring() {
    assert_eq!(count_in_turn(|turn| turn.record_read(0)), 4);
    assert_eq!(count_in_turn(|turn| turn.record_read(2 * KIB)), 4);
    assert_eq!(count_in_turn(|turn| turn.record_read(32 * KIB)), 2);
    assert_eq!(count_in_turn(|turn| turn.record_read(usize::MAX)), 1);
}

#[test]
fn an_answer_ends_a_turn_and_sixteen_connections_are_accepted_in_one() {
    assert_eq!(count_in_turn(Turn::record_answer), 1);
    assert_eq!(count_in_turn(Turn::record_accept), 16);
    let mut turn = Turn::default();
    turn.record_answer();
    assert!(turn.take_over());
    assert!(!turn.take_over(), "the next turn has begun");
}
