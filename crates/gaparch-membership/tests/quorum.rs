//! The argument of the module `quorum`, checked over arbitrary views.

use gaparch_membership::quorum::Quorum;
use proptest::prelude::*;

/// Any count that a router may come to: the numbers present, counted and known need not be consistent.
fn any_quorum() -> impl Strategy<Value = Quorum> {
    (any::<bool>(), 0u32..400, 0u32..400, 0u32..400).prop_map(|(is_stable, present, counted, known)| {
        let mut quorum = Quorum::default();
        (quorum.is_stable, quorum.present, quorum.counted, quorum.known) =
            (is_stable, present, counted, known);
        quorum
    })
}

proptest! {
    /// Whatever each of at most `S` routers counts, their shares of a limit add up to less than two of it; and to
    /// one at most where each of them counts all that are running.
    #[test]
    fn shares_of_all_routers_stay_bounded_under_any_views(
        max_routers in 1u32..300,
        views in prop::collection::vec(any_quorum(), 1..300),
    ) {
        let running = views.len().min(max_routers as usize);
        let views = &views[..running];
        let shares: f64 = views.iter().map(|v| 1.0 / f64::from(v.divisor(max_routers))).sum();
        prop_assert!(shares < 2.0, "{shares}");
        let all_count_all = views.iter().all(|v| v.counted as usize >= running && v.known as usize >= running);
        prop_assert!(!all_count_all || shares <= 1.0 + 1e-9, "{shares}");
    }
}
