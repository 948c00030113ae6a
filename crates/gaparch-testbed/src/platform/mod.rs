//! Stand-ins for the platform around a router in service: scripted workers, a catalogue, and clients. They speak the
//! wire by hand and share no code with the router, so that a mistake is not made on both sides.

mod catalogue;
mod client;
mod hanging;
mod judge;
mod silent;
mod site;
mod stuck;
mod worker;

pub use catalogue::{instance, Catalogue};
pub use client::{ask, head_and_body, raw, read, Got};
pub use hanging::HangingRelay;
pub use judge::{judge, Facts, LEFT};
pub use silent::SilentRelay;
pub use site::{folder, own_address, settings, until, Platform, LONG};
pub use stuck::Stuck;
pub use worker::{events, stream, Floor, Reply, Seen, Step, Worker};

use std::io::{Read, Write};
use std::net::TcpStream;

/// Bytes of a message that a stand-in takes at most.
const MOST: usize = 1 << 20;

/// Reads one message with a head and a stated length; `None` at the end of the connection.
fn message(socket: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
            let length: usize = header(&head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            let mut body = bytes[at + 4..].to_vec();
            while body.len() < length.min(MOST) {
                let n = socket.read(&mut piece).ok().filter(|n| *n > 0)?;
                body.extend_from_slice(&piece[..n]);
            }
            return Some((head, body));
        }
        let n = socket.read(&mut piece).ok().filter(|n| *n > 0 && bytes.len() < MOST)?;
        bytes.extend_from_slice(&piece[..n]);
    }
}

/// The value of a header.
pub(crate) fn header<'h>(head: &'h str, name: &str) -> Option<&'h str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

/// A whole answer with a body; whether it could be written.
fn answer(socket: &mut TcpStream, status: &str, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    socket.write_all(text.as_bytes()).is_ok()
}
