//! What a stand-in saw, for whoever judges a run from outside.

use crate::model::ConnId;
use gaparch_protocol::engine::{AttemptKey, EngineFrame, RouterRun};
use gaparch_scheduler::api::Nanos;

/// Which way a frame went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    In,
    Out,
}

/// What happened inside an engine that no frame shows.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    Started,
    /// The process is gone.
    Ended,
    /// Pushed over while cold.
    Fell,
    /// A connection and the run of the router on it.
    Router {
        conn: ConnId,
        run: RouterRun,
    },
    ConnectionClosed {
        conn: ConnId,
    },
    /// An answer has begun to be made: an effect, if the class has any.
    Effect {
        run: RouterRun,
        key: AttemptKey,
    },
    /// A state waits here now, or no longer.
    StateHeld {
        run: RouterRun,
        request: u64,
        held: bool,
    },
    /// The same of a place held ahead.
    PlaceHeld {
        run: RouterRun,
        request: u64,
        held: bool,
    },
    /// Work that came in: seconds of all this engine can do when warm.
    Work {
        seconds: f64,
    },
}

/// Told of all that goes over a stand-in's sockets, at the time it does.
pub trait Observer: Send + Sync {
    fn frame(&self, at: Nanos, engine: &str, conn: ConnId, way: Way, frame: &EngineFrame);
    fn note(&self, at: Nanos, engine: &str, note: Note);
}

/// Looks away.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unobserved;

impl Observer for Unobserved {
    fn frame(&self, _: Nanos, _: &str, _: ConnId, _: Way, _: &EngineFrame) {}
    fn note(&self, _: Nanos, _: &str, _: Note) {}
}
