//! Communication with workers: one exchange per attempt, plus calls such as probes and releases, on
//! connections that carry one request at a time.

mod call;
mod exchange;
mod pool;
mod probe;
mod release;
mod reserve;

pub(crate) use exchange::{exchange, Attempt};
pub(crate) use pool::{ConnectionPool, WorkerProcess};
pub(crate) use probe::probe;
pub(crate) use release::{release, Release};
pub(crate) use reserve::{reserve, ReservationRequest};
