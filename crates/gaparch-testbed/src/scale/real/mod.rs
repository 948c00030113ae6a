//! Real routers in service: processes of the built program, with a catalogue and workers that stand in for the
//! platform's.

mod catalogue;
mod clients;
mod node;
pub(crate) mod wire;
mod workers;

pub use catalogue::{watch_once, ListedWorker, ScaleCatalogue};
pub use clients::{load, Loaded};
pub use node::{NodeProcess, NodeUsage};
pub use workers::{AnswerPace, HollowWorkers, WorkerCounts};
