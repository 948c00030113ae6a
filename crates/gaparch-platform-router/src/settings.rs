//! The platform's configuration as the core takes it.

use gaparch_config::{Attempts, ClassTimes, Config, Limits, Links, ListConfig, Names};
use gaparch_platform_protocol::config::NodeConfig;
use gaparch_scheduler::api::{Nanos, Settings};
use std::time::Duration;

/// For a connection to a worker, where the settings tell no time.
const CONNECT: Duration = Duration::from_millis(500);
/// Of a drain's grace, what a connection may take: what waits for one goes out as soon as it is up, and by then a
/// drain may have been told.
const GRACE_SHARE: f64 = 0.8;
/// For one try of a release: a worker that runs answers it at once.
const RELEASE_TRY: Duration = Duration::from_millis(120);
/// Of the release time, so that there is room for a second and a third at other workers.
const RELEASE_SHARE: f64 = 0.25;

/// How long a connection to a worker may take to come up. 0 stands for what is not told.
pub(crate) fn connect_within(settings: &Settings) -> Duration {
    let told = Duration::from_nanos(settings.connect_timeout);
    let told = if told.is_zero() { CONNECT } else { told };
    match Duration::from_nanos(settings.drain_grace) {
        Duration::ZERO => told,
        grace => told.min(grace.mul_f64(GRACE_SHARE)),
    }
}

/// How long one worker gets to take a release.
pub(crate) fn release_try(settings: &Settings) -> Duration {
    match Duration::from_nanos(settings.kv_release_within) {
        Duration::ZERO => RELEASE_TRY,
        within => RELEASE_TRY.min(within.mul_f64(RELEASE_SHARE)),
    }
}

pub(crate) fn core_config(node: &NodeConfig) -> Config {
    let site = &node.site;
    // Streams are watched where they are read: the core sets them no bounds.
    let unbounded = ClassTimes { stream: Nanos::MAX, silence: Nanos::MAX };
    Config {
        router: node.name.clone(),
        listeners: Vec::new(),
        module: site.scheduler.clone(),
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
            probe_timeout: connect_within(&site.scheduler).as_nanos() as Nanos,
            reconnect_after: 0,
            reconnect_most: 0,
        },
        limits: Limits::default(),
        operations: None,
        // The platform prices messages between routers.
        fleet: None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_time_of_the_settings_is_too_long_for_another_and_none_is_nothing() {
        let ms = |n: u64| n * 1_000_000;
        let set = |connect, grace, release| Settings {
            connect_timeout: ms(connect),
            drain_grace: ms(grace),
            kv_release_within: ms(release),
            ..Settings::default()
        };
        let within = |connect, grace| connect_within(&set(connect, grace, 0)).as_millis();
        assert_eq!((within(250, 500), within(250, 0), within(0, 0)), (250, 250, 500));
        assert!(within(3000, 500) < 450 && within(0, 200) < 180);
        // Three workers can be tried before the time is over.
        for release in [100, 200, 300, 500, 5000] {
            let one = release_try(&set(0, 0, release)).as_millis();
            assert!(one > 0 && 3 * one < u128::from(release), "{one} of {release}");
        }
        assert!(release_try(&set(0, 0, 0)) > Duration::ZERO);
    }
}
