//! Stand-ins of the review: discovery, workers, clients and the start of a router process. Only the standard
//! library is used. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::HashSet;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

// ---- the record -------------------------------------------------------------------------------------------

#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::options().create(true).append(true).open(path).expect("record.txt can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Milliseconds since the start.
    pub fn at(&self, when: Instant) -> u128 {
        when.saturating_duration_since(self.start).as_millis()
    }

    pub fn say(&self, text: &str) {
        let _ = writeln!(lock(&self.file), "{:>7} ms  {text}", self.at(Instant::now()));
    }
}

// ---- HTTP -------------------------------------------------------------------------------------------------

pub fn header<'h>(head: &'h str, name: &str) -> Option<&'h str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(n, _)| n.trim().eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

/// A message with a head and a stated length.
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
    /// When its first and its last byte were read.
    pub first_at: Instant,
    pub last_at: Instant,
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(socket: &mut TcpStream, kept: &mut Vec<u8>) -> Option<Message> {
    let mut piece = [0; 16 * 1024];
    let mut first_at = (!kept.is_empty()).then(Instant::now);
    loop {
        if let Some(at) = kept.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&kept[..at]).into_owned();
            let length: usize = header(&head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            while kept.len() < at + 4 + length {
                let n = socket.read(&mut piece).ok().filter(|n| *n > 0)?;
                kept.extend_from_slice(&piece[..n]);
            }
            let rest = kept.split_off(at + 4 + length);
            let body = kept[at + 4..].to_vec();
            *kept = rest;
            let last_at = Instant::now();
            return Some(Message { head, body, first_at: first_at.unwrap_or(last_at), last_at });
        }
        let n = socket.read(&mut piece).ok().filter(|n| *n > 0)?;
        first_at = first_at.or_else(|| Some(Instant::now()));
        kept.extend_from_slice(&piece[..n]);
    }
}

pub fn answer(socket: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
    socket.write_all(text.as_bytes()).is_ok()
}

pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

// ---- discovery --------------------------------------------------------------------------------------------

#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub cell: u32,
    pub lifecycle: &'static str,
    /// The generation in which it changed last.
    changed: u64,
}

#[derive(Default)]
struct Listing {
    generation: u64,
    entries: Vec<Entry>,
    /// Every answer is written so much later.
    delay: Duration,
    calls: u64,
    answered: u64,
}

/// The agent: a list, and watches on it.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<Listing>, Condvar)>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, workers: &[Worker]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let entry = |w: &Worker| Entry {
            id: w.name.clone(),
            address: w.address,
            zone: "sala-centro",
            kind: if w.reads { "prefill" } else { "decode" },
            cell: 1,
            lifecycle: "ready",
            changed: 1,
        };
        let listing =
            Listing { generation: 1, entries: workers.iter().map(entry).collect(), ..Listing::default() };
        let this = Discovery {
            address,
            state: Arc::new((Mutex::new(listing), Condvar::new())),
            record: record.clone(),
        };
        let served = this.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(socket));
            }
        });
        this
    }

    /// Changes the lifecycle of a worker.
    pub fn set(&self, id: &str, lifecycle: &'static str) {
        let mut listing = lock(&self.state.0);
        listing.generation += 1;
        let generation = listing.generation;
        for entry in listing.entries.iter_mut().filter(|e| e.id == id) {
            entry.lifecycle = lifecycle;
            entry.changed = generation;
        }
        self.state.1.notify_all();
    }

    pub fn delay(&self, delay: Duration) {
        lock(&self.state.0).delay = delay;
    }

    pub fn calls(&self) -> (u64, u64) {
        let listing = lock(&self.state.0);
        (listing.calls, listing.answered)
    }

    /// The whole list as JSON.
    pub fn list(&self) -> String {
        text(&lock(&self.state.0), None)
    }

    fn serve(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut kept = Vec::new();
        while let Some(message) = read_message(&mut socket, &mut kept) {
            let target = message.head.split_whitespace().nth(1).unwrap_or_default().to_owned();
            let number = |name: &str| {
                let query = target.split_once('?').map_or("", |(_, query)| query);
                query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let after = number("after");
            let wait = ms(number("wait_ms").unwrap_or(0).min(60_000));
            let mut listing = lock(&self.state.0);
            listing.calls += 1;
            let same = |l: &mut Listing| after.is_some_and(|after| after >= l.generation);
            let waited = self.state.1.wait_timeout_while(listing, wait, same);
            let listing = waited.unwrap_or_else(PoisonError::into_inner).0;
            let (body, delay) = (text(&listing, after), listing.delay);
            drop(listing);
            if !delay.is_zero() {
                thread::sleep(delay);
            }
            if !answer(&mut socket, "200 OK", "Content-Type: application/json\r\n", &body) {
                self.record.say(&format!("discovery: {target}: the router had closed before the answer"));
                return;
            }
            lock(&self.state.0).answered += 1;
            if !delay.is_zero() {
                self.record.say(&format!(
                    "discovery: {target}: answer written {} ms late ({} bytes)",
                    delay.as_millis(),
                    body.len()
                ));
            }
        }
    }
}

