//! Codecs without I/O for gaparch's own protocols.
//!
//! [`engine`] is the framed protocol between router and engine (and between engines), [`list`] the one of the list
//! service, [`ops`] the one between a router and its operators, [`fleet`] the datagrams between routers, [`versions`]
//! what these say of endpoint lists and orders, [`client`] the messages API with its dialects. Nothing here opens a
//! socket or reads a clock; bytes go in, values come out, and malformed bytes are an error, never a panic.

#![warn(missing_docs)]

pub mod client;
pub mod engine;
pub mod fleet;
pub mod frame;
pub mod list;
mod named_enum;
pub mod ops;
pub mod versions;
mod wire;

pub use bytes::BytesMut;
pub use frame::{FrameDecoder, FrameError, DEFAULT_MAX_FRAME};
pub use winnow::ModalResult;
pub use wire::Wire;
