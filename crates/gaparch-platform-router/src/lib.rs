//! The router in service on the platform: a tokio shell around the one core that drives the scheduler.
//!
//! One task, the owner, has the core. Each connection of a client, exchange with a worker and call is a task of its own and
//! talks to the owner in messages. Nothing here decides: a request goes where the core says, and the core is notified of
//! the outcome with the time at which it was seen on the socket.
//!
//! | queue or table | bound | when it is full |
//! | --- | --- | --- |
//! | requests that wait for the owner | as many as clients may be connected | the client waits; the owner is never notified of one that disconnects meanwhile |
//! | other messages to the owner | a few for each descriptor | can't be: who sends them holds a descriptor |
//! | gossip of other routers | [`gossip::QUEUE_LENGTH`] | dropped and counted |
//! | client connections | their part of the descriptors | the one idle for longest is closed, else the new one |
//! | connections to workers | their part of the descriptors | an idle one is closed, else the attempt could not connect |
//! | runs of events to one client | [`client::STREAM_QUEUE_LENGTH`] | its worker is not read from |
//! | bytes ahead of a response from a client | [`client::MAX_BYTES_AHEAD`] | read and dropped, and its connection closes with the response; past a bound it counts as disconnected |

#![warn(missing_docs)]

mod buffered_socket;
mod client;
mod close_reason;
mod core_config;
mod descriptor_budget;
mod discovery;
mod forwarded_request;
mod gossip;
mod messages;
mod owner;
mod ready_workers;
mod run;
mod shared_state;
mod sync;
#[cfg(test)]
mod test_support;
mod timeouts;
mod transient_errors;
mod worker;

pub use run::{run, serve, Order, RouterError};