fn text(listing: &Listing, after: Option<u64>) -> String {
    let told = listing.entries.iter().filter(|e| after.is_none_or(|after| e.changed > after));
    let entries: Vec<String> = told
        .map(|e| {
            format!(
                "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"{}\",\"cell\":{},\
                 \"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":0}}",
                e.id, e.address, e.zone, e.kind, e.cell, e.lifecycle
            )
        })
        .collect();
    format!(
        "{{\"generation\":{},\"reset\":{},\"instances\":[{}]}}",
        listing.generation,
        after.is_none(),
        entries.join(",")
    )
}

// ---- workers ----------------------------------------------------------------------------------------------

/// What the workers know together: the states that wait at readers.
#[derive(Default)]
pub struct Floor {
    pub held: HashSet<String>,
    /// Attempts, by worker and id, with the times of their first and last byte.
    pub attempts: Vec<Attempt>,
}

#[derive(Clone)]
pub struct Attempt {
    pub worker: String,
    pub txn: String,
    pub first_at: Instant,
    pub last_at: Instant,
}

/// How a writer ends its streams.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stream {
    Good,
    /// After its third event comes a chunk whose size can't be read and whose line does not end: one more byte
    /// every tenth of a second.
    SizeWithoutEnd,
}

#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub reads: bool,
    pub address: SocketAddr,
    pub floor: Arc<Mutex<Floor>>,
    pub stream: Arc<Mutex<Stream>>,
    /// How long a read takes, and the time between two events of a stream.
    pub read_time: Duration,
    pub event_gap: Duration,
    pub events: u32,
    record: Record,
}

impl Worker {
    pub fn start(record: &Record, floor: &Arc<Mutex<Floor>>, name: &str, reads: bool, events: u32) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Worker {
            name: name.to_owned(),
            reads,
            address: listener.local_addr().expect("its address"),
            floor: Arc::clone(floor),
            stream: Arc::new(Mutex::new(Stream::Good)),
            read_time: ms(60),
            event_gap: ms(60),
            events,
            record: record.clone(),
        };
        let served = worker.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(socket));
            }
        });
        worker
    }

    fn serve(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut kept = Vec::new();
        while let Some(message) = read_message(&mut socket, &mut kept) {
            let line = message.head.lines().next().unwrap_or_default().to_owned();
            let good = match line.split_whitespace().next() {
                Some("GET") if line.contains("/ping") => answer(&mut socket, "200 OK", "", ""),
                Some("DELETE") => {
                    let txn =
                        line.split_whitespace().nth(1).and_then(|p| p.rsplit('/').next()).unwrap_or_default();
                    lock(&self.floor).held.remove(txn);
                    socket.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_ok()
                }
                Some("POST") if line.contains("/v1/") => self.attempt(&mut socket, &message),
                _ => answer(&mut socket, "404 Not Found", "", ""),
            };
            if !good {
                return;
            }
        }
    }

    fn attempt(&self, socket: &mut TcpStream, message: &Message) -> bool {
        let Some(txn) = header(&message.head, "x-txn").map(str::to_owned) else {
            return answer(socket, "404 Not Found", "", "");
        };
        let told = header(&message.head, "x-remaining-ms").unwrap_or("-").to_owned();
        self.record.say(&format!("worker {}: got {txn} (told {told} ms left)", self.name));
        lock(&self.floor).attempts.push(Attempt {
            worker: self.name.clone(),
            txn: txn.clone(),
            first_at: message.first_at,
            last_at: message.last_at,
        });
        if self.reads {
            thread::sleep(self.read_time);
            self.record.say(&format!("worker {}: has read {txn}, answers 202", self.name));
            lock(&self.floor).held.insert(txn);
            return answer(
                socket,
                "202 Accepted",
                "Content-Type: application/json\r\n",
                "{\"cached_tokens\":0}",
            );
        }
        if !lock(&self.floor).held.remove(&txn) {
            self.record.say(&format!("worker {}: has no state for {txn}, answers 410", self.name));
            return answer(socket, "410 Gone", "X-Turned-Away: 1\r\n", "");
        }
        self.write(socket, &txn)
    }

    fn write(&self, socket: &mut TcpStream, txn: &str) -> bool {
        thread::sleep(self.event_gap);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if socket.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let spoilt = *lock(&self.stream) == Stream::SizeWithoutEnd;
        let events = if spoilt { 3 } else { self.events };
        for _ in 0..events {
            let event =
                "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"hola\"},\"finish_reason\":null}]}\n\n";
            if socket.write_all(chunk(event).as_bytes()).is_err() {
                return false;
            }
            thread::sleep(self.event_gap);
        }
        if spoilt {
            self.record.say(&format!("worker {}: {txn}: a chunk size that can't be read begins", self.name));
            let mut bytes = 0;
            while socket.write_all(b"z").is_ok() && bytes < 400 {
                bytes += 1;
                thread::sleep(ms(100));
            }
            self.record
                .say(&format!("worker {}: {txn}: closed by the router after {bytes} bytes of it", self.name));
            return false;
        }
        let usage = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":8,\
                     \"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n";
        let end = format!("{}{}0\r\n\r\n", chunk(usage), chunk("data: [DONE]\n\n"));
        let whole = socket.write_all(end.as_bytes()).is_ok();
        let result = if whole { "written to its end" } else { "broke off: the router closed" };
        self.record.say(&format!("worker {}: stream of {txn} {result}", self.name));
        whole
    }
}

