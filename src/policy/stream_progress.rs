//! How long a decode worker's stream may make no progress before it is cut off.
//!
//! A stream that is cut off while its worker is still writing is lost, and so is one whose client is left
//! waiting after the worker's last event. What counts as progress is therefore what the client gets: an
//! event, or a part of a long event that is passed on as it arrives. Bytes alone are none, since a worker
//! may send some without end.

use crate::api::Nanos;

/// Longest time from what the client got last to the next event, to the next part of a long event, or to
/// the end of the stream. Clients may be left waiting for 5 s; the rest is for a delay of this router.
pub const PROGRESS_TIMEOUT: Nanos = 4_600_000_000;
/// An event is passed on in parts of this many bytes at least.
pub const MIN_PART_BYTES: usize = 4 * 1024;
