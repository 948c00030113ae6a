//! Tests for log filters with the targets of renamed crates.

use super::with_current_targets;

#[test]
fn old_targets_in_a_filter_are_replaced_by_current_ones() {
    for (given, current) in [
        ("info", "info"),
        ("gaparch_node=info", "gaparch_platform_router=info"),
        ("warn,gaparch_node::wire=debug", "warn,gaparch_platform_router::wire=debug"),
        ("gaparch_platform_router=info", "gaparch_platform_router=info"),
        ("gaparch_lab,gaparch_nodes=info", "gaparch_testbed,gaparch_nodes=info"),
    ] {
        assert_eq!(with_current_targets(given), current);
    }
}
