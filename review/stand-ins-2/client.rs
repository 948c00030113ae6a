//! A client that sends one request on a connection of its own.

use crate::http::{find, header, read_some};
use crate::site::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// 0 if the connection could not be opened or ended without an answer.
    pub status: u16,
    /// Whether all of the answer has arrived.
    pub is_complete: bool,
    /// When the last byte of the request was written.
    pub asked: Instant,
    pub last_byte: Instant,
}

/// Sends a request, and reads its answer until `patience` after its last byte.
pub fn ask(
    record: &Record,
    router: SocketAddr,
    id: &str,
    remaining: Duration,
    prompt_tokens: u32,
    patience: Duration,
) -> Answer {
    ask_with_body(record, router, id, remaining, prompt_tokens, patience, 5)
}

/// The same with a message of this many characters.
pub fn ask_with_body(
    record: &Record,
    router: SocketAddr,
    id: &str,
    remaining: Duration,
    prompt_tokens: u32,
    patience: Duration,
    characters: usize,
) -> Answer {
    let none = |text: &str| {
        record.line(&format!("client {id}: {text}"));
        Answer { status: 0, is_complete: false, asked: Instant::now(), last_byte: Instant::now() }
    };
    let Ok(mut socket) = TcpStream::connect_timeout(&router, Duration::from_secs(2)) else {
        return none("can't connect");
    };
    let _ = socket.set_nodelay(true);
    let text = "x".repeat(characters);
    let body = format!(
        "{{\"model\":\"chat\",\"stream\":true,\"max_tokens\":800,\"messages\":[{{\"role\":\"user\",\"content\":\"{text}\"}}]}}"
    );
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id}\r\nX-Lane: chat\r\nX-Org: acme\r\n\
         X-Entity: session-{id}\r\nX-Remaining-Ms: {}\r\nX-Labels: prompt_len={prompt_tokens},max_out=800\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        remaining.as_millis(),
        body.len()
    );
    if socket.write_all(request.as_bytes()).is_err() {
        return none("can't write its request");
    }
    let asked = Instant::now();
    record.line(&format!("client {id} asks"));
    let _ = socket.set_read_timeout(Some(Duration::from_millis(200)));
    let mut buffer = Vec::new();
    let mut answer = Answer { status: 0, is_complete: false, asked, last_byte: asked };
    while asked.elapsed() < patience && !answer.is_complete {
        let length = buffer.len();
        let before = Instant::now();
        let ended = read_some(&mut socket, &mut buffer).is_none() && before.elapsed() < Duration::from_millis(190);
        if buffer.len() > length {
            answer.last_byte = Instant::now();
        }
        if let Some(head_end) = find(&buffer, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..head_end + 2]).into_owned();
            answer.status = head.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
            let body = &buffer[head_end + 4..];
            answer.is_complete = match header(&head, "content-length").and_then(|text| text.parse::<usize>().ok()) {
                Some(length) => body.len() >= length,
                None => body.ends_with(b"\r\n0\r\n\r\n"),
            };
        }
        if ended {
            break;
        }
    }
    let end = if answer.is_complete { "whole" } else { "not whole" };
    record.line_at(answer.last_byte, &format!("client {id} is answered {} ({end})", answer.status));
    answer
}