// ---- clients ----------------------------------------------------------------------------------------------

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A fresh id, as of the pages: 16 hexadecimal digits.
pub fn fresh_txn() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", (now ^ (number << 48)).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
}

pub fn request(txn: &str, remaining_ms: u64, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Lane: consulta\r\n\
         X-Org: app-personas\r\nX-Entity: {txn}\r\nX-Remaining-Ms: {remaining_ms}\r\n\
         X-Labels: prompt_len={},max_out=60\r\nContent-Length: {}\r\n\r\n{body}",
        body.len() / 4,
        body.len()
    )
    .into_bytes()
}

pub const BODY: &str =
    "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":60,\"messages\":[{\"role\":\"user\",\"content\":\"hola\"}]}";

/// What a client got.
#[derive(Clone, Debug)]
pub struct Got {
    pub txn: String,
    /// When its connection was up and its last byte was written.
    pub sent_at: Instant,
    /// 0: none.
    pub status: u16,
    /// The answer was complete by its framing.
    pub whole: bool,
    /// The router ended the connection.
    pub closed: bool,
    /// When the last byte, or the end of the connection, came.
    pub ended_at: Instant,
    /// When the last byte of an event came.
    pub last_event_at: Option<Instant>,
    pub note: String,
}

impl Got {
    pub fn took(&self) -> Duration {
        self.ended_at.saturating_duration_since(self.sent_at)
    }

    pub fn summary(&self) -> String {
        format!(
            "{}: status {}, {}, {} ms after its last byte{}",
            self.txn,
            self.status,
            match (self.whole, self.closed) {
                (true, _) => "complete",
                (_, true) => "connection ended by the router",
                _ => "no end",
            },
            self.took().as_millis(),
            if self.note.is_empty() { String::new() } else { format!(" ({})", self.note) }
        )
    }
}

