//! Tests the delays between requests for a list that is rejected.

use super::*;

#[test]
fn delays_grow_to_the_maximum_and_restart_after_a_reset() {
    let mut backoff = Backoff::new(1);
    let delays: Vec<Duration> = (0..20).map(|_| backoff.next_delay()).collect();
    for (number, delay) in delays.iter().enumerate() {
        let step = (RETRY_DELAY * 2u32.pow(number.min(8) as u32)).min(MAX_DELAY);
        assert!((step / 2..=step).contains(delay), "{number}: {delay:?}");
    }
    backoff.reset();
    assert!(backoff.next_delay() <= RETRY_DELAY);
}

#[test]
fn routers_with_different_seeds_retry_at_different_times() {
    let delays = |seed| {
        let mut backoff = Backoff::new(seed);
        (0..8).map(|_| backoff.next_delay()).sum::<Duration>()
    };
    let mut sums: Vec<Duration> = (0..100).map(delays).collect();
    sums.sort();
    sums.dedup();
    assert_eq!(sums.len(), 100);
}
