//! Events from what a router observes of its engines and of itself.
//!
//! [`Monitor`] compares each observation with the last one and owns what it remembers of them.

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

/// A fault is over once it has not been observed for this long. So an engine that fails and recovers ten times a
/// minute has one fault and not twenty events.
const FAULT_CLEARED_AFTER: u64 = 2 * SECOND;

/// Turns observations into events: faults of engines, their restarts and changes of state, and periods in which
/// requests are not served.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    engines: BTreeMap<String, EngineMonitor>,
    router: RouterMonitor,
}

impl Monitor {
    /// Takes an observation of the router and all engines. `drain` says how an engine is out of service by an operator's
    /// order.
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
