//! Workers that follow a script, and the log of what they received.

use super::{answer, header, message};
use rustix::net::{recv, RecvFlags};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const REJECTION: &[u8] = b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

/// One step of a reply.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes these bytes.
    Put(Vec<u8>),
    /// Writes nothing for this long.
    Wait(Duration),
    /// Writes nothing more until the peer closes the connection.
    Hang,
    /// Closes the connection.
    Close,
}

/// What a worker does after it has received a request.
pub type Reply = Vec<Step>;

/// What a worker received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// The last byte of a request, which states how long its client still waits.
    RequestReceived {
        worker: String,
        txn: String,
        target: String,
        remaining: Option<Duration>,
        body: Vec<u8>,
    },
    /// An attempt, while another one for the same request is in flight on an open connection.
    SecondCopy {
        txn: String,
    },
    Released {
        worker: String,
        txn: String,
    },
    Reserved {
        worker: String,
        txn: String,
    },
    Probed {
        worker: String,
    },
    /// A request that was rejected, as it came faster than the worker's rate limit allows.
    RequestRejected {
        worker: String,
        txn: String,
    },
}

/// The log of all workers of a platform, and their attempts in flight.
#[derive(Clone, Debug, Default)]
pub struct WorkerLog {
    events: Arc<Mutex<Vec<(Instant, WorkerEvent)>>>,
    /// The time that a worker takes for a release.
    release_time: Arc<Mutex<Duration>>,
    in_flight: Arc<Mutex<Vec<(String, TcpStream)>>>,
}

fn lock<T>(table: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the peer has closed the connection, as far as the system knows.
fn is_closed(socket: &TcpStream) -> bool {
    let mut byte = [0; 1];
    match recv(socket, &mut byte[..], RecvFlags::PEEK | RecvFlags::DONTWAIT) {
        Ok((_, n)) => n == 0,
        Err(error) => error != rustix::io::Errno::AGAIN,
    }
}

impl WorkerLog {
    /// Returns all events so far.
    pub fn events(&self) -> Vec<WorkerEvent> {
        self.log().into_iter().map(|(_, event)| event).collect()
    }

    /// Returns all events so far with their times.
    pub fn log(&self) -> Vec<(Instant, WorkerEvent)> {
        lock(&self.events).clone()
    }

    /// Makes every worker take this long for each release from now on.
    pub fn slow_releases(&self, span: Duration) {
        *lock(&self.release_time) = span;
    }

    /// Returns the requests received so far, as `(worker, id)`.
    pub fn requests(&self) -> Vec<(String, String)> {
        let request = |event: WorkerEvent| match event {
            WorkerEvent::RequestReceived { worker, txn, .. } => Some((worker, txn)),
            _ => None,
        };
        self.events().into_iter().filter_map(request).collect()
    }

    fn record(&self, event: WorkerEvent) {
        lock(&self.events).push((Instant::now(), event));
    }

    fn begin(&self, txn: &str, socket: &TcpStream) {
        let mut in_flight = lock(&self.in_flight);
        if in_flight.iter().any(|(id, other)| id == txn && !is_closed(other)) {
            self.record(WorkerEvent::SecondCopy { txn: txn.to_owned() });
        }
        if let Ok(socket) = socket.try_clone() {
            in_flight.push((txn.to_owned(), socket));
        }
    }

    fn end(&self, txn: &str) {
        let mut in_flight = lock(&self.in_flight);
        if let Some(at) = in_flight.iter().position(|(id, _)| id == txn) {
            in_flight.remove(at);
        }
    }
}

/// How many requests a worker accepts in a second; it rejects the others.
#[derive(Debug)]
struct RateLimit {
    per_second: f64,
    /// How many more it accepts now.
    allowed: f64,
    refilled_at: Instant,
}

impl RateLimit {
    /// Whether one more request is within the limit.
    fn accepts(&mut self) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.refilled_at).as_secs_f64() * self.per_second;
        self.allowed = (self.allowed + earned).min(1.0);
        self.refilled_at = now;
        let accepts = self.allowed >= 1.0;
        if accepts {
            self.allowed -= 1.0;
        }
        accepts
    }
}

/// A scripted worker. Its threads end with the process.
#[derive(Clone, Debug)]
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    script: Arc<Mutex<VecDeque<Reply>>>,
    /// The reply once the script has ended.
    default_reply: Arc<Mutex<Reply>>,
    rate_limit: Arc<Mutex<Option<RateLimit>>>,
}

