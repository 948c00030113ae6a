//! A worker as a process of its own: it reads, writes, lets go, and records what it sees with the machine's monotonic time.

use crate::scale::real::wire::{Connection, Head};
use rustix::time::{clock_gettime, ClockId};
use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const READ: Duration = Duration::from_millis(40);
const EVENTS: usize = 8;
/// Of one answer in so many, which may be under way when a router is killed.
const LONG_EVENTS: usize = 50;
const LONG_ONE_IN: usize = 12;
const EVENT_GAP: Duration = Duration::from_millis(25);

/// Nanoseconds of the machine's monotonic clock, the same in all processes.
pub fn monotonic_ns() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

/// What a worker records, by its word in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The last byte of a request has come.
    Asked,
    /// It is answered to the end.
    Answered,
    /// The other side has closed first.
    Closed,
    Released,
}

impl Kind {
    const WORDS: [(Kind, &'static str); 4] = [
        (Kind::Asked, "asked"),
        (Kind::Answered, "answered"),
        (Kind::Closed, "closed"),
        (Kind::Released, "released"),
    ];

    fn word(self) -> &'static str {
        Kind::WORDS.iter().find(|(kind, _)| *kind == self).map_or("", |(_, word)| word)
    }

    fn of(word: &str) -> Option<Kind> {
        Kind::WORDS.iter().find(|(_, known)| *known == word).map(|(kind, _)| *kind)
    }
}

/// One line of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub at_ns: u64,
    pub kind: Kind,
    pub txn: String,
    /// What an asked worker was told of the time left, in milliseconds; else 0.
    pub remaining_ms: u64,
}

impl Entry {
    /// Reads a record; a last line that is cut off is left out.
    pub fn read_all(text: &str) -> Vec<Entry> {
        text.split_inclusive('\n').filter(|line| line.ends_with('\n')).filter_map(Entry::read).collect()
    }

    fn read(line: &str) -> Option<Entry> {
        let mut words = line.split_whitespace();
        Some(Entry {
            at_ns: words.next()?.parse().ok()?,
            kind: Kind::of(words.next()?)?,
            txn: words.next()?.to_owned(),
            remaining_ms: words.next()?.parse().ok()?,
        })
    }
}

struct Record {
    file: Mutex<File>,
}

impl Record {
    fn note(&self, kind: Kind, txn: &str, remaining_ms: u64) {
        let line = format!("{} {} {txn} {remaining_ms}\n", monotonic_ns(), kind.word());
        // One write a line, so that a kill cuts off the last one at most.
        let _ = self.file.lock().unwrap_or_else(PoisonError::into_inner).write_all(line.as_bytes());
    }
}

/// Runs a worker until it is killed.
///
/// # Errors
/// When its address is taken or its record can't be written.
pub async fn run(listen: SocketAddr, reads: bool, record: &Path) -> io::Result<()> {
    let file = File::options().create(true).append(true).open(record)?;
    let record = Arc::new(Record { file: Mutex::new(file) });
    let listener = TcpListener::bind(listen).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        let record = Arc::clone(&record);
        tokio::spawn(async move { serve(Connection::new(stream), reads, &record).await });
    }
}

async fn serve(mut connection: Connection, reads: bool, record: &Record) -> Option<()> {
    loop {
        let head = connection.head().await?;
        connection.body(head.length).await?;
        let mut words = head.first_line.split_whitespace();
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let held = target.strip_prefix("/internal/reservations/");
        match (method, held) {
            ("DELETE", Some(txn)) => {
                record.note(Kind::Released, txn, 0);
                connection.answer("204 No Content", "").await?;
            }
            ("GET", _) | ("POST", Some(_)) => drop(connection.answer("200 OK", "").await?),
            _ => answer(&mut connection, &head, reads, record).await?,
        }
    }
}

async fn answer(connection: &mut Connection, head: &Head, reads: bool, record: &Record) -> Option<()> {
    let txn = head.field("x-txn")?;
    let remaining_ms = head.field("x-remaining-ms")?.parse().ok()?;
    record.note(Kind::Asked, &txn, remaining_ms);
    let answered = match reads {
        true => read(connection).await,
        false => write(connection, events(&txn)).await,
    };
    record.note(if answered.is_some() { Kind::Answered } else { Kind::Closed }, &txn, 0);
    answered
}

async fn read(connection: &mut Connection) -> Option<()> {
    pause(&connection.stream, READ).await?;
    connection.answer("202 Accepted", "{\"cached_tokens\":0}").await.map(drop)
}

/// How many events the answer to a request has.
fn events(txn: &str) -> usize {
    let sum: usize = txn.bytes().map(usize::from).sum();
    if sum.is_multiple_of(LONG_ONE_IN) {
        LONG_EVENTS
    } else {
        EVENTS
    }
}

async fn write(connection: &mut Connection, events: usize) -> Option<()> {
    let event =
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word\"},\"finish_reason\":null}]}\n\n";
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    pause(&connection.stream, EVENT_GAP).await?;
    connection
        .write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await?;
    for _ in 0..events {
        connection.write(chunk.as_bytes()).await?;
        pause(&connection.stream, EVENT_GAP).await?;
    }
    connection.write(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n").await
}

/// Works for so long; `None` if the other side closes meanwhile.
async fn pause(stream: &TcpStream, span: Duration) -> Option<()> {
    let closed = async {
        loop {
            if stream.readable().await.is_err() {
                return;
            }
            match stream.try_read(&mut [0; 64]) {
                Ok(0) => return,
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => return,
                _ => {}
            }
        }
    };
    tokio::select! {
        biased;
        () = closed => None,
        () = sleep(span) => Some(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_record_is_read_back_up_to_a_line_that_a_kill_cut_off() {
        let text = "5 asked n1-a 300\n7 answered n1-a 0\n9 relea";
        let entry = |at_ns, kind, remaining_ms| Entry { at_ns, kind, txn: "n1-a".to_owned(), remaining_ms };
        assert_eq!(Entry::read_all(text), [entry(5, Kind::Asked, 300), entry(7, Kind::Answered, 0)]);
    }
}
