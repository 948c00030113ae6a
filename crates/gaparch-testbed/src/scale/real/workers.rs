//! Hollow workers: an address each, no model. Reads take a while, writes are tokens by schedule.

use super::super::layout::is_reader;
use super::super::target;
use super::wire::{Connection, Head};
use super::ListedWorker;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

/// For a read.
const READ: Duration = Duration::from_millis(30);
/// Tokens of one event.
const TOKENS_PER_EVENT: usize = 4;

/// How answers come: so many events, so far apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerPace {
    pub events: usize,
    pub gap: Duration,
}

impl AnswerPace {
    /// Answers of the target's length at the target's pace.
    pub fn of_target() -> AnswerPace {
        AnswerPace {
            events: target::answer_tokens() as usize / TOKENS_PER_EVENT,
            gap: Duration::from_secs_f64(target::TOKEN_GAP_MS / 1e3 * TOKENS_PER_EVENT as f64),
        }
    }
}
/// The port of a process's first site; each further one gets the next, since the last may not be gone yet.
const FIRST_PORT: u16 = 8_443;
const PORTS: u16 = 1_000;

/// What the workers were asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerCounts {
    pub connections: u64,
    pub reads: u64,
    pub writes: u64,
    pub releases: u64,
    pub probes: u64,
    /// Bytes of probes and releases, with their answers.
    pub control_bytes: u64,
}

#[derive(Debug, Default)]
struct Counters {
    connections: AtomicU64,
    reads: AtomicU64,
    writes: AtomicU64,
    releases: AtomicU64,
    probes: AtomicU64,
    control_bytes: AtomicU64,
    /// Reads and writes by worker.
    asked: Vec<AtomicU64>,
}

impl Counters {
    /// Answers a call that is no part of a request, and counts its bytes.
    async fn answer_control(&self, connection: &mut Connection, head: &Head, status: &str) -> Option<()> {
        let answered = connection.answer(status, "").await?;
        self.control_bytes.fetch_add((head.bytes + answered) as u64, Ordering::Relaxed);
        Some(())
    }
}

/// What a worker does.
#[derive(Clone, Copy, Debug)]
struct Job {
    number: usize,
    reads: bool,
    pace: AnswerPace,
}

/// The workers of a site. Dropped, they stop.
#[derive(Debug)]
pub struct HollowWorkers {
    pub listed: Vec<ListedWorker>,
    counters: Arc<Counters>,
    _serving: JoinSet<()>,
}

fn next_port() -> u16 {
    static SITES: AtomicU16 = AtomicU16::new(0);
    FIRST_PORT + SITES.fetch_add(1, Ordering::Relaxed) % PORTS
}

fn address(block: u8, number: usize, port: u16) -> SocketAddr {
    let [high, low] = ((number + 1) as u16).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, block, high, low), port))
}

impl HollowWorkers {
    /// Starts so many in so many zones, on addresses of a block of their own.
    ///
    /// # Errors
    /// When an address is taken, or there are no descriptors left.
    pub async fn start(
        workers: usize,
        zones: usize,
        block: u8,
        pace: AnswerPace,
    ) -> io::Result<HollowWorkers> {
        let asked = (0..workers).map(|_| AtomicU64::new(0)).collect();
        let counters = Arc::new(Counters { asked, ..Counters::default() });
        let port = next_port();
        let mut serving = JoinSet::new();
        let mut listed = Vec::with_capacity(workers);
        for number in 0..workers {
            let reads = is_reader(number);
            let listener = TcpListener::bind(address(block, number, port)).await?;
            listed.push(ListedWorker::new(number, zones, listener.local_addr()?));
            serving.spawn(accept(listener, Job { number, reads, pace }, Arc::clone(&counters)));
        }
        Ok(HollowWorkers { listed, counters, _serving: serving })
    }

    /// Reads and writes that the workers were asked for whose entries fit.
    pub fn asked_of(&self, fits: impl Fn(&ListedWorker) -> bool) -> u64 {
        let of = self.listed.iter().zip(&self.counters.asked).filter(|(worker, _)| fits(worker));
        of.map(|(_, asked)| asked.load(Ordering::Relaxed)).sum()
    }

    pub fn counts(&self) -> WorkerCounts {
        let of = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        WorkerCounts {
            connections: of(&self.counters.connections),
            reads: of(&self.counters.reads),
            writes: of(&self.counters.writes),
            releases: of(&self.counters.releases),
            probes: of(&self.counters.probes),
            control_bytes: of(&self.counters.control_bytes),
        }
    }
}

async fn accept(listener: TcpListener, job: Job, counters: Arc<Counters>) {
    let mut serving = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        counters.connections.fetch_add(1, Ordering::Relaxed);
        serving.spawn(serve(stream, job, Arc::clone(&counters)));
        while serving.try_join_next().is_some() {}
    }
}

async fn serve(stream: TcpStream, job: Job, counters: Arc<Counters>) {
    let mut connection = Connection::new(stream);
    while let Some(head) = connection.head().await {
        if connection.body(head.length).await.is_none() {
            return;
        }
        let count = |counter: &AtomicU64| counter.fetch_add(1, Ordering::Relaxed);
        let mut words = head.first_line.split_whitespace();
        let answered = match (words.next().unwrap_or_default(), words.next().unwrap_or_default()) {
            ("GET", _) => {
                count(&counters.probes);
                counters.answer_control(&mut connection, &head, "200 OK").await
            }
            ("DELETE", _) => {
                count(&counters.releases);
                counters.answer_control(&mut connection, &head, "204 No Content").await
            }
            (_, target) if target.starts_with("/internal/") => {
                connection.answer("200 OK", "").await.map(drop)
            }
            _ if job.reads => {
                count(&counters.reads);
                count(&counters.asked[job.number]);
                sleep(READ).await;
                connection.answer("202 Accepted", "{\"cached_tokens\":0}").await.map(drop)
            }
            _ => {
                count(&counters.writes);
                count(&counters.asked[job.number]);
                stream_tokens(&mut connection, job.pace).await
            }
        };
        if answered.is_none() {
            return;
        }
    }
}

async fn stream_tokens(connection: &mut Connection, pace: AnswerPace) -> Option<()> {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let content = "word ".repeat(TOKENS_PER_EVENT);
    let event = format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{content}\"}},\"finish_reason\":null}}]}}\n\n"
    );
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    let mut ticks = interval(pace.gap);
    connection.write(head.as_bytes()).await?;
    for _ in 0..pace.events {
        ticks.tick().await;
        connection.write(chunk.as_bytes()).await?;
    }
    connection.write(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n").await
}