/// Sends one request on a connection of its own, and reads until its answer is complete, the connection ends, or
/// `patience` is over.
pub fn ask(to: SocketAddr, remaining_ms: u64, patience: Duration) -> Got {
    let txn = fresh_txn();
    let now = Instant::now();
    let mut got = Got {
        txn: txn.clone(),
        sent_at: now,
        status: 0,
        whole: false,
        closed: false,
        ended_at: now,
        last_event_at: None,
        note: String::new(),
    };
    let mut socket = match TcpStream::connect(to) {
        Ok(socket) => socket,
        Err(error) => {
            got.closed = true;
            got.note = format!("connect: {error}");
            return got;
        }
    };
    let _ = socket.set_nodelay(true);
    if let Err(error) = socket.write_all(&request(&txn, remaining_ms, BODY)) {
        got.note = format!("write: {error}");
    }
    got.sent_at = Instant::now();
    let until = got.sent_at + patience;
    let mut bytes = Vec::new();
    let mut piece = [0; 16 * 1024];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        got.ended_at = Instant::now();
        if left.is_zero() {
            return got;
        }
        let _ = socket.set_read_timeout(Some(left));
        match socket.read(&mut piece) {
            Ok(0) => {
                got.closed = true;
                got.ended_at = Instant::now();
                return got;
            }
            Ok(n) => {
                got.ended_at = Instant::now();
                bytes.extend_from_slice(&piece[..n]);
                if bytes.windows(2).filter(|w| w == b"\n\n").count() > 0
                    && piece[..n].windows(2).any(|w| w == b"\n\n")
                {
                    got.last_event_at = Some(got.ended_at);
                }
                got.status = status(&bytes);
                got.whole = is_whole(&bytes);
                if got.whole {
                    return got;
                }
            }
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(error) => {
                got.closed = true;
                got.note = error.to_string();
                got.ended_at = Instant::now();
                return got;
            }
        }
    }
}

fn status(bytes: &[u8]) -> u16 {
    let text = String::from_utf8_lossy(&bytes[..bytes.len().min(64)]).into_owned();
    text.split_whitespace().nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

fn is_whole(bytes: &[u8]) -> bool {
    let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
    let rest = &bytes[at + 4..];
    match header(&head, "content-length").and_then(|l| l.parse::<usize>().ok()) {
        Some(length) => rest.len() >= length,
        None => rest.ends_with(b"\r\n0\r\n\r\n"),
    }
}

// ---- the router -------------------------------------------------------------------------------------------

/// The limits that the platform gives to a router.
pub struct Limits {
    pub memory_mb: u32,
    pub sockets: u32,
}

pub struct Router {
    pub child: Child,
    /// Names the process as long as it may run, for the script that started this program.
    pid_file: PathBuf,
    pub listen: SocketAddr,
    pub config: PathBuf,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.pid_file);
    }
}

/// The settings of a small deployment, as in the pages' example.
fn settings() -> String {
    "{\"callers\":{\"marksRetry\":true},\
     \"caps\":{\"cancel\":true,\"connectTimeoutNs\":250000000,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":400000,\
     \"idleCloseNs\":30000000000,\"maxAttempts\":5,\"maxOpen\":20000,\"maxRetryAfterNs\":1000000000,\
     \"mayDuplicate\":false,\"multiplex\":100,\"peers\":false,\"probes\":true,\"retryAfter\":false},\
     \"discovery\":\"push\",\
     \"familyInfo\":{\"ahead\":true,\"aimUsPer1000PromptTokens\":[60000.0,40000.0],\"moveFee\":0.04,\
     \"releaseWithinNs\":500000000,\"resume\":false,\"roleByKind\":[\"read\",\"write\"],\"selfPrefill\":false,\
     \"tokenAimNs\":[50000000,70000000],\"tokensByKind\":[244379,133840]},\
     \"fees\":{\"crossZone\":0.03,\"lateFail\":0.05,\"peer\":0.003,\"probe\":0.0028,\"waste\":0.23},\
     \"flavors\":[\"prefill\",\"decode\"],\"me\":0,\"overShareWorth\":0.2,\"replicasOfMe\":1,\
     \"report\":{\"fields\":[],\"source\":\"silent\"},\
     \"rules\":{\"answerSlackNs\":8000000,\"askEveryNs\":10000000000,\"coldFrom\":0.28,\"overloadFactor\":2.5,\
     \"overloadForNs\":2000000000,\"rampTimeNs\":14000000000,\"stopSendingWithinNs\":500000000},\
     \"scoreParts\":{\"whole\":0.45,\"worstClass\":0.2,\"worstTenant\":0.1,\"worstWindow\":0.25},\
     \"serviceType\":\"twostage\",\
     \"services\":[{\"aimNs\":1000000000,\"deadlineNs\":5000000000,\"dedupScope\":\"all\",\
     \"dedupWindowNs\":5000000000,\"idempotency\":\"free\",\"lateShare\":0.1,\"name\":\"consulta\",\
     \"streamed\":true,\"worth\":1.0},\
     {\"aimNs\":1500000000,\"deadlineNs\":6000000000,\"dedupScope\":\"all\",\"dedupWindowNs\":5000000000,\
     \"idempotency\":\"free\",\"lateShare\":0.3,\"name\":\"tramite\",\"streamed\":true,\"worth\":3.0}],\
     \"stepNs\":2000000,\
     \"tenants\":[{\"fraction\":0.39,\"name\":\"app-personas\",\"quotaPerS\":100.0},\
     {\"fraction\":0.61,\"name\":\"app-comercios\",\"quotaPerS\":60.0}],\
     \"tier\":0,\"tiers\":[\"modelos\"],\"weightSource\":\"nominal\",\"worthBy\":\"work\",\
     \"zone\":\"sala-centro\",\"zones\":[\"sala-cordon\",\"sala-centro\",\"sala-buceo\"]}"
        .to_owned()
}

