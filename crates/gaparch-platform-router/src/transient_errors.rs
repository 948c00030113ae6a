//! Transient failures of system calls as documented for Linux, and writes that retry them.

use bytes::Buf;
use gaparch_scheduler::policy::connect::ConnectFailure;
use rustix::io::Errno;
use std::io::{self, IoSlice};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Delay before retrying a call that failed for lack of memory.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Maximum number of slices passed to one vectored write.
const MAX_SLICES: usize = 4;

/// Whether the call would block; the poller reports when it can be repeated.
pub(crate) fn would_block(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::WouldBlock
}

/// Whether a signal interrupted the call before it did anything.
pub(crate) fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// Whether the system lacked memory or buffer space for the call. The connection is unaffected.
pub(crate) fn lacks_memory(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::NOBUFS | Errno::NOMEM))
}

/// Classifies a connect error by its cause: on this machine, in the network, or at the remote side.
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

/// A socket that is written to until it would block. A short write alone does not mean that there is no space
/// for the rest.
pub(crate) trait WriteSocket {
    /// Waits until a write may succeed.
    async fn writable(&self) -> io::Result<()>;

    /// Writes as many bytes as the system accepts in one call.
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

/// Writes all bytes, handling short writes and retrying transient failures.
///
/// # Errors
/// Returns an error if the connection is broken.
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
