//! An in-memory log of the latest events.

use gaparch_protocol::ops::view::Event;
use std::collections::VecDeque;

/// Maximum number of events; the oldest is dropped to make space for a new one.
const MAX_EVENTS: usize = 10_000;

/// A bounded log of events in the order they happened.
#[derive(Clone, Debug, Default)]
pub struct EventLog {
    events: VecDeque<Event>,
}

impl EventLog {
    /// Appends an event.
    pub fn push(&mut self, event: Event) {
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Returns the latest events since a time, at most `max` of them, oldest first. `engine` restricts them
    /// to one engine.
    pub fn latest(&self, engine: Option<&str>, since: u64, max: usize) -> Vec<Event> {
        let matches = |event: &&Event| {
            let matches_engine = engine.is_none_or(|name| event.engine.as_deref() == Some(name));
            event.at >= since && matches_engine
        };
        let mut events: Vec<Event> = self.events.iter().rev().filter(matches).take(max).cloned().collect();
        events.reverse();
        events
    }
}
