//! A client that writes the bytes of a test and reads the response.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// 0 if the connection was closed without a response.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the response is complete according to its framing.
    pub is_complete: bool,
}

/// A valid request.
pub fn head_and_body(txn: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Lane: chat\r\n\
         X-Org: acme\r\nX-Entity: e1\r\nX-Remaining-Ms: 5000\r\n\
         X-Labels: prefix=5c0f,prompt_len=100,prefix_len=50,max_out=50\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends a valid request on a new connection and reads the response.
pub fn ask(to: SocketAddr, txn: &str) -> Response {
    raw(to, &head_and_body(txn, "{\"stream\":true}"), Duration::from_secs(10))
}

/// Writes bytes on a new connection and reads one response within the given time.
pub fn raw(to: SocketAddr, bytes: &[u8], within: Duration) -> Response {
    let Ok(mut socket) = TcpStream::connect(to) else { return Response::default() };
    // A router may close the connection before it has read everything.
    let _ = socket.write_all(bytes);
    read(&mut socket, within)
}

/// Reads one response within the given time.
pub fn read(socket: &mut TcpStream, within: Duration) -> Response {
    let until = Instant::now() + within;
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    loop {
        let response = parse(&bytes);
        if response.is_complete || response.status > 0 && Instant::now() >= until {
            return response;
        }
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = socket.set_read_timeout(Some(left));
        match socket.read(&mut piece) {
            Ok(n) if n > 0 => bytes.extend_from_slice(&piece[..n]),
            _ => return response,
        }
    }
}

fn parse(bytes: &[u8]) -> Response {
    let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { return Response::default() };
    let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
    let status = head.split_whitespace().nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let mut rest = &bytes[at + 4..];
    if let Some(length) = super::header(&head, "content-length").and_then(|l| l.parse::<usize>().ok()) {
        let is_complete = rest.len() >= length;
        return Response { status, head, body: rest[..length.min(rest.len())].to_vec(), is_complete };
    }
    let (mut body, mut is_complete) = (Vec::new(), false);
    while let Some(line) = rest.windows(2).position(|w| w == b"\r\n") {
        let size = std::str::from_utf8(&rest[..line]).ok().and_then(|s| usize::from_str_radix(s, 16).ok());
        let (Some(size), from) = (size, line + 2) else { break };
        if rest.len() < from + size + 2 {
            break;
        }
        is_complete = size == 0;
        body.extend_from_slice(&rest[from..from + size]);
        rest = &rest[from + size + 2..];
    }
    Response { status, head, body, is_complete }
}
