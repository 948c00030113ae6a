//! Converts the platform's configuration into that of the router core.

use crate::timeouts::connect_timeout;
use gaparch_config::{Attempts, ClassTimes, Config, Limits, Links, ListConfig, Names};
use gaparch_platform_protocol::config::RouterConfig;
use gaparch_scheduler::api::Nanos;

/// Returns the configuration of the core.
pub(crate) fn core_config(config: &RouterConfig) -> Config {
    let settings = &config.settings;
    // The shell enforces the time limits of streams where it reads them, so the core sets none.
    let unbounded = ClassTimes { stream: Nanos::MAX, silence: Nanos::MAX };
    Config {
        router: config.name.clone(),
        listeners: Vec::new(),
        scheduler: settings.scheduler.clone(),
        names: Names {
            classes: settings.classes.clone(),
            tenants: settings.tenants.clone(),
            zones: settings.zones.clone(),
            kinds: settings.kinds.clone(),
        },
        class_times: vec![unbounded; settings.classes.len()],
        default_class: None,
        keys: Default::default(),
        engines: Vec::new(),
        list: Some(ListConfig { address: config.discovery }),
        links: Links::Exchanges,
        attempts: Attempts {
            // The settings have no timeout for health checks; the connect timeout is used instead.
            probe_timeout: connect_timeout(&settings.scheduler).as_nanos() as Nanos,
            reconnect_after: 0,
            reconnect_most: 0,
        },
        limits: Limits::default(),
        operations: None,
        // Routers on the platform exchange gossip only.
        fleet: None,
    }
}
