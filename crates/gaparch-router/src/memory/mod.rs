//! Memory for the bytes of messages, bounded in sum.

mod pool;
mod progress_check;

pub use pool::{MemoryPool, Reservation};
pub use progress_check::ProgressCheck;
