//! Measures how late the event loop runs a task that is due, which is how long every other task, socket and timer
//! may have waited too.

use crate::shared_state::SharedState;
use gaparch_router::shell::{Lag, LagSummary};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Interval between two measurements.
const MEASURE_INTERVAL: Duration = Duration::from_millis(100);
/// A delay of this length is logged: a request needs several turns of the event loop.
const LOGGED_DELAY: Duration = Duration::from_millis(100);
/// Minimum interval between two log lines about delays.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The delays of the event loop.
#[derive(Debug, Default)]
pub(crate) struct EventLoopDelay {
    lag: Lag,
}

impl EventLoopDelay {
    /// Returns the statistics since the last call.
    pub fn take(&self) -> LagSummary {
        self.lag.take()
    }
}

/// Measures and logs delays for as long as the router runs.
pub(crate) async fn monitor(shared: Arc<SharedState>) {
    let mut logged_at: Option<Instant> = None;
    loop {
        let due = Instant::now() + MEASURE_INTERVAL;
        sleep_until(due).await;
        let delay = due.elapsed();
        shared.event_loop_delay.lag.record(delay);
        let is_log_due = logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
        if delay >= LOGGED_DELAY && is_log_due {
            logged_at = Some(Instant::now());
            let busiest = shared.client_statistics.busiest_connection();
            tracing::warn!(
                delay_ms = delay.as_millis() as u64,
                busiest_connection = busiest,
                "event loop delayed: tasks and timers ran late"
            );
        }
    }
}
