//! The days that come with the program, in groups.

use super::day::Day;

/// A group's days, as files.
pub struct Group {
    pub name: &'static str,
    days: &'static [&'static str],
}

const GROUPS: [Group; 6] = [
    Group {
        name: "membership",
        days: &[
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
        days: &[
            include_str!("../../../../days/links/engine-links.xml"),
            include_str!("../../../../days/links/client-links.xml"),
            include_str!("../../../../days/links/list-links.xml"),
        ],
    },
    Group {
        name: "audit",
        days: &[
            include_str!("../../../../days/audit/stalled-list.xml"),
            include_str!("../../../../days/audit/all-but-one.xml"),
            include_str!("../../../../days/audit/straggler.xml"),
            include_str!("../../../../days/audit/liar.xml"),
            include_str!("../../../../days/audit/order-split.xml"),
            include_str!("../../../../days/audit/order-old.xml"),
        ],
    },
    Group {
        // More of membership: by command.
        name: "membership-more",
        days: &[
            include_str!("../../../../days/membership/disks-of-old.xml"),
            include_str!("../../../../days/membership/flapping.xml"),
        ],
    },
    Group {
        // The same in more ways: by command.
        name: "audit-more",
        days: &[
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
        // Minutes each: by command.
        name: "membership-long",
        days: &[
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

/// The days of a group, in their order; `None` if there is no such group.
pub fn group(name: &str) -> Option<Vec<&'static str>> {
    GROUPS.iter().find(|g| g.name == name).map(|g| g.days.to_vec())
}

/// One day of any group by its name.
pub fn one(name: &str) -> Option<&'static str> {
    let named = |text: &&&str| Day::parse(text).is_ok_and(|day| day.name == name);
    GROUPS.iter().flat_map(|g| g.days).find(named).copied()
}

/// All names, for whoever asked for another.
pub fn names() -> Vec<String> {
    let days = GROUPS.iter().flat_map(|g| g.days);
    let names = days.filter_map(|text| Day::parse(text).ok()).map(|day| day.name);
    GROUPS.iter().map(|g| g.name.to_owned()).chain(names).collect()
}
