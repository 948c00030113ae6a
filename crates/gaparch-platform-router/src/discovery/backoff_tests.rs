//! The waits between two tries for a list that is refused.

use super::*;

#[test]
fn waits_grow_to_the_longest_and_start_anew_after_a_list() {
    let mut backoff = Backoff::new(1);
    let waits: Vec<Duration> = (0..20).map(|_| backoff.wait()).collect();
    for (number, wait) in waits.iter().enumerate() {
        let step = (AGAIN * 2u32.pow(number.min(8) as u32)).min(MOST_BACKOFF);
        assert!((step / 2..=step).contains(wait), "{number}: {wait:?}");
    }
    backoff.reset();
    assert!(backoff.wait() <= AGAIN);
}

#[test]
fn routers_do_not_ask_together() {
    let waits = |seed| {
        let mut backoff = Backoff::new(seed);
        (0..8).map(|_| backoff.wait()).sum::<Duration>()
    };
    let mut sums: Vec<Duration> = (0..100).map(waits).collect();
    sums.sort();
    sums.dedup();
    assert_eq!(sums.len(), 100);
}
