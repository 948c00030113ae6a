//! The built-in scenarios, in groups.

use super::scenario::Scenario;

/// A group of scenario files.
pub struct Group {
    pub name: &'static str,
    scenarios: &'static [&'static str],
}

const GROUPS: [Group; 6] = [
    Group {
        name: "membership",
        scenarios: &[
            include_str!("../../../../days/membership/killed.xml"),
            include_str!("../../../../days/membership/stopped.xml"),
            include_str!("../../../../days/membership/lost.xml"),
            include_str!("../../../../days/membership/one-way.xml"),
            include_str!("../../../../days/membership/deaf-and-mute.xml"),
            include_str!("../../../../days/membership/split.xml"),
            include_str!("../../../../days/membership/cold-split.xml"),
            include_str!("../../../../days/membership/restarts.xml"),
            include_str!("../../../../days/membership/old-folder.xml"),
            include_str!("../../../../days/membership/lying-disk.xml"),
            include_str!("../../../../days/membership/failing-disk.xml"),
            include_str!("../../../../days/membership/forged.xml"),
            include_str!("../../../../days/membership/clocks-apart.xml"),
            include_str!("../../../../days/membership/stopped-clients.xml"),
        ],
    },
    Group {
        name: "links",
        scenarios: &[
            include_str!("../../../../days/links/engine-links.xml"),
            include_str!("../../../../days/links/client-links.xml"),
            include_str!("../../../../days/links/list-links.xml"),
        ],
    },
    Group {
        name: "audit",
        scenarios: &[
            include_str!("../../../../days/audit/stalled-list.xml"),
            include_str!("../../../../days/audit/all-but-one.xml"),
            include_str!("../../../../days/audit/straggler.xml"),
            include_str!("../../../../days/audit/liar.xml"),
            include_str!("../../../../days/audit/order-split.xml"),
            include_str!("../../../../days/audit/order-old.xml"),
        ],
    },
    Group {
        // Further membership scenarios, run on request only.
        name: "membership-more",
        scenarios: &[
            include_str!("../../../../days/membership/disks-of-old.xml"),
            include_str!("../../../../days/membership/flapping.xml"),
        ],
    },
    Group {
        // Variants of the audit scenarios, run on request only.
        name: "audit-more",
        scenarios: &[
            include_str!("../../../../days/audit/stopped-across.xml"),
            include_str!("../../../../days/audit/old-replica.xml"),
            include_str!("../../../../days/audit/cut-list.xml"),
            include_str!("../../../../days/audit/list-anew.xml"),
            include_str!("../../../../days/audit/two-services.xml"),
            include_str!("../../../../days/audit/churn.xml"),
            include_str!("../../../../days/audit/mixed.xml"),
            include_str!("../../../../days/audit/order.xml"),
            include_str!("../../../../days/audit/order-dying.xml"),
            include_str!("../../../../days/audit/order-lost.xml"),
        ],
    },
    Group {
        // These take up to ten minutes each and are run on request only.
        name: "membership-long",
        scenarios: &[
            include_str!("../../../../days/membership-long/split-long.xml"),
            include_str!("../../../../days/membership-long/minority-of-one.xml"),
            include_str!("../../../../days/membership-long/lost-long.xml"),
            include_str!("../../../../days/membership-long/lost-half.xml"),
            include_str!("../../../../days/membership-long/stopped-long.xml"),
            include_str!("../../../../days/membership-long/starved.xml"),
            include_str!("../../../../days/membership-long/zone-deaf.xml"),
        ],
    },
];

/// The scenarios of a group in order; `None` if there is no such group.
pub fn group(name: &str) -> Option<Vec<&'static str>> {
    GROUPS.iter().find(|g| g.name == name).map(|g| g.scenarios.to_vec())
}

/// The scenario with this name, from any group.
pub fn one(name: &str) -> Option<&'static str> {
    let named = |text: &&&str| Scenario::parse(text).is_ok_and(|scenario| scenario.name == name);
    GROUPS.iter().flat_map(|g| g.scenarios).find(named).copied()
}

/// All group and scenario names, for the message about an unknown one.
pub fn names() -> Vec<String> {
    let scenarios = GROUPS.iter().flat_map(|g| g.scenarios);
    let names = scenarios.filter_map(|text| Scenario::parse(text).ok()).map(|scenario| scenario.name);
    GROUPS.iter().map(|g| g.name.to_owned()).chain(names).collect()
}
