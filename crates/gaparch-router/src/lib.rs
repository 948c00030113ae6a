//! The running router: a core without I/O, and the tokio shell around it.
//!
//! [`core::Core`] takes requests from arrival to their final answer, as a state machine around the scheduler:
//! timed inputs go in; frames, answers and timers come out. It opens no socket, reads no clock and runs no
//! thread, so the test bed can run the same code in virtual time. [`shell`] runs it over real sockets: one
//! task owns the core; connections run on all CPU cores and talk to it through bounded channels.

#![warn(missing_docs)]

pub mod core;
pub mod memory;
pub mod shell;

pub use crate::core::{Core, Input, Output};
pub use shell::{serve, RouterHandle, ServeError};
