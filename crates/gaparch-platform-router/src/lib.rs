//! The router that runs on the platform: a tokio shell around the router core, which drives the scheduler.
//!
//! A single task, the owner, holds the core. Each client connection, worker exchange and worker call is a
//! task of its own that exchanges messages with the owner. The shell makes no scheduling decisions: it sends
//! a request where the core says, and reports the outcome to the core with the time at which it was seen on
//! the socket.
//!
//! Every queue and table is bounded:
//!
//! - Requests waiting for the owner: as many as there may be client connections. When the queue is full the
//!   client waits; the owner never learns of a client that disconnects meanwhile.
//! - Other messages to the owner: a few for each descriptor. This queue can't fill up, since every sender
//!   holds a descriptor.
//! - Gossip from other routers: [`gossip::QUEUE_LENGTH`] messages. Further ones are dropped and counted.
//! - Client connections: their share of the descriptors. When it is used up, an idle connection is closed
//!   (unused ones first, then the one idle longest). If that frees no descriptor in time, the new connection
//!   is closed.
//! - Connections to workers: their share of the descriptors. When it is used up, an idle connection is
//!   closed; if none is idle, the attempt fails to connect.
//! - Event batches waiting for one client: [`client::STREAM_QUEUE_LENGTH`], and their bytes by its share of the
//!   memory limit. When the queue is full, the router stops reading from the worker.
//! - Request bodies: the share of the memory limit that [`gaparch_scheduler::policy::memory`] gives them. When it
//!   is used up, further bodies are not read yet; those that wait too long are rejected.
//! - Bytes that a client sends ahead of a response: [`client::MAX_BYTES_AHEAD`]. Further bytes are read and
//!   dropped, and the connection closes after the response; beyond a second limit the client counts as
//!   disconnected.

#![warn(missing_docs)]

mod buffered_socket;
mod client;
mod close_reason;
mod core_config;
mod descriptor_budget;
mod discovery;
mod event_loop;
mod forwarded_request;
mod gossip;
mod memory_pools;
mod messages;
mod owner;
mod ready_workers;
mod run;
mod shared_state;
mod stream_queue;
mod sync;
#[cfg(test)]
mod test_support;
mod timeouts;
mod transient_errors;
mod used_transactions;
mod worker;

pub use run::{run, serve, Command, RouterError};
