//! Codecs without I/O for everything gaparch says on a wire of its own.
//!
//! [`engine`] is the framed protocol between router and engine (and engine and engine), [`list`] the one of
//! the list service, [`fleet`] the datagrams between routers, [`versions`] what they tell one another of lists, [`ops`] the one between a router and its operators, [`client`] the messages API with its
//! dialects. Nothing here opens a socket or reads a
//! clock; bytes go in, values come out, and malformed bytes are an error, never a panic.

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
