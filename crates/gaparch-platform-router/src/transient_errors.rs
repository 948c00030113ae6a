//! System calls that fail for a moment, as Linux documents them, and writes that survive such failures.

use bytes::Buf;
use gaparch_scheduler::policy::connect::ConnectFailure;
use rustix::io::Errno;
use std::io::{self, IoSlice};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Delay before a call for which the system had no memory is retried.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Most parts of a message that one call writes.
const MAX_SLICES: usize = 4;

/// Whether the call can do nothing now; the poller says when it can.
pub(crate) fn would_block(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock
}

/// Whether a signal interrupted the call: nothing was done, and nothing is wrong.
pub(crate) fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// Whether the system had no memory or buffer for the call. The connection is as it was.
pub(crate) fn lacks_memory(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::NOBUFS | Errno::NOMEM))
}

/// Classifies why a connection could not be made: for a reason on this machine, on the way, or at the other side.
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

/// A socket that is written to until it would block. A call that writes less than it was given does not say whether there is
/// space for the rest.
pub(crate) trait WriteSocket {
    /// Waits until a write may succeed.
    async fn writable(&self) -> io::Result<()>;

    /// Writes what the system takes at once.
    fn try_write_vectored(&self, slices: &[IoSlice<'_>]) -> io::Result<usize>;
}

impl WriteSocket for TcpStream {
    async fn writable(&self) -> io::Result<()> {
        TcpStream::writable(self).await
    }

    fn try_write_vectored(&self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        TcpStream::try_write_vectored(self, slices)
    }
}

/// Writes all bytes, however many the system takes at a time and however often it is interrupted.
///
/// # Errors
/// When the connection is broken.
pub(crate) async fn write_all(socket: &impl WriteSocket, bytes: &mut impl Buf) -> io::Result<()> {
    while bytes.has_remaining() {
        socket.writable().await?;
        let mut slices = [IoSlice::new(&[]); MAX_SLICES];
        let count = bytes.chunks_vectored(&mut slices);
        match socket.try_write_vectored(&slices[..count]) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(length) => bytes.advance(length),
            Err(error) if would_block(&error) => {}
            Err(error) if is_interrupted(&error) => tokio::task::yield_now().await,
            Err(error) if lacks_memory(&error) => sleep(RETRY_DELAY).await,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

#[cfg(test)]
#[path = "transient_errors_tests.rs"]
mod tests;
