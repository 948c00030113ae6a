//! The router in service on the platform: a tokio shell around the one core that drives the decision module.
//!
//! One task, the owner, has the core. Every client connection, exchange with a worker and call is a task of its own
//! and talks to the owner in messages. Nothing here decides: a request goes where the core says, and the core hears
//! what came of it, with the time at which it was seen on the socket.
//!
//! | queue or table | bound | full |
//! | --- | --- | --- |
//! | requests that wait for the owner | as many as clients may be connected | the client waits; one that leaves is never told of |
//! | other messages to the owner | a few for each descriptor | can't be: who sends them holds a descriptor |
//! | messages of other routers | [`peers::WAITING`] | dropped and counted |
//! | client connections | their part of the descriptors | the one idle for longest is closed, else the new one |
//! | connections to workers | their part | an idle one is closed, else the attempt could not connect |
//! | runs of events to one client | [`client::PIECES`] | its worker is not read from |
//! | bytes ahead of an answer from a client | [`client::AHEAD`] | read and dropped, and its connection closes with the answer; past a bound it counts as gone |

mod budget;
mod client;
mod discovery;
mod link;
mod owner;
mod peers;
mod ready_workers;
mod run;
mod settings;
mod shared;
#[cfg(test)]
mod test_support;
mod transient;
mod worker;

pub use run::{run, serve, NodeError, Order};
