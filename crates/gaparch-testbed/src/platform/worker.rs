//! Workers that do what a script says, and a record of what they were asked, in order.

use super::{answer, header, message};
use rustix::net::{recv, RecvFlags};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// One thing that a worker does on a connection.
#[derive(Clone, Debug)]
pub enum Step {
    Put(Vec<u8>),
    Wait(Duration),
    /// Says nothing more until the other side closes.
    Hang,
    Close,
}

pub type Reply = Vec<Step>;

/// What a worker saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A request's last byte: its id, target, body, and how long its client still waits.
    Asked {
        worker: String,
        txn: String,
        target: String,
        remaining: Option<Duration>,
        body: Vec<u8>,
    },
    /// An attempt whose request had another one out on an open connection.
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
}

/// The record of all workers of a site, and the attempts that are out.
#[derive(Clone, Debug, Default)]
pub struct Floor {
    seen: Arc<Mutex<Vec<(Instant, Seen)>>>,
    /// Before a release is taken.
    release_after: Arc<Mutex<Duration>>,
    open: Arc<Mutex<Vec<(String, TcpStream)>>>,
}

fn lock<T>(table: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the other side has closed, by what this machine knows.
fn is_closed(socket: &TcpStream) -> bool {
    let mut byte = [0; 1];
    match recv(socket, &mut byte[..], RecvFlags::PEEK | RecvFlags::DONTWAIT) {
        Ok((_, n)) => n == 0,
        Err(error) => error != rustix::io::Errno::AGAIN,
    }
}

impl Floor {
    pub fn seen(&self) -> Vec<Seen> {
        self.log().into_iter().map(|(_, seen)| seen).collect()
    }

    /// The same with when it was seen.
    pub fn log(&self) -> Vec<(Instant, Seen)> {
        lock(&self.seen).clone()
    }

    /// Every worker takes so long over each release from now on.
    pub fn slow_releases(&self, span: Duration) {
        *lock(&self.release_after) = span;
    }

    /// Requests that workers have taken, as `(worker, id)`.
    pub fn asked(&self) -> Vec<(String, String)> {
        let of = |s: Seen| match s {
            Seen::Asked { worker, txn, .. } => Some((worker, txn)),
            _ => None,
        };
        self.seen().into_iter().filter_map(of).collect()
    }

    fn note(&self, seen: Seen) {
        lock(&self.seen).push((Instant::now(), seen));
    }

    fn begin(&self, txn: &str, socket: &TcpStream) {
        let mut open = lock(&self.open);
        if open.iter().any(|(of, other)| of == txn && !is_closed(other)) {
            self.note(Seen::SecondCopy { txn: txn.to_owned() });
        }
        if let Ok(socket) = socket.try_clone() {
            open.push((txn.to_owned(), socket));
        }
    }

    fn end(&self, txn: &str) {
        let mut open = lock(&self.open);
        if let Some(at) = open.iter().position(|(of, _)| of == txn) {
            open.remove(at);
        }
    }
}

/// One scripted worker. Its threads end with the process.
#[derive(Clone, Debug)]
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    script: Arc<Mutex<VecDeque<Reply>>>,
    /// What it does when the script is at its end.
    usual: Arc<Mutex<Reply>>,
}

