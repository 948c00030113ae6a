//! A client's socket for the HTTP server, with a timeout on writes that make no progress, and a notice of the client's
//! close. The HTTP server itself reads nothing while it has unread bytes of a further request, and would not notice a
//! close behind them.

use rustix::net::{shutdown, Shutdown};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

/// A socket whose write fails with `TimedOut` after it has made no progress for `timeout`, since the client
/// does not read.
pub(super) struct ClientSocket {
    socket: Arc<TcpStream>,
    timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl ClientSocket {
    pub fn new(socket: TcpStream, timeout: Duration) -> ClientSocket {
        ClientSocket { socket: Arc::new(socket), timeout, timer: None }
    }

    /// Returns a future that ends once the client has closed the connection or its sending side, whatever it has
    /// sent before.
    pub fn closed(&self) -> impl Future<Output = ()> + Send + 'static {
        let socket = Arc::clone(&self.socket);
        async move {
            // An error means that the connection is of no further use either.
            let _ = socket.ready(Interest::PRIORITY).await;
        }
    }

    /// Writes as much as the system accepts; fails if it has accepted nothing for too long.
    fn poll_write_with(
        &mut self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.socket.poll_write_ready(cx)?.is_pending() {
                return self.poll_timeout(cx);
            }
            match write(&self.socket) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.timer = None;
                    return Poll::Ready(result);
                }
            }
        }
    }

    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.socket.try_read_buf(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result.map(drop)),
            }
        }
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.get_mut().poll_write_with(cx, |socket| socket.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.get_mut().poll_write_with(cx, |socket| socket.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A TCP socket has no buffer of its own to flush.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(&*self.socket, Shutdown::Write).map_err(io::Error::from))
    }
}
