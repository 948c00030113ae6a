//! A socket with what has been read from it and not yet understood.

use bytes::BytesMut;
use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Read at once.
const READ: usize = 8 * 1024;
/// A buffer that has grown beyond this for one large message is given back after it.
const KEPT: usize = 32 * 1024;

#[derive(Debug)]
pub(crate) struct Link {
    pub stream: TcpStream,
    pub buf: BytesMut,
}

impl Link {
    pub fn new(stream: TcpStream) -> Link {
        // Small messages back and forth: waiting to fill a packet would only add time.
        let _ = stream.set_nodelay(true);
        Link { stream, buf: BytesMut::new() }
    }

    /// Reads more; 0 at the end. Nothing is lost where this is dropped.
    pub async fn read(&mut self) -> io::Result<usize> {
        self.buf.reserve(READ);
        self.stream.read_buf(&mut self.buf).await
    }

    /// Nothing has come and the other side has not closed, as far as this machine knows.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let nothing = self.stream.try_read(&mut byte);
        self.buf.is_empty() && nothing.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Gives a large empty buffer back.
    pub fn trim(&mut self) {
        if self.buf.is_empty() && self.buf.capacity() > KEPT {
            self.buf = BytesMut::new();
        }
    }
}
