//! Tests of the rounds in which a KV cache is released.

use gaparch_scheduler::policy::kv_release::{ReleaseRounds, RELEASE_PENDING_FOR};

#[test]
fn rounds_widen_cover_all_servers_and_end() {
    let mut rounds = ReleaseRounds::new(5, 0);
    let first = rounds.next(0).expect("there is a next round");
    assert_eq!((first.servers, first.needs_fresh_connections, first.pause), (vec![0], false, 0));
    let second = rounds.next(0).expect("there is a next round");
    assert_eq!((second.servers, second.needs_fresh_connections, second.pause), (vec![1, 2], true, 0));
    assert_eq!(rounds.next(0).expect("there is a next round").servers, vec![3, 4, 0, 1]);
    let fourth = rounds.next(0).expect("there is a next round");
    assert!(fourth.pause > 0, "all servers have been notified");
    assert_eq!(rounds.next(RELEASE_PENDING_FOR), None);
    assert_eq!(ReleaseRounds::new(0, 0).next(0), None);
}
