//! Hollow routers: many decision modules with their full state, in one process and in virtual time, before workers that
//! are modelled. Nothing of a router's decisions is replaced; sockets, streams and clients are.

mod choosers;
mod entries;
mod fleet;
mod traffic;
mod workers;

pub use entries::{list, server_of, settings, shape, Shape};
pub use fleet::{play, Chooser, Day, Fault, Played, StruckAttempt};
