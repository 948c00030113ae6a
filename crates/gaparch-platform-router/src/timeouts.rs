//! Time-outs that follow from the settings of a deployment.

use gaparch_scheduler::api::Settings;
use std::time::Duration;

/// Time-out of connecting to a worker where the settings state none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Most of the drain grace period that connecting may take. What waits for a connection goes out as soon as it is up, and
/// the worker may have been listed as draining by then.
const CONNECT_SHARE_OF_DRAIN_GRACE: f64 = 0.8;
/// Time-out of one attempt of a release: a worker that runs answers it at once.
const MAX_RELEASE_TIMEOUT: Duration = Duration::from_millis(120);
/// Most of the KV cache release time that one attempt of a release may take, so that two more fit into it.
const RELEASE_ATTEMPT_SHARE: f64 = 0.25;

/// Returns the time-out of connecting to a worker. A setting of 0 stands for one that is not stated.
pub(crate) fn connect_timeout(settings: &Settings) -> Duration {
    let stated = Duration::from_nanos(settings.connect_timeout);
    let timeout = if stated.is_zero() { DEFAULT_CONNECT_TIMEOUT } else { stated };
    match Duration::from_nanos(settings.drain_grace) {
        Duration::ZERO => timeout,
        grace => timeout.min(grace.mul_f64(CONNECT_SHARE_OF_DRAIN_GRACE)),
    }
}

/// Returns the time-out of one attempt of a release at one worker.
pub(crate) fn release_attempt_timeout(settings: &Settings) -> Duration {
    match Duration::from_nanos(settings.kv_release_within) {
        Duration::ZERO => MAX_RELEASE_TIMEOUT,
        within => MAX_RELEASE_TIMEOUT.min(within.mul_f64(RELEASE_ATTEMPT_SHARE)),
    }
}

#[cfg(test)]
#[path = "timeouts_tests.rs"]
mod tests;
