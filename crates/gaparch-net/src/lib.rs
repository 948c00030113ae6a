//! What the shells share: a clock that never goes back, sockets that carry frames, and the operators' side of the
//! operations protocol.

mod clock;
mod framed;
mod operations;

pub use clock::Clock;
pub use framed::{write_frames, FrameReader, ReadError};
pub use operations::{Credentials, Incoming, OpsClient, OpsError, Place};
