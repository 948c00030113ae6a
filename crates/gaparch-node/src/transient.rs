//! System calls that fail for a moment, as Linux documents them, and what is done about it.

use bytes::Buf;
use gaparch::policy::connecting::ConnectFailure;
use rustix::io::Errno;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::sleep;

/// Between two tries of a call for which the system had no memory.
pub(crate) const PAUSE: Duration = Duration::from_millis(5);

/// A signal came in between: nothing was done, and nothing is wrong.
pub(crate) fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// The system had no memory or buffer for it now. The connection is as it was.
pub(crate) fn lacks_memory(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::NOBUFS | Errno::NOMEM))
}

/// Whether a connection was missed here or at the other side.
pub(crate) fn connect_failure(error: &io::Error) -> ConnectFailure {
    match Errno::from_io_error(error) {
        Some(
            Errno::MFILE
            | Errno::NFILE
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::ADDRNOTAVAIL
            | Errno::ADDRINUSE,
        ) => ConnectFailure::Local,
        Some(Errno::AGAIN | Errno::INTR) => ConnectFailure::Local,
        Some(Errno::NETDOWN | Errno::NETUNREACH | Errno::HOSTUNREACH) => ConnectFailure::NoRoute,
        _ => ConnectFailure::Remote,
    }
}

/// Writes all that is there, whatever pieces the system takes and however often it is interrupted.
///
/// # Errors
/// When the connection is broken.
pub(crate) async fn write_all<W: AsyncWrite + Unpin>(to: &mut W, bytes: &mut impl Buf) -> io::Result<()> {
    while bytes.has_remaining() {
        match to.write_buf(bytes).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(_) => {}
            Err(error) if is_interrupted(&error) => {}
            Err(error) if lacks_memory(&error) => sleep(PAUSE).await,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

#[cfg(test)]
#[path = "transient_tests.rs"]
mod tests;
