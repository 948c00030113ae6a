//! The platform's protocol, without I/O and without a clock: HTTP/1.1 heads and bodies with strict framing,
//! and the meaning of the messages of clients, workers and the discovery service. The protocol is described
//! in `docs/protocols/platform.md`.
//!
//! Only this crate knows the names that the platform uses. It states what a message means, but not how to
//! react to it, and has no state except that of a decoder.

#![warn(missing_docs)]

pub mod body;
pub mod client_request;
pub mod config;
pub mod endpoint_list;
pub mod event_stream;
pub mod head;
pub mod worker;
