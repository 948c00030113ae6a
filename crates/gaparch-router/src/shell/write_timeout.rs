//! A client's socket with a timeout on writes that make no progress.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

/// A socket whose write fails with `TimedOut` after it has made no progress for `timeout`, since the client
/// does not read.
pub(super) struct WriteTimeout {
    socket: TcpStream,
    timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeout {
    pub fn new(socket: TcpStream, timeout: Duration) -> WriteTimeout {
        WriteTimeout { socket, timeout, timer: None }
    }

    fn check_progress<T>(&mut self, cx: &mut Context<'_>, poll: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            self.timer = None;
            return poll;
        }
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for WriteTimeout {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteTimeout {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let poll = Pin::new(&mut this.socket).poll_write(cx, buf);
        this.check_progress(cx, poll)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let poll = Pin::new(&mut this.socket).poll_write_vectored(cx, bufs);
        this.check_progress(cx, poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_shutdown(cx)
    }
}
