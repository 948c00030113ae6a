//! Detects the events of one engine.

use super::fault::{faults, Fault, FaultPeriod};
use super::{event, text, FAULT_CLEARED_AFTER};
use crate::engine_state::restart_warning;
use crate::registry::EngineDrain;
use gaparch_protocol::ops::view::{EngineState, EngineView, Event, Severity};
use std::collections::BTreeMap;

/// Maximum number of simultaneous faults of one engine; further faults are not reported.
const MAX_FAULTS: usize = 64;

/// The monitored state of one engine.
#[derive(Clone, Debug)]
pub(super) struct EngineMonitor {
    state: EngineState,
    started_at: Option<u64>,
    faults: BTreeMap<Fault, FaultPeriod>,
}

impl EngineMonitor {
    /// Starts to monitor an engine with its first observation.
    pub fn new(engine: &EngineView) -> EngineMonitor {
        EngineMonitor { state: engine.state, started_at: engine.started_at, faults: BTreeMap::new() }
    }

    /// Processes an observation and appends the resulting events.
    pub fn observe(
        &mut self,
        now: u64,
        engine: &EngineView,
        drain: &impl Fn(&str) -> Option<EngineDrain>,
        events: &mut Vec<Event>,
    ) {
        self.observe_state(now, engine, events);
        self.observe_restart(now, engine, drain, events);
        self.observe_faults(now, engine, events);
        self.end_faults(now, engine, events);
    }

    fn observe_state(&mut self, now: u64, engine: &EngineView, events: &mut Vec<Event>) {
        if self.state != engine.state {
            let text = format!("{} (it was {})", text::state_text(engine.state), self.state);
            events.push(event(now, Severity::Info, Some(&engine.name), text));
            self.state = engine.state;
        }
    }

    fn observe_restart(
        &mut self,
        now: u64,
        engine: &EngineView,
        drain: &impl Fn(&str) -> Option<EngineDrain>,
        events: &mut Vec<Event>,
    ) {
        if self.started_at >= engine.started_at {
            return;
        }
        // The first report of a start time is not a restart.
        let is_restart = self.started_at.is_some();
        let warning = drain(&engine.name).and_then(|drain| restart_warning(drain, engine.started_at));
        if let Some(text) = warning {
            events.push(event(now, Severity::Warning, Some(&engine.name), text));
        } else if is_restart {
            events.push(event(now, Severity::Info, Some(&engine.name), "a new process: it is in slow start"));
        }
        self.started_at = engine.started_at;
    }

    fn observe_faults(&mut self, now: u64, engine: &EngineView, events: &mut Vec<Event>) {
        for fault in faults(engine) {
            if let Some(period) = self.faults.get_mut(&fault) {
                period.last_observed_at = now;
            } else if self.faults.len() < MAX_FAULTS {
                let text = text::fault_start_text(&fault, engine);
                events.push(event(now, Severity::Fault, Some(&engine.name), text));
                self.faults.insert(fault, FaultPeriod::new(now, engine));
            }
        }
    }

    fn end_faults(&mut self, now: u64, engine: &EngineView, events: &mut Vec<Event>) {
        self.faults.retain(|fault, period| {
            let is_ongoing = now < period.last_observed_at.saturating_add(FAULT_CLEARED_AFTER);
            if !is_ongoing {
                let text = text::fault_end_text(fault, period, engine);
                events.push(event(now, Severity::Info, Some(&engine.name), text));
            }
            is_ongoing
        });
    }
}