/// An address that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

/// The command `run` of the deploy file.
fn run_command(root: &Path) -> String {
    let file = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let line = file.lines().find(|line| line.starts_with("run = ")).expect("a line run");
    line.split('"').nth(1).expect("a command").to_owned()
}

impl Router {
    /// Starts a router by the deploy file's command and waits until it is ready.
    pub fn start(record: &Record, discovery: &Discovery, limits: &Limits, folder: &Path) -> Option<Router> {
        let root = PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".to_owned()));
        let listen = free_address();
        let config = folder.join("config.json");
        let text = format!(
            "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            discovery.address,
            limits.memory_mb,
            limits.sockets,
            discovery.list(),
            settings()
        );
        std::fs::write(&config, text).ok()?;
        let log = File::create(folder.join("router.log")).ok()?;
        let command = run_command(&root);
        record.say(&format!(
            "the router is started: {command}; limits: {} MB, {} descriptors",
            limits.memory_mb, limits.sockets
        ));
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(&root)
            .env("ROUTER_NAME", "n0")
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_DISCOVERY", discovery.address.to_string())
            .env("ROUTER_CONFIG", &config)
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .ok()?;
        let pid_file = folder.join("router.pid");
        let _ = std::fs::write(&pid_file, child.id().to_string());
        let router = Router { child, pid_file, listen, config };
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if health(listen) == 200 {
                record.say("the router is ready");
                return Some(router);
            }
            thread::sleep(ms(50));
        }
        record.say("the router is not ready after 10 s");
        None
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Resident memory in KiB, without pages of files.
    pub fn resident_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        line.split_whitespace().next()?.parse().ok()
    }
}

pub fn health(to: SocketAddr) -> u16 {
    let Ok(mut socket) = TcpStream::connect(to) else { return 0 };
    let _ = socket.set_read_timeout(Some(ms(500)));
    let _ = socket.write_all(b"GET /_health HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n");
    let mut bytes = [0; 64];
    let n = socket.read(&mut bytes).unwrap_or(0);
    status(&bytes[..n])
}

// ---- a case -----------------------------------------------------------------------------------------------

/// What every case begins with.
pub struct Case {
    pub record: Record,
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

impl Case {
    pub fn begin() -> Case {
        let here = PathBuf::from(std::env::var("HERE").unwrap_or_else(|_| ".".to_owned()));
        let folder = PathBuf::from(std::env::var("FOLDER").expect("FOLDER is set by run.sh"));
        let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
        let record = Record::create(&here.join("record.txt"));
        record.say(if trouble { "with the disruption" } else { "TROUBLE=0: without the disruption" });
        // The script has 120 s; nothing here takes half of it.
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(100));
            std::process::exit(NOT_RUN);
        });
        Case { record, folder, trouble }
    }

    pub fn end(&self, code: i32, text: &str) -> i32 {
        self.record.say(&format!("VERDICT {code}: {text}"));
        println!("{text}");
        code
    }
}

/// Readers and writers of a small site, whose streams have so many events.
pub fn workers(
    record: &Record,
    readers: usize,
    writers: usize,
    events: u32,
) -> (Arc<Mutex<Floor>>, Vec<Worker>) {
    let floor = Arc::new(Mutex::new(Floor::default()));
    let mut all = Vec::new();
    for number in 0..readers {
        all.push(Worker::start(record, &floor, &format!("s-read-{number}"), true, events));
    }
    for number in 0..writers {
        all.push(Worker::start(record, &floor, &format!("s-write-{number}"), false, events));
    }
    (floor, all)
}
