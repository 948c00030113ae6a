//! Timeouts derived from the deployment's settings.

use gaparch_scheduler::api::Settings;
use std::time::Duration;

/// Timeout for connecting to a worker if the settings specify none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest share of the drain grace period that connecting may take. A request is sent as soon as its
/// connection is established, and by then the worker may have been listed as draining.
const CONNECT_SHARE_OF_DRAIN_GRACE: f64 = 0.8;
/// Upper limit on the timeout of one release attempt: a running worker answers immediately.
const MAX_RELEASE_TIMEOUT: Duration = Duration::from_millis(120);
/// Largest share of the KV cache release time that one release attempt may take, so that two more attempts
/// fit.
const RELEASE_ATTEMPT_SHARE: f64 = 0.25;

/// Returns the timeout for connecting to a worker. A setting of 0 means unspecified.
pub(crate) fn connect_timeout(settings: &Settings) -> Duration {
    let configured = Duration::from_nanos(settings.connect_timeout);
    let timeout = if configured.is_zero() { DEFAULT_CONNECT_TIMEOUT } else { configured };
    match Duration::from_nanos(settings.drain_grace) {
        Duration::ZERO => timeout,
        grace => timeout.min(grace.mul_f64(CONNECT_SHARE_OF_DRAIN_GRACE)),
    }
}

/// Returns the timeout of one release attempt at one worker.
pub(crate) fn release_attempt_timeout(settings: &Settings) -> Duration {
    match Duration::from_nanos(settings.kv_release_within) {
        Duration::ZERO => MAX_RELEASE_TIMEOUT,
        within => MAX_RELEASE_TIMEOUT.min(within.mul_f64(RELEASE_ATTEMPT_SHARE)),
    }
}

#[cfg(test)]
#[path = "timeouts_tests.rs"]
mod tests;
