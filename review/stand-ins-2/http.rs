//! Messages of HTTP/1.1 on blocking sockets.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Instant;

/// A request, with the times of its first and last byte.
pub struct Request {
    pub method: String,
    pub target: String,
    pub head: String,
    pub first_byte: Instant,
    pub last_byte: Instant,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

pub fn header<'h>(head: &'h str, name: &str) -> Option<&'h str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let mut first_byte = (!buffer.is_empty()).then(Instant::now);
    let head_length = loop {
        if let Some(at) = find(buffer, b"\r\n\r\n") {
            break at + 4;
        }
        read_some(socket, buffer)?;
        first_byte = first_byte.or_else(|| Some(Instant::now()));
    };
    let head = String::from_utf8_lossy(&buffer[..head_length]).into_owned();
    let length = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0usize);
    while buffer.len() < head_length + length {
        read_some(socket, buffer)?;
    }
    let last_byte = Instant::now();
    buffer.drain(..head_length + length);
    let mut words = head.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    Some(Request { method, target, head, first_byte: first_byte?, last_byte })
}

/// Appends what arrives to the buffer; `None` at the end of the connection.
pub fn read_some(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut bytes = [0; 16 * 1024];
    match socket.read(&mut bytes) {
        Ok(length) if length > 0 => {
            buffer.extend_from_slice(&bytes[..length]);
            Some(())
        }
        _ => None,
    }
}

pub fn find(bytes: &[u8], sought: &[u8]) -> Option<usize> {
    bytes.windows(sought.len()).position(|window| window == sought)
}

/// Writes a response with a short body; returns whether it could be written.
pub fn respond(socket: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let length = body.len();
    let response = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{headers}\r\n{body}");
    socket.write_all(response.as_bytes()).is_ok()
}

/// Whether the peer has closed the connection, as far as the system knows.
pub fn is_closed(socket: &TcpStream) -> bool {
    let _ = socket.set_nonblocking(true);
    let closed = match socket.peek(&mut [0]) {
        Ok(length) => length == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = socket.set_nonblocking(false);
    closed
}
