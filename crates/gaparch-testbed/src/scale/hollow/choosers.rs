//! The two choosers that are no module: what a choice could reach that sees all, and what chance gives.

use super::super::layout::is_reader;
use super::entries::server_of;
use super::fleet::{Chooser, Fleet};
use gaparch_scheduler::api::{AttemptStatus, Event, RequestId};

impl Fleet {
    fn lot(&mut self, below: usize) -> usize {
        self.lots = self.lots.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.lots >> 33) % below.max(1) as u64) as usize
    }

    fn workers_of(&self, reads: bool) -> impl Iterator<Item = usize> + '_ {
        (0..self.day.shape.workers).filter(move |worker| is_reader(*worker) == reads)
    }

    pub(super) fn choose_reader(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id.0) else { return };
        let (beginning, shared, prompt) = (open.beginning, open.shared, open.prompt);
        let chosen = match self.day.chooser {
            Chooser::Random => self.lot(self.day.shape.workers.div_ceil(3)) * 3,
            _ => {
                let end = |worker: &usize| {
                    let reader = &self.readers[*worker];
                    let unread = prompt - reader.keeps(beginning, shared);
                    reader.would_end(self.now, unread, self.slower(*worker))
                };
                self.workers_of(true).filter(|w| !self.is_dead(*w)).min_by_key(end).unwrap_or(0)
            }
        };
        self.send(id, server_of(chosen));
    }

    fn choose_writer(&mut self, id: RequestId) {
        let chosen = match self.day.chooser {
            Chooser::Random => {
                let lot = self.lot(self.day.shape.workers - self.day.shape.workers.div_ceil(3));
                // Two of three are writers.
                lot / 2 * 3 + 1 + lot % 2
            }
            _ => {
                let held = |a: &usize, b: &usize| self.writers[*a].held.total_cmp(&self.writers[*b].held);
                self.workers_of(false).filter(|w| !self.is_dead(*w)).min_by(held).unwrap_or(1)
            }
        };
        self.send(id, server_of(chosen.min(self.day.shape.workers - 1)));
    }

    /// What a chooser that is no module does with an event.
    pub(super) fn settle(&mut self, event: Event) {
        if !self.wanted(&event) {
            return;
        }
        let Event::AttemptFinished(outcome) = event else { return };
        match outcome.status {
            AttemptStatus::Prefilled => self.choose_writer(outcome.id),
            AttemptStatus::Ok => drop(self.open.remove(&outcome.id.0)),
            // Neither tries again.
            _ => self.give_up(outcome.id, true),
        }
    }
}