impl Worker {
    /// Starts a prefill worker that answers immediately.
    pub fn prefill(name: &str, worker_log: &WorkerLog) -> Worker {
        let body = "{\"cached_tokens\":7}";
        let read = format!("HTTP/1.1 202 Accepted\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        Worker::start(name, vec![Step::Put(read.into_bytes())], Arc::default(), worker_log)
    }

    /// Starts a decode worker that writes a short complete stream.
    pub fn decode(name: &str, worker_log: &WorkerLog) -> Worker {
        Worker::start(name, vec![Step::Put(stream(&events()))], Arc::default(), worker_log)
    }

    /// Starts another worker with the same script: whichever receives a request first gives the next reply.
    pub fn with_same_script(&self, name: &str, worker_log: &WorkerLog) -> Worker {
        let default_reply = lock(&self.default_reply).clone();
        Worker::start(name, default_reply, Arc::clone(&self.script), worker_log)
    }

    fn start(
        name: &str,
        default_reply: Reply,
        script: Arc<Mutex<VecDeque<Reply>>>,
        worker_log: &WorkerLog,
    ) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let worker = Worker {
            name: name.to_owned(),
            address,
            script,
            default_reply: Arc::new(Mutex::new(default_reply)),
            rate_limit: Arc::default(),
        };
        let (this, worker_log) = (worker.clone(), worker_log.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (this, worker_log) = (this.clone(), worker_log.clone());
                thread::spawn(move || this.serve(socket, &worker_log));
            }
        });
        worker
    }

    /// Adds the reply to one request to the script.
    pub fn reply_once(&self, reply: Reply) {
        lock(&self.script).push_back(reply);
    }

    /// Sets the reply to all further requests after the script.
    pub fn reply_always(&self, reply: Reply) {
        *lock(&self.default_reply) = reply;
    }

    /// Makes the worker reject requests that exceed a rate from now on.
    pub fn limit_rate(&self, per_second: f64) {
        let limit = RateLimit { per_second, allowed: 1.0, refilled_at: Instant::now() };
        *lock(&self.rate_limit) = Some(limit);
    }

    fn accepts(&self) -> bool {
        lock(&self.rate_limit).as_mut().is_none_or(RateLimit::accepts)
    }

    fn serve(&self, mut socket: TcpStream, worker_log: &WorkerLog) {
        let _ = socket.set_nodelay(true);
        while let Some((head, body)) = message(&mut socket) {
            if !self.respond(&mut socket, &head, body, worker_log) {
                return;
            }
        }
    }

    /// Responds to one message; returns whether the connection remains open.
    fn respond(&self, socket: &mut TcpStream, head: &str, body: Vec<u8>, worker_log: &WorkerLog) -> bool {
        let mut words = head.split_whitespace();
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let worker = self.name.clone();
        let reservation = target.strip_prefix("/internal/reservations/").map(str::to_owned);
        match (method, reservation) {
            ("DELETE", Some(txn)) => {
                let release_time = *lock(&worker_log.release_time);
                thread::sleep(release_time);
                worker_log.record(WorkerEvent::Released { worker, txn });
                answer(socket, "204 No Content", "")
            }
            ("POST", Some(txn)) => {
                worker_log.record(WorkerEvent::Reserved { worker, txn });
                answer(socket, "200 OK", "")
            }
            ("GET", _) if target == "/ping" => {
                worker_log.record(WorkerEvent::Probed { worker });
                answer(socket, "200 OK", "")
            }
            _ => self.respond_to_request(socket, head, body, worker_log),
        }
    }

    /// Records a request and gives the next reply.
    fn respond_to_request(
        &self,
        socket: &mut TcpStream,
        head: &str,
        body: Vec<u8>,
        worker_log: &WorkerLog,
    ) -> bool {
        let txn = header(head, "x-txn").unwrap_or_default().to_owned();
        worker_log.begin(&txn, socket);
        let remaining_ms = header(head, "x-remaining-ms").and_then(|ms| ms.parse().ok());
        worker_log.record(WorkerEvent::RequestReceived {
            worker: self.name.clone(),
            txn: txn.clone(),
            target: head.split_whitespace().nth(1).unwrap_or_default().to_owned(),
            remaining: remaining_ms.map(Duration::from_millis),
            body,
        });
        if !self.accepts() {
            worker_log.end(&txn);
            worker_log.record(WorkerEvent::RequestRejected { worker: self.name.clone(), txn });
            return socket.write_all(REJECTION).is_ok();
        }
        let scripted = lock(&self.script).pop_front();
        let reply = scripted.unwrap_or_else(|| lock(&self.default_reply).clone());
        give_reply(socket, reply, || worker_log.end(&txn))
    }
}

/// Gives a reply; returns whether the connection remains open. `on_end` is called just before the last bytes are
/// written, since a router that has read them may send the next attempt before this thread continues.
fn give_reply(socket: &mut TcpStream, mut reply: Reply, on_end: impl FnOnce()) -> bool {
    let last_step = reply.pop();
    let is_open = reply.into_iter().all(|step| perform(socket, step));
    match last_step.filter(|_| is_open) {
        Some(step @ Step::Put(_)) => {
            on_end();
            perform(socket, step)
        }
        Some(step) => {
            let is_open = perform(socket, step);
            on_end();
            is_open
        }
        None => {
            on_end();
            is_open
        }
    }
}

/// Performs one step; returns whether the connection remains open.
fn perform(socket: &mut TcpStream, step: Step) -> bool {
    match step {
        Step::Put(bytes) => socket.write_all(&bytes).is_ok(),
        Step::Wait(time) => {
            thread::sleep(time);
            true
        }
        Step::Hang => {
            while socket.read(&mut [0; 256]).is_ok_and(|length| length > 0) {}
            false
        }
        Step::Close => false,
    }
}

/// The events of a short response, including the last one.
pub fn events() -> Vec<String> {
    let piece = |text: &str| {
        format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n")
    };
    vec![piece("one"), piece("two"), piece("thr\u{e9}e"), "data: [DONE]\n\n".to_owned()]
}

/// A head, a chunk for each event, and the last chunk.
pub fn stream(events: &[String]) -> Vec<u8> {
    let mut out =
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for event in events {
        out.extend_from_slice(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
    }
    out.extend_from_slice(b"0\r\n\r\n");
    out
}
