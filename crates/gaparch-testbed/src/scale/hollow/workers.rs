//! Modelled workers: readers with one queue and a bounded memory of beginnings, writers with a bounded memory of
//! streams.

use super::super::layout::cell_of;
use super::super::settings::MEMORY;
use gaparch_scheduler::api::{AffinityKey, Nanos};
use std::collections::HashMap;

const MS: f64 = 1e6;
/// Tokens that a reader reads a second.
const READ_PER_S: f64 = 100_000.0;
/// For a read besides its tokens.
const READ_BASE_MS: f64 = 2.0;
/// Beginnings that a reader keeps.
const KEPT: usize = 48;
/// From the state to the first token, in the reader's cell and out of it.
const NEAR_MS: f64 = 10.0;
const FAR_MS: f64 = 60.0;
/// Between two tokens, at an empty writer and what a full one adds.
const TOKEN_MS: f64 = 18.0;
const TOKEN_FULL_MS: f64 = 10.0;

#[derive(Debug)]
pub(super) struct Reader {
    /// Until when it has work.
    busy_until: Nanos,
    kept: HashMap<AffinityKey, Nanos>,
    /// Reads that it was asked for.
    pub asked: u64,
}

/// How a read goes.
pub(super) struct Read {
    pub done_at: Nanos,
    pub kept: f64,
}

impl Reader {
    pub fn new() -> Reader {
        Reader { busy_until: 0, kept: HashMap::new(), asked: 0 }
    }

    /// Tokens of a beginning that need not be read again.
    pub fn keeps(&self, beginning: Option<AffinityKey>, tokens: f64) -> f64 {
        let known = beginning.is_some_and(|key| self.kept.contains_key(&key));
        if known {
            tokens
        } else {
            0.0
        }
    }

    /// When a read of so many tokens would be done.
    pub fn would_end(&self, now: Nanos, tokens: f64, slower: f64) -> Nanos {
        let took = (READ_BASE_MS * MS + tokens / READ_PER_S * 1e9) * slower;
        self.busy_until.max(now) + took as Nanos
    }

    pub fn read(
        &mut self,
        now: Nanos,
        beginning: Option<AffinityKey>,
        prompt: f64,
        shared: f64,
        slower: f64,
    ) -> Read {
        self.asked += 1;
        let kept = self.keeps(beginning, shared);
        let done_at = self.would_end(now, prompt - kept, slower);
        self.busy_until = done_at;
        if let Some(beginning) = beginning {
            self.keep(beginning, done_at);
        }
        Read { done_at, kept }
    }

    fn keep(&mut self, beginning: AffinityKey, at: Nanos) {
        self.kept.insert(beginning, at);
        if self.kept.len() > KEPT {
            let oldest = self.kept.iter().min_by_key(|(key, at)| (**at, key.0)).map(|(key, _)| *key);
            oldest.and_then(|key| self.kept.remove(&key));
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct Writer {
    pub held: f64,
}

/// How a write goes.
pub(super) struct Write {
    pub first_after: Nanos,
    pub done_after: Nanos,
}

impl Writer {
    /// Takes a stream of so many tokens of memory; `None`: it is full.
    pub fn write(&mut self, need: f64, answer: f64, near: bool, slower: f64) -> Option<Write> {
        if self.held + need > MEMORY {
            return None;
        }
        self.held += need;
        let first = if near { NEAR_MS } else { FAR_MS } * slower;
        let token = (TOKEN_MS + TOKEN_FULL_MS * self.held / MEMORY) * slower;
        let first_after = (first * MS) as Nanos;
        Some(Write { first_after, done_after: first_after + (token * answer * MS) as Nanos })
    }

    pub fn end(&mut self, need: f64) {
        self.held = (self.held - need).max(0.0);
    }
}

pub(super) fn same_cell(a: usize, b: usize) -> bool {
    cell_of(a) == cell_of(b)
}
