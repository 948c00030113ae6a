//! What happened, in the order it did, bounded.

use gaparch_protocol::ops::view::Happening;
use std::collections::VecDeque;

/// Events kept in memory; the oldest goes.
pub const MOST_EVENTS: usize = 10_000;

#[derive(Clone, Debug, Default)]
pub struct Chronicle {
    events: VecDeque<Happening>,
}

impl Chronicle {
    pub fn add(&mut self, event: Happening) {
        if self.events.len() >= MOST_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// The last so many of one engine or of all from then on, the latest last.
    pub fn list(&self, engine: Option<&str>, since: u64, most: usize) -> Vec<Happening> {
        let of =
            |e: &&Happening| e.at >= since && engine.is_none_or(|name| e.engine.as_deref() == Some(name));
        let mut all: Vec<Happening> = self.events.iter().rev().filter(of).take(most).cloned().collect();
        all.reverse();
        all
    }
}
