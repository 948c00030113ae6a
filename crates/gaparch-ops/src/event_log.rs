//! The latest events, in memory.

use gaparch_protocol::ops::view::Event;
use std::collections::VecDeque;

/// The most events in memory; past it the oldest is dropped.
const MAX_EVENTS: usize = 10_000;

/// The latest events, in the order in which they happened.
#[derive(Clone, Debug, Default)]
pub struct EventLog {
    events: VecDeque<Event>,
}

impl EventLog {
    /// Adds an event.
    pub fn push(&mut self, event: Event) {
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// The latest events since a time, at most `max`, of one engine or of all; the last one last.
    pub fn latest(&self, engine: Option<&str>, since: u64, max: usize) -> Vec<Event> {
        let is_wanted = |event: &&Event| {
            let is_of_engine = engine.is_none_or(|name| event.engine.as_deref() == Some(name));
            event.at >= since && is_of_engine
        };
        let mut events: Vec<Event> = self.events.iter().rev().filter(is_wanted).take(max).cloned().collect();
        events.reverse();
        events
    }
}
