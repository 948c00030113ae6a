//! System calls that fail for a moment, as Linux documents them, and what is done about it.

use bytes::Buf;
use gaparch_scheduler::policy::connect::ConnectFailure;
use rustix::io::Errno;
use std::io::{self, IoSlice};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Between two tries of a call for which the system had no memory.
pub(crate) const PAUSE: Duration = Duration::from_millis(5);

/// Parts of a message that go out in one call.
const PIECES: usize = 4;

/// Nothing can be done now: the next event says when.
pub(crate) fn would_block(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock
}

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

/// A socket that is written to until it would block. A call that takes less than it was given says nothing of whether there
/// is room for the rest.
pub(crate) trait WriteSocket {
    /// Waits until a write may do something.
    async fn writable(&self) -> io::Result<()>;

    /// Writes what is taken at once.
    fn try_write_vectored(&self, pieces: &[IoSlice<'_>]) -> io::Result<usize>;
}

impl WriteSocket for TcpStream {
    async fn writable(&self) -> io::Result<()> {
        TcpStream::writable(self).await
    }

    fn try_write_vectored(&self, pieces: &[IoSlice<'_>]) -> io::Result<usize> {
        TcpStream::try_write_vectored(self, pieces)
    }
}

/// Writes all that is there, whatever pieces the system takes and however often it is interrupted.
///
/// # Errors
/// When the connection is broken.
pub(crate) async fn write_all(to: &impl WriteSocket, bytes: &mut impl Buf) -> io::Result<()> {
    while bytes.has_remaining() {
        to.writable().await?;
        let mut pieces = [IoSlice::new(&[]); PIECES];
        let count = bytes.chunks_vectored(&mut pieces);
        match to.try_write_vectored(&pieces[..count]) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => bytes.advance(n),
            Err(error) if would_block(&error) => {}
            Err(error) if is_interrupted(&error) => tokio::task::yield_now().await,
            Err(error) if lacks_memory(&error) => sleep(PAUSE).await,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

#[cfg(test)]
#[path = "transient_tests.rs"]
mod tests;
