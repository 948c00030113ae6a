//! Tests the counts of requests by shared prefix.

use super::{AffinityKey, PrefixPopularity, CLEANUP_INTERVAL, MAX_PREFIXES};

const SPAN: u64 = 60_000_000_000;
const MILLISECOND: u64 = 1_000_000;

/// Guards against memory that grows with the names that clients invent.
#[test]
fn prefixes_that_are_new_in_each_request_are_bounded_and_leave_a_frequent_one_its_count() {
    let mut popularity = PrefixPopularity::default();
    let frequent = AffinityKey::from_text("frequent");
    let mut last = 0.0;
    for number in 0..200_000_u64 {
        let now = number * MILLISECOND / 10;
        popularity.record(now, Some(AffinityKey::from_text(&format!("new-{number}"))), SPAN);
        if number % 100 == 0 {
            last = popularity.record(now, Some(frequent), SPAN).same_prefix;
        }
    }
    let prefixes = popularity.by_prefix.len();
    assert!(prefixes <= MAX_PREFIXES + CLEANUP_INTERVAL as usize, "{prefixes} prefixes");
    // 2,000 requests in 20 s, decayed over 60 s.
    assert!((1_600.0..2_000.0).contains(&last), "{last}");
}
