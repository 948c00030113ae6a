//! Writes that the system takes in pieces, interrupts and has no buffers for.

use super::write_all;
use rustix::io::Errno;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::AsyncWrite;

/// Takes one byte at a time, and fails in between as often as it has errors.
#[derive(Default)]
struct Grudging {
    taken: Vec<u8>,
    errors: Vec<Errno>,
}

impl AsyncWrite for Grudging {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if let Some(errno) = self.errors.pop() {
            return Poll::Ready(Err(errno.into()));
        }
        self.taken.push(bytes[0]);
        Poll::Ready(Ok(1))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

#[tokio::test]
async fn what_is_interrupted_or_short_of_buffers_is_written_whole() {
    let mut to = Grudging {
        errors: vec![Errno::INTR, Errno::NOBUFS, Errno::INTR, Errno::NOMEM],
        ..Default::default()
    };
    write_all(&mut to, &mut &b"answer"[..]).await.expect("written");
    assert_eq!(to.taken, b"answer");
}

#[tokio::test]
async fn a_broken_connection_is_no_moment() {
    for errno in [Errno::CONNRESET, Errno::PIPE, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
        let mut to = Grudging { errors: vec![errno], ..Default::default() };
        let error = write_all(&mut to, &mut &b"answer"[..]).await.expect_err("broken");
        assert_eq!(Errno::from_io_error(&error), Some(errno));
        assert!(to.taken.is_empty());
    }
}
