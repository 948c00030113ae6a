//! Client connections: the listener accepts them within the descriptor budget, and a separate task serves
//! each of them.

mod connection;
mod idle_connections;
mod listener;
mod request;
mod request_body;
mod response;
mod response_trace;
mod statistics;

pub(crate) use listener::accept;
pub(crate) use statistics::ClientStatistics;

use gaparch_platform_protocol::body::MAX_BODY_BYTES;
use std::time::Duration;

/// Maximum number of stream parts that wait for one client.
pub(crate) const STREAM_QUEUE_LENGTH: usize = 32;
/// Maximum number of bytes kept that a client sends ahead of a response: enough for one more request of any
/// size.
pub(crate) const MAX_BYTES_AHEAD: usize = MAX_BODY_BYTES + 32 * 1024;
/// How long a new connection waits for the descriptor of an idle connection that was asked to close.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(200);
