//! The platform's protocol, without I/O and without a clock: HTTP/1.1 heads and bodies with strict framing, and what
//! clients, workers and the catalogue mean by them. `docs/protocols/platform.md` describes it.
//!
//! Only this crate knows the platform's names. Nothing here decides: it says what a message is, never what to do.

pub mod ask;
pub mod body;
pub mod catalogue;
pub mod config;
pub mod events;
pub mod head;
pub mod worker;
