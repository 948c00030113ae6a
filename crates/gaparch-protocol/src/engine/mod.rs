//! The engine protocol: router to engine, and engine to engine for the plain fetch of a read state.
//!
//! `docs/protocols/engine.md` describes it. Both sides open with [`Hello`](EngineFrame::Hello); a request's
//! attempts are named by the router's request id and attempt number, so one connection carries them all.

mod codec;

use gaparch_scheduler::api::{AttemptStatus, LoadReport, Role};

/// The version spoken here. A peer that says another one is refused with a [`Bye`](EngineFrame::Bye).
pub const VERSION: u16 = 1;

/// A run of a router's process: states and attempts of an earlier run are not its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterRun(pub u64);

/// One attempt at an engine, unique on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    pub request: u64,
    pub attempt: u32,
}

/// The name of a read state between engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StateKey {
    pub router: RouterRun,
    pub request: u64,
}

/// Who opens a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Peer {
    Router { run: RouterRun, name: String },
    Engine(EngineFacts),
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineFacts {
    /// Its name in the list.
    pub name: String,
    pub role: Role,
    /// Tokens of memory.
    pub memory: f64,
    pub zone: String,
    pub rack: String,
    /// When its process began, nanoseconds since the Unix epoch.
    pub started_at: u64,
}

/// What a request asks of an engine, the same for a read and a write.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    pub key: AttemptKey,
    pub class: u16,
    pub tenant: Option<u16>,
    /// Digest of the session, if it has one.
    pub session: Option<u64>,
    /// Digest of the shared beginning, if it has one.
    pub prefix: Option<u64>,
    /// Tokens; 0 where the client did not say.
    pub prompt_len: u32,
    pub prefix_len: u32,
    pub max_out: u32,
    /// Until when an answer is of use, from now on, in milliseconds; 0: no limit.
    pub patience_ms: u32,
    pub prompt: String,
}

/// Where a read state waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateAt {
    pub engine: String,
    pub address: String,
}

/// Why an engine has no state to give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoState {
    /// It was released, taken, or never there.
    Unknown,
    /// It is still being read.
    Unread,
}

#[derive(Clone, Debug, PartialEq)]
pub enum EngineFrame {
    /// First on every connection, in both directions.
    Hello { version: u16, peer: Peer },
    /// Router to engine: read the prompt and keep its state.
    Read(Job),
    /// Router to engine: write the answer, from the state that waits elsewhere, here, or from none.
    Write { job: Job, state: Option<StateAt> },
    /// Router to engine: nobody waits for this attempt any more.
    Cancel(AttemptKey),
    /// Router to engine: hold a slot and memory for the request whose read is out, and take its state from
    /// `from` as soon as it is read.
    Reserve { job: Job, from: StateAt },
    /// Router to engine: let go of every state and place held for the request.
    Release { request: u64 },
    /// Router to engine: answer when this would be served.
    Probe { nonce: u64 },
    /// Engine to router: the prompt is read and its state waits.
    ReadDone { key: AttemptKey, kept: u32, prompt_len: u32, report: Option<LoadReport> },
    /// Engine to router: tokens of the answer, of which `from` were sent before.
    Tokens { key: AttemptKey, from: u32, count: u16, text: String },
    /// Engine to router: the attempt has ended; never [`AttemptStatus::Prefilled`]. `note` is an `api::OutcomeNote`.
    Outcome { key: AttemptKey, status: AttemptStatus, note: u64, produced: u32, report: Option<LoadReport> },
    /// Engine to router: whether the place asked for is held.
    Reserved { key: AttemptKey, held: bool },
    /// Engine to router: answer to a probe.
    Probed { nonce: u64, report: Option<LoadReport> },
    /// Engine to router: a load report on its own.
    Report(LoadReport),
    /// Engine to engine: give me this state.
    Fetch { state: StateKey },
    /// Engine to engine: here it is; the giver has let it go.
    State { state: StateKey, tokens: u32, prompt: String },
    /// Engine to engine: there is none.
    Absent { state: StateKey, why: NoState },
    /// Either side, last on a connection: why it closes.
    Bye { reason: String },
}

impl EngineFrame {
    /// The attempt that the frame is about, if it is about one.
    pub fn attempt(&self) -> Option<AttemptKey> {
        match self {
            EngineFrame::Read(job) | EngineFrame::Write { job, .. } | EngineFrame::Reserve { job, .. } => {
                Some(job.key)
            }
            EngineFrame::Cancel(key)
            | EngineFrame::ReadDone { key, .. }
            | EngineFrame::Tokens { key, .. }
            | EngineFrame::Outcome { key, .. }
            | EngineFrame::Reserved { key, .. } => Some(*key),
            _ => None,
        }
    }
}
