//! The little of HTTP/1.1 that the stand-ins need: messages with a head, and a body of a stated length or in chunks.

use crate::platform::header;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes of a head, at most.
const MOST_HEAD: usize = 16 * 1024;
/// Read at once.
const READ: usize = 16 * 1024;

/// A connection with what has been read of it and not yet taken.
pub(crate) struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// The head of a message.
pub(crate) struct Head {
    pub first_line: String,
    /// Bytes of the head itself.
    pub bytes: usize,
    pub length: usize,
    pub chunked: bool,
    text: String,
}

impl Head {
    /// The value of a header.
    pub fn field(&self, name: &str) -> Option<String> {
        header(&self.text, name).map(str::to_owned)
    }
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    async fn more(&mut self) -> Option<()> {
        let mut piece = [0; READ];
        let n = self.stream.read(&mut piece).await.ok().filter(|n| *n > 0)?;
        self.buffer.extend_from_slice(&piece[..n]);
        Some(())
    }

    /// The next message's head; `None` at the end of the connection.
    pub async fn head(&mut self) -> Option<Head> {
        loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 4);
                return Some(Head {
                    bytes: at + 4,
                    first_line: text.lines().next().unwrap_or_default().to_owned(),
                    length: header(&text, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0),
                    chunked: header(&text, "transfer-encoding").is_some(),
                    text,
                });
            }
            if self.buffer.len() > MOST_HEAD {
                return None;
            }
            self.more().await?;
        }
    }

    /// Takes a body of that length; its bytes.
    pub async fn body(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            self.more().await?;
        }
        let rest = self.buffer.split_off(length);
        Some(std::mem::replace(&mut self.buffer, rest))
    }

    /// Reads chunks up to the last one; how many bytes they had.
    pub async fn chunks(&mut self) -> Option<usize> {
        let mut all = 0;
        loop {
            let line = loop {
                match self.buffer.windows(2).position(|w| w == b"\r\n") {
                    Some(at) => break at,
                    None => self.more().await?,
                }
            };
            let size = std::str::from_utf8(&self.buffer[..line]).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            self.buffer.drain(..line + 2);
            self.body(size + 2).await?;
            if size == 0 {
                return Some(all);
            }
            all += size;
        }
    }

    pub async fn write(&mut self, bytes: &[u8]) -> Option<()> {
        self.stream.write_all(bytes).await.ok()
    }

    /// Ends the connection; what is on its way to the other side arrives.
    pub async fn close(&mut self) {
        // One that the other side has ended needs no end.
        let _ = self.stream.shutdown().await;
    }

    /// A whole answer; how many bytes it had.
    pub async fn answer(&mut self, status: &str, body: &str) -> Option<usize> {
        let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        self.write(text.as_bytes()).await?;
        Some(text.len())
    }
}

/// The value of a field in a target's query.
pub(crate) fn query(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}
