//! What went over the sockets, as the stand-ins and the load saw it, on one clock.

use gaparch_engine::observe::{Note, Observer, Way};
use gaparch_engine::ConnId;
use gaparch_protocol::engine::{AttemptKey, EngineFrame, Peer, RouterRun};
use gaparch_scheduler::api::{Nanos, ServerState};
use std::sync::{Arc, Mutex, PoisonError};

/// A request as the load numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask(pub u64);

/// What a frame said, without its texts.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    Hello {
        run: RouterRun,
        router: String,
    },
    Read {
        key: AttemptKey,
        class: u16,
    },
    Write {
        key: AttemptKey,
        class: u16,
    },
    Reserve {
        key: AttemptKey,
    },
    Cancel {
        key: AttemptKey,
    },
    Release {
        request: u64,
    },
    ReadDone {
        key: AttemptKey,
    },
    Tokens {
        key: AttemptKey,
        count: u16,
    },
    /// `not_run`: it proves that the attempt had no effect.
    Outcome {
        key: AttemptKey,
        ok: bool,
        not_run: bool,
    },
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served {
        tokens: u32,
    },
    Refused {
        harmless: bool,
    },
    Failed,
    /// The connection broke without an answer.
    Broken,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    Frame {
        engine: String,
        conn: ConnId,
        way: Way,
        seen: Seen,
    },
    Note {
        engine: String,
        note: Note,
    },
    /// A trouble of an engine's link begins or ends: of its link with one router, or with all.
    Cut {
        engine: String,
        router: Option<String>,
        cut: bool,
    },
    /// A trouble of the links between a router and its clients begins or ends.
    ClientsCut {
        router: String,
        cut: bool,
    },
    /// The list service wrote this to that router.
    Listed {
        router: String,
        engine: String,
        state: ServerState,
    },
    /// An operator's drain was ordered there, or taken back.
    Ordered {
        router: String,
        engine: String,
        drained: bool,
    },
    RouterKilled {
        router: String,
    },
    /// It was stopped for a while, or goes on: what came to it meanwhile it could not know.
    RouterStopped {
        router: String,
        stopped: bool,
    },
    Asked {
        ask: Ask,
        router: String,
        class: usize,
        tenant: usize,
        deadline: Nanos,
        aim: Nanos,
    },
    /// The router has named the request.
    Named {
        ask: Ask,
        run: RouterRun,
        request: u64,
    },
    First {
        ask: Ask,
    },
    Ended {
        ask: Ask,
        end: End,
    },
    /// Something came after the last event.
    After {
        ask: Ask,
    },
    /// The client left by itself.
    Left {
        ask: Ask,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub at: Nanos,
    pub what: What,
}

/// Collects entries from all sides.
#[derive(Clone, Debug, Default)]
pub struct Record {
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Record {
    pub fn add(&self, at: Nanos, what: What) {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).push(Entry { at, what });
    }

    /// Begins anew: a measurement must not pay for the memory of the one before.
    pub fn forget(&self) {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// All entries so far, in the order of their times.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
        entries.sort_by_key(|e| e.at);
        entries
    }
}

impl Observer for Record {
    fn frame(&self, at: Nanos, engine: &str, conn: ConnId, way: Way, frame: &EngineFrame) {
        let seen = match frame {
            EngineFrame::Hello { peer: Peer::Router { run, name }, .. } => {
                Seen::Hello { run: *run, router: name.clone() }
            }
            EngineFrame::Prefill(job) => Seen::Read { key: job.key, class: job.class },
            EngineFrame::Decode { job, .. } => Seen::Write { key: job.key, class: job.class },
            EngineFrame::Reserve { job, .. } => Seen::Reserve { key: job.key },
            EngineFrame::Cancel(key) => Seen::Cancel { key: *key },
            EngineFrame::Release { request } => Seen::Release { request: *request },
            EngineFrame::PrefillDone { key, .. } => Seen::ReadDone { key: *key },
            EngineFrame::Tokens { key, count, .. } => Seen::Tokens { key: *key, count: *count },
            EngineFrame::Outcome { key, status, .. } => Seen::Outcome {
                key: *key,
                ok: *status == gaparch_scheduler::api::AttemptStatus::Ok,
                not_run: *status == gaparch_scheduler::api::AttemptStatus::Rejected,
            },
            _ => return,
        };
        self.add(at, What::Frame { engine: engine.to_owned(), conn, way, seen });
    }

    fn note(&self, at: Nanos, engine: &str, note: Note) {
        self.add(at, What::Note { engine: engine.to_owned(), note });
    }
}
