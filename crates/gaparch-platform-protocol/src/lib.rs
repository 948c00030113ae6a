//! The platform's protocol, without I/O and without a clock: HTTP/1.1 heads and bodies with strict framing, and the
//! meaning of the messages of clients, workers and the discovery service. `docs/protocols/platform.md` describes it.
//!
//! Only this crate knows the platform's names. It states what a message means, never what to do about it, and holds no
//! state beyond that of a decoder.

#![warn(missing_docs)]

pub mod body;
pub mod client_request;
pub mod config;
pub mod endpoint_list;
pub mod event_stream;
pub mod head;
pub mod worker;
