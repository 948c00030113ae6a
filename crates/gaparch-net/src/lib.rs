//! System interfaces shared by the programs: a monotonic clock, signals, framed sockets, key files, and the
//! client of the operations protocol.

#![warn(missing_docs)]

mod clock;
mod framed;
mod key;
mod operations;
mod signals;

pub use clock::Clock;
pub use framed::{write_frames, FrameReader, ReadError};
pub use key::{read_key, KeyError, MIN_KEY_BYTES};
pub use operations::{Credentials, Incoming, OperationsAddress, OpsClient, OpsError};
pub use signals::{Signal, Signals};
