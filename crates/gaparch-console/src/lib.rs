//! The terminal console.
//!
//! [`app`] is what an operator sees and does, without I/O: it takes keys and what the router says, and gives
//! questions and orders. [`screen`] draws it. [`shell`] runs both on a terminal and a connection: keys and the
//! router are never held up by a terminal that is slow or not read at all. [`words`] is how things are called,
//! here and in the tables of `gaparch ctl`.

pub mod app;
pub mod screen;
pub mod shell;
pub mod words;
