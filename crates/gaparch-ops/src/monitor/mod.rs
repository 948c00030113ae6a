//! Derives events from a router's observations of its engines and of itself.
//!
//! [`Monitor`] compares each observation with the state that it keeps from earlier ones.

mod engine;
mod fault;
mod router;
mod text;

pub use text::duration_text;

use crate::registry::EngineDrain;
use crate::SECOND;
use engine::EngineMonitor;
use gaparch_protocol::ops::view::{EngineView, Event, RouterMetrics, Severity};
use router::RouterMonitor;
use std::collections::BTreeMap;

/// A fault has ended once it has not been observed for this long. An engine that fails and recovers ten times
/// a minute then has one fault instead of twenty events.
const FAULT_CLEARED_AFTER: u64 = 2 * SECOND;

/// Turns observations into events: faults, restarts and state changes of engines, periods in which requests
/// are not served, and lag of the router.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    engines: BTreeMap<String, EngineMonitor>,
    router: RouterMonitor,
}

impl Monitor {
    /// Processes an observation of the router and all engines, and returns the resulting events. `drain`
    /// returns the operator's order that keeps an engine out of service.
    pub fn observe(
        &mut self,
        metrics: &RouterMetrics,
        engines: &[EngineView],
        drain: impl Fn(&str) -> Option<EngineDrain>,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        for engine in engines {
            let monitor = self.engines.entry(engine.name.clone());
            let monitor = monitor.or_insert_with(|| EngineMonitor::new(engine));
            monitor.observe(metrics.at, engine, &drain, &mut events);
        }
        self.router.observe(metrics, &mut events);
        events
    }
}

fn event(at: u64, severity: Severity, engine: Option<&str>, text: impl Into<String>) -> Event {
    Event { at, severity, engine: engine.map(str::to_owned), text: text.into() }
}
