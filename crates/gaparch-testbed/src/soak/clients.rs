//! Clients of the routers: usual ones, ones that leave early, and ones that stop in the middle of a request and stay.

use crate::scale::real::wire::Connection;
use crate::soak::worker::monotonic_ns;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// How long a client reads a stream.
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
    /// It goes on with its connection for as long as that is open.
    Stays,
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
    /// Its connection had carried a request before: it may have ended as this one was sent.
    pub reused: bool,
    /// How long its client waits for the first token.
    pub patience: Duration,
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

/// Where a client asks, and how long it waits.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub address: SocketAddr,
    pub router: usize,
    pub patience: Duration,
}

impl Target {
    fn asked(&self, number: u64, class: &'static str, manner: Manner) -> Asked {
        Asked {
            txn: format!("n{}-{number}", self.router),
            router: self.router,
            class,
            manner,
            reused: false,
            patience: self.patience,
            sent_ns: monotonic_ns(),
            answered_ns: 0,
            answer: Answer::NotSent,
        }
    }

    async fn connect(&self) -> Option<Connection> {
        let stream = timeout(self.patience, TcpStream::connect(self.address)).await.ok()?.ok()?;
        Some(Connection::new(stream))
    }
}

/// Asks once on a connection of its own.
pub async fn ask(to: Target, number: u64, class: &'static str, manner: Manner) -> Asked {
    let mut asked = to.asked(number, class, manner);
    asked.answer = match to.connect().await {
        Some(mut connection) => exchange(&mut connection, number, &mut asked).await,
        None => Answer::NotSent,
    };
    asked.answered_ns = if asked.answered_ns == 0 { monotonic_ns() } else { asked.answered_ns };
    asked
}

/// Between two requests of a client that stays.
const NEXT_AFTER: Duration = Duration::from_millis(40);
/// Before a client that stays tries to connect again.
const CONNECT_AGAIN: Duration = Duration::from_millis(100);
/// The numbers of requests of clients that stay begin here: others' are lower.
const FIRST_NUMBER: u64 = 1_000_000;
/// Between the first numbers of two such clients.
const NUMBERS: u64 = 100_000;

/// Asks again and again, on one connection for as long as that is open, until the time is over.
pub async fn keep_asking(to: Target, client: u64, until: Instant) -> Vec<Asked> {
    let (mut all, mut open) = (Vec::new(), None);
    let mut number = FIRST_NUMBER + client * NUMBERS;
    while Instant::now() < until {
        let class = CLASSES[(number % CLASSES.len() as u64) as usize];
        let mut asked = to.asked(number, class, Manner::Stays);
        asked.reused = open.is_some();
        if open.is_none() {
            open = to.connect().await;
        }
        let Some(mut connection) = open.take() else {
            sleep(CONNECT_AGAIN).await;
            continue;
        };
        asked.answer = exchange(&mut connection, number, &mut asked).await;
        asked.answered_ns = if asked.answered_ns == 0 { monotonic_ns() } else { asked.answered_ns };
        let goes_on = matches!(asked.answer, Answer::Served | Answer::Refused | Answer::Failed(_));
        open = Some(connection).filter(|_| goes_on);
        all.push(asked);
        number += 1;
        sleep(NEXT_AFTER).await;
    }
    all
}

/// Connections that ask nothing, or begin a request and leave it there; held for so long.
pub async fn crowd(to: Target, connections: usize, span: Duration) {
    let mut all = Vec::new();
    for number in 0..connections {
        let Some(mut connection) = to.connect().await else { break };
        if number % 3 == 0 {
            let _ = connection.write(b"POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n").await;
        }
        all.push(connection);
    }
    sleep(span).await;
}

async fn exchange(connection: &mut Connection, number: u64, asked: &mut Asked) -> Answer {
    let body = "{\"stream\":true}";
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nX-Txn: {}\r\nX-Lane: {}\r\nX-Org: acme\r\n\
         X-Entity: e{}\r\nX-Remaining-Ms: {}\r\nX-Labels: prompt_len=100,max_out=50\r\nContent-Length: {}\r\n\r\n{body}",
        asked.txn,
        asked.class,
        number % 40,
        asked.patience.as_millis(),
        body.len()
    );
    let length = if asked.manner == Manner::StopsHalfway { request.len() / 2 } else { request.len() };
    if connection.write(&request.as_bytes()[..length]).await.is_none() {
        return Answer::NotSent;
    }
    asked.sent_ns = monotonic_ns();
    if let Manner::Leaves(after) = asked.manner {
        sleep(after).await;
        connection.close().await;
        return Answer::Left;
    }
    // A second more, after which an answer counts as none; who stops halfway waits for what is owed to it.
    let within = match asked.manner {
        Manner::StopsHalfway => RUDE_WITHIN,
        _ => asked.patience,
    };
    let Ok(head) = timeout(within + Duration::from_secs(1), connection.head()).await else {
        return Answer::Nothing;
    };
    asked.answered_ns = monotonic_ns();
    let Some(head) = head else { return Answer::ClosedUnanswered };
    match head.first_line.split_whitespace().nth(1).and_then(|status| status.parse().ok()).unwrap_or(0) {
        200 => match timeout(STREAM, connection.chunks()).await {
            Ok(Some(_)) => Answer::Served,
            _ => Answer::Broken,
        },
        status => {
            // The next answer on this connection follows it.
            let _ = connection.body(head.length).await;
            match status {
                429 | 503 => Answer::Refused,
                status => Answer::Failed(status),
            }
        }
    }
}
