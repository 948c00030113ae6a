//! Clients: the listener accepts their connections within the budget of descriptors, and each is served by a task of its own.

mod connection;
mod idle_connections;
mod listener;
mod request;
mod response;

pub(crate) use listener::accept;

use gaparch_platform_protocol::body::MAX_BODY_BYTES;
use std::time::Duration;

/// Parts of a stream that wait for one client.
pub(crate) const STREAM_QUEUE_LENGTH: usize = 32;
/// Bytes kept that a client sends ahead of a response: one more request of any size.
pub(crate) const MAX_BYTES_AHEAD: usize = MAX_BODY_BYTES + 32 * 1024;
/// How long a new connection waits for the descriptor of an idle one that was asked to close.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(200);
