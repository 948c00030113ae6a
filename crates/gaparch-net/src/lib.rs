//! What the shells share: a clock that never goes back, signals, sockets that carry frames, operators' keys, and their side
//! of the operations protocol.

mod clock;
mod framed;
mod key;
mod operations;
mod signals;

pub use clock::Clock;
pub use framed::{write_frames, FrameReader, ReadError};
pub use key::{read_key, KeyError, LEAST_KEY};
pub use operations::{Credentials, Incoming, OpsClient, OpsError, Place};
pub use signals::{Signal, Signals};
