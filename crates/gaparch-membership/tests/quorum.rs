//! Checks the bound derived in the documentation of the module `quorum` for arbitrary views.

use gaparch_membership::quorum::Quorum;
use proptest::prelude::*;

/// Any state of a router's count: the numbers of present, counted and known routers need not be consistent.
fn any_quorum() -> impl Strategy<Value = Quorum> {
    (any::<bool>(), 0u32..400, 0u32..400, 0u32..400).prop_map(|(is_stable, present, counted, known)| {
        let mut quorum = Quorum::default();
        (quorum.is_stable, quorum.present, quorum.counted, quorum.known) =
            (is_stable, present, counted, known);
        quorum
    })
}

proptest! {
    /// Whatever each of at most `max_routers` routers counts, their shares of a limit add up to less than
    /// twice the limit, and to no more than the limit if each of them counts all routers that are running.
    #[test]
    fn shares_of_all_routers_are_bounded_for_arbitrary_views(
        max_routers in 1u32..300,
        views in prop::collection::vec(any_quorum(), 1..300),
    ) {
        let running = views.len().min(max_routers as usize);
        let views = &views[..running];
        let shares: f64 = views.iter().map(|v| 1.0 / f64::from(v.divisor(max_routers))).sum();
        prop_assert!(shares < 2.0, "{shares}");
        let counts_all = |v: &Quorum| v.counted as usize >= running && v.known as usize >= running;
        let each_counts_all = views.iter().all(counts_all);
        prop_assert!(!each_counts_all || shares <= 1.0 + 1e-9, "{shares}");
    }
}
