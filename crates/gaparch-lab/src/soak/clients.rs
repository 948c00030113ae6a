//! Clients of the routers: usual ones, ones that leave early, and ones that stop in the middle of a request and stay.

use crate::scale::real::wire::Connection;
use crate::soak::worker::monotonic_ns;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long a client waits for its first token, and how long it reads a stream.
pub const PATIENCE: Duration = Duration::from_millis(3000);
const STREAM: Duration = Duration::from_secs(10);
/// Who stops in the middle of a request is owed an error or a close by then.
pub const RUDE_WITHIN: Duration = Duration::from_secs(3);

/// The classes of the settings, by their names there.
pub const CLASSES: [&str; 3] = ["free", "keyed", "once"];

/// What a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Usual,
    /// It closes its connection so long after it has asked.
    Leaves(Duration),
    /// It sends half a request and stays.
    StopsHalfway,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// No connection came up, or it broke before the last byte was written.
    NotSent,
    /// Served to the end.
    Served,
    /// A stream that ended without its last chunk.
    Broken,
    /// 429 or 503: trying again is harmless.
    Refused,
    /// Any other status.
    Failed(u16),
    /// The connection was closed without an answer.
    ClosedUnanswered,
    /// Nothing came in time.
    Nothing,
    /// The client left.
    Left,
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub txn: String,
    pub router: usize,
    pub class: &'static str,
    pub manner: Manner,
    /// When its last byte was written.
    pub sent_ns: u64,
    /// When its answer's head came, or it was known that none would.
    pub answered_ns: u64,
    pub answer: Answer,
}

/// Draws what a client does.
pub fn draw_manner(draws: &mut ChaCha8Rng) -> Manner {
    match draws.random_range(0..100) {
        0..8 => Manner::Leaves(Duration::from_millis(draws.random_range(0..400))),
        8..11 => Manner::StopsHalfway,
        _ => Manner::Usual,
    }
}

/// Asks once on a connection of its own.
pub async fn ask(to: SocketAddr, router: usize, number: u64, class: &'static str, manner: Manner) -> Asked {
    let txn = format!("n{router}-{number}");
    let mut asked = Asked {
        txn,
        router,
        class,
        manner,
        sent_ns: monotonic_ns(),
        answered_ns: 0,
        answer: Answer::NotSent,
    };
    asked.answer = exchange(to, number, &mut asked).await;
    asked.answered_ns = if asked.answered_ns == 0 { monotonic_ns() } else { asked.answered_ns };
    asked
}

async fn exchange(to: SocketAddr, number: u64, asked: &mut Asked) -> Answer {
    let Ok(Ok(stream)) = timeout(PATIENCE, TcpStream::connect(to)).await else { return Answer::NotSent };
    let mut connection = Connection::new(stream);
    let body = "{\"stream\":true}";
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nX-Txn: {}\r\nX-Lane: {}\r\nX-Org: acme\r\n\
         X-Entity: e{}\r\nX-Remaining-Ms: {}\r\nX-Labels: prompt_len=100,max_out=50\r\nContent-Length: {}\r\n\r\n{body}",
        asked.txn,
        asked.class,
        number % 40,
        PATIENCE.as_millis(),
        body.len()
    );
    let length = if asked.manner == Manner::StopsHalfway { request.len() / 2 } else { request.len() };
    if connection.write(&request.as_bytes()[..length]).await.is_none() {
        return Answer::NotSent;
    }
    asked.sent_ns = monotonic_ns();
    if let Manner::Leaves(after) = asked.manner {
        sleep(after).await;
        drop(connection);
        return Answer::Left;
    }
    // Half a second more, after which an answer counts as none.
    let Ok(head) = timeout(PATIENCE + Duration::from_secs(1), connection.head()).await else {
        return Answer::Nothing;
    };
    asked.answered_ns = monotonic_ns();
    let Some(head) = head else { return Answer::ClosedUnanswered };
    match head.first_line.split_whitespace().nth(1).and_then(|status| status.parse().ok()).unwrap_or(0) {
        200 => match timeout(STREAM, connection.chunks()).await {
            Ok(Some(_)) => Answer::Served,
            _ => Answer::Broken,
        },
        429 | 503 => Answer::Refused,
        status => Answer::Failed(status),
    }
}
