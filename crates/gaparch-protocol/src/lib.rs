//! Codecs of gaparch's protocols, without I/O.
//!
//! - [`engine`]: the framed protocol between routers and engines, and between engines
//! - [`list`]: the framed protocol of the list service, which provides the endpoint list
//! - [`ops`]: the framed protocol between a router and its operators
//! - [`fleet`]: the datagrams between routers
//! - [`versions`]: the payloads of these datagrams that replicate endpoint lists, orders and audit records
//! - [`client`]: the messages API and its dialects
//!
//! Nothing here opens a socket or reads a clock. Malformed bytes cause an error, never a panic.

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
