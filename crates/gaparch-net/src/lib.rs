//! What the shells share: a clock that never goes back, and sockets that carry frames.

mod clock;
mod framed;

pub use clock::Clock;
pub use framed::{write_frames, FrameReader, ReadError};
