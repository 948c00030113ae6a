//! The platform's configuration as the core takes it.

use gaparch::api::Nanos;
use gaparch_config::{Attempts, ClassTimes, Config, Limits, Links, ListConfig, Names};
use gaparch_platform::config::NodeConfig;

pub(crate) fn core_config(node: &NodeConfig) -> Config {
    let site = &node.site;
    // Streams are watched where they are read: the core sets them no bounds.
    let unbounded = ClassTimes { stream: Nanos::MAX, silence: Nanos::MAX };
    Config {
        router: node.name.clone(),
        listeners: Vec::new(),
        module: site.settings.clone(),
        names: Names {
            classes: site.classes.clone(),
            tenants: site.tenants.clone(),
            zones: site.zones.clone(),
            kinds: site.kinds.clone(),
        },
        class_times: vec![unbounded; site.classes.len()],
        default_class: None,
        keys: Default::default(),
        engines: Vec::new(),
        list: Some(ListConfig { address: node.discovery }),
        links: Links::Exchanges,
        attempts: Attempts {
            // The settings state no time for probes: one gets as long as a connection.
            probe_timeout: site.settings.connect_timeout,
            reconnect_after: 0,
            reconnect_most: 0,
        },
        limits: Limits::default(),
        operations: None,
    }
}
