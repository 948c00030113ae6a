//! Detects the events of the router itself.

use super::{event, text, FAULT_CLEARED_AFTER};
use crate::SECOND;
use gaparch_protocol::ops::view::{Event, RouterMetrics, Severity};

/// A loss period ends once no request has been rejected or has failed for this long.
const LOSS_CLEARED_AFTER: u64 = 5 * FAULT_CLEARED_AFTER;
/// Lag of the router's owner task, in microseconds, above which deadlines can't be met.
const MAX_LAG_US: u64 = 50_000;
/// Minimum time between two lag events, in nanoseconds.
const LAG_EVENT_INTERVAL: u64 = 30 * SECOND;

/// A period in which requests are rejected or fail.
#[derive(Clone, Copy, Debug)]
struct LossPeriod {
    since: u64,
    last_loss_at: u64,
    /// The last metrics before the period.
    before: RouterMetrics,
}

/// The monitored state of the router.
#[derive(Clone, Debug, Default)]
pub(super) struct RouterMonitor {
    last: Option<RouterMetrics>,
    loss: Option<LossPeriod>,
    lagging_since: Option<u64>,
}

impl RouterMonitor {
    /// Processes an observation and appends the resulting events.
    pub fn observe(&mut self, metrics: &RouterMetrics, events: &mut Vec<Event>) {
        let Some(last) = self.last.replace(*metrics) else { return };
        self.observe_losses(metrics, last, events);
        self.end_loss(metrics, events);
        self.observe_lag(metrics, events);
    }

    fn observe_losses(&mut self, metrics: &RouterMetrics, last: RouterMetrics, events: &mut Vec<Event>) {
        if lost_requests(metrics) <= lost_requests(&last) {
            return;
        }
        if let Some(loss) = &mut self.loss {
            loss.last_loss_at = metrics.at;
            return;
        }
        let text = format!(
            "requests are given up: {} rejected, {} failed at first; {} queued, {} in prefill, {} streaming",
            metrics.rejected - last.rejected,
            metrics.failed - last.failed,
            metrics.queued,
            metrics.prefilling,
            metrics.streaming
        );
        events.push(event(metrics.at, Severity::Warning, None, text));
        self.loss = Some(LossPeriod { since: metrics.at, last_loss_at: metrics.at, before: last });
    }

    fn end_loss(&mut self, metrics: &RouterMetrics, events: &mut Vec<Event>) {
        let Some(LossPeriod { since, last_loss_at, before }) = self.loss else { return };
        if metrics.at < last_loss_at.saturating_add(LOSS_CLEARED_AFTER) {
            return;
        }
        let text = format!(
            "no more requests are given up: in {} there were {} rejected and {} failed, beside {} served",
            text::duration_text(last_loss_at - since),
            metrics.rejected - before.rejected,
            metrics.failed - before.failed,
            metrics.served - before.served
        );
        events.push(event(metrics.at, Severity::Info, None, text));
        self.loss = None;
    }

    fn observe_lag(&mut self, metrics: &RouterMetrics, events: &mut Vec<Event>) {
        let now = metrics.at;
        let is_lagging = metrics.lag_us > MAX_LAG_US;
        match self.lagging_since {
            None if is_lagging => {
                let lag_ms = metrics.lag_us / 1000;
                let text = format!("the router was late by {lag_ms} ms: it can't keep deadlines");
                events.push(event(now, Severity::Warning, None, text));
                self.lagging_since = Some(now);
            }
            Some(since) if !is_lagging && now >= since + LAG_EVENT_INTERVAL => self.lagging_since = None,
            _ => {}
        }
    }
}

/// The number of requests since the start that were rejected or failed.
fn lost_requests(metrics: &RouterMetrics) -> u64 {
    metrics.rejected + metrics.failed
}
