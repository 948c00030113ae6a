//! Workers: one exchange for each attempt, on connections that carry one request at a time.

mod calls;
mod exchange;
mod pool;

pub(crate) use calls::{probe, release, reserve, Release};
pub(crate) use exchange::{exchange, Job};
pub(crate) use pool::{Pool, Target};