impl Worker {
    /// Starts one that answers reads.
    pub fn reader(name: &str, floor: &Floor) -> Worker {
        let body = "{\"cached_tokens\":7}";
        let read = format!("HTTP/1.1 202 Accepted\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        Worker::start(name, vec![Step::Put(read.into_bytes())], Arc::default(), floor)
    }

    /// Starts one that writes a short whole stream.
    pub fn writer(name: &str, floor: &Floor) -> Worker {
        Worker::start(name, vec![Step::Put(stream(&events()))], Arc::default(), floor)
    }

    /// Starts another that writes, with the same script: a reply is given by whichever is asked first.
    pub fn twin(&self, name: &str, floor: &Floor) -> Worker {
        let usual = lock(&self.usual).clone();
        Worker::start(name, usual, Arc::clone(&self.script), floor)
    }

    fn start(name: &str, usual: Reply, script: Arc<Mutex<VecDeque<Reply>>>, floor: &Floor) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let worker = Worker { name: name.to_owned(), address, script, usual: Arc::new(Mutex::new(usual)) };
        let (this, floor) = (worker.clone(), floor.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (this, floor) = (this.clone(), floor.clone());
                thread::spawn(move || this.serve(socket, &floor));
            }
        });
        worker
    }

    /// What it does to the next requests, one reply each.
    pub fn then(&self, reply: Reply) {
        lock(&self.script).push_back(reply);
    }

    /// What it does to all others from now on.
    pub fn always(&self, reply: Reply) {
        *lock(&self.usual) = reply;
    }

    fn serve(&self, mut socket: TcpStream, floor: &Floor) {
        let _ = socket.set_nodelay(true);
        while let Some((head, body)) = message(&mut socket) {
            let mut words = head.split_whitespace();
            let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
            let worker = self.name.clone();
            let held = target.strip_prefix("/internal/reservations/").map(str::to_owned);
            let go_on = match (method, held) {
                ("DELETE", Some(txn)) => {
                    let span = *lock(&floor.release_after);
                    thread::sleep(span);
                    floor.note(Seen::Released { worker, txn });
                    answer(&mut socket, "204 No Content", "")
                }
                ("POST", Some(txn)) => {
                    floor.note(Seen::Reserved { worker, txn });
                    answer(&mut socket, "200 OK", "")
                }
                ("GET", _) if target == "/ping" => {
                    floor.note(Seen::Probed { worker });
                    answer(&mut socket, "200 OK", "")
                }
                _ => {
                    let txn = header(&head, "x-txn").unwrap_or_default().to_owned();
                    floor.begin(&txn, &socket);
                    let remaining = header(&head, "x-remaining-ms").and_then(|ms| ms.parse().ok());
                    let remaining = remaining.map(Duration::from_millis);
                    floor.note(Seen::Asked {
                        worker,
                        txn: txn.clone(),
                        target: target.to_owned(),
                        remaining,
                        body,
                    });
                    let reply = lock(&self.script).pop_front();
                    let reply = reply.unwrap_or_else(|| lock(&self.usual).clone());
                    play(&mut socket, reply, || floor.end(&txn))
                }
            };
            if !go_on {
                return;
            }
        }
    }
}

/// Plays a reply; whether the connection may go on. `over` is told just before the answer's last bytes: whoever has
/// read these may send the next attempt sooner than this thread goes on.
fn play(socket: &mut TcpStream, reply: Reply, over: impl FnOnce()) -> bool {
    let last = reply.len().saturating_sub(1);
    let (mut over, mut go_on) = (Some(over), true);
    for (number, step) in reply.into_iter().enumerate() {
        go_on = match step {
            Step::Put(bytes) => {
                over.take_if(|_| number == last).into_iter().for_each(|over| over());
                socket.write_all(&bytes).is_ok()
            }
            Step::Wait(span) => {
                thread::sleep(span);
                true
            }
            Step::Hang => {
                while socket.read(&mut [0; 256]).is_ok_and(|n| n > 0) {}
                false
            }
            Step::Close => false,
        };
        if !go_on {
            break;
        }
    }
    over.into_iter().for_each(|over| over());
    go_on
}

/// The events of a short answer, the last one included.
pub fn events() -> Vec<String> {
    let piece = |text: &str| {
        format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n")
    };
    vec![piece("one"), piece("two"), piece("thr\u{e9}e"), "data: [DONE]\n\n".to_owned()]
}

/// A head and a chunk for each event, with the last chunk.
pub fn stream(events: &[String]) -> Vec<u8> {
    let mut out =
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for event in events {
        out.extend_from_slice(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
    }
    out.extend_from_slice(b"0\r\n\r\n");
    out
}
