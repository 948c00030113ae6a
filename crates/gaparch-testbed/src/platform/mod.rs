//! Stand-ins for the platform around a router in service: scripted workers, a discovery service, and clients. They
//! implement the protocol themselves and share no code with the router, so that both sides don't have the same fault.

mod breaches;
mod client;
mod discovery;
mod flood;
mod full_backlog;
mod hanging_relay;
mod silent_relay;
mod site;
mod worker;

pub use breaches::{find_breaches, TestActions, MAX_SEND_DELAY_AFTER_DISCONNECT};
pub use client::{ask, head_and_body, raw, read, Response};
pub use discovery::{instance, DiscoveryService};
pub use flood::{Flood, FloodKind};
pub use full_backlog::FullBacklog;
pub use hanging_relay::HangingRelay;
pub use silent_relay::SilentRelay;
pub use site::{folder, own_address, settings, until, Platform, LONG};
pub use worker::{events, stream, Reply, Step, Worker, WorkerEvent, WorkerLog};

use std::io::{Read, Write};
use std::net::TcpStream;

/// Maximum length of a message's head and of its body, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Reads one message with a head and a stated length; `None` at the end of the connection.
fn message(socket: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
            let length: usize = header(&head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            let mut body = bytes[at + 4..].to_vec();
            while body.len() < length.min(MAX_MESSAGE_BYTES) {
                let n = socket.read(&mut piece).ok().filter(|n| *n > 0)?;
                body.extend_from_slice(&piece[..n]);
            }
            return Some((head, body));
        }
        let n = socket.read(&mut piece).ok().filter(|n| *n > 0 && bytes.len() < MAX_MESSAGE_BYTES)?;
        bytes.extend_from_slice(&piece[..n]);
    }
}

/// Returns the value of a header.
pub(crate) fn header<'h>(head: &'h str, name: &str) -> Option<&'h str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

/// Writes a complete response with a body; returns whether that succeeded.
fn answer(socket: &mut TcpStream, status: &str, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    socket.write_all(text.as_bytes()).is_ok()
}
