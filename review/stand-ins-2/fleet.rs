//! Thousands of sound workers in one process: one thread accepts for all of them, another serves each connection.

use crate::http::{read_request, respond};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[repr(C)]
struct PollFd {
    fd: i32,
    events: i16,
    revents: i16,
}

#[repr(C)]
struct Limit {
    soft: u64,
    hard: u64,
}

extern "C" {
    fn poll(fds: *mut PollFd, count: std::ffi::c_ulong, timeout_ms: i32) -> i32;
    fn getrlimit(resource: i32, limit: *mut Limit) -> i32;
    fn setrlimit(resource: i32, limit: *const Limit) -> i32;
}

const POLLIN: i16 = 1;
const RLIMIT_NOFILE: i32 = 7;

/// Raises this process's own limit of descriptors as far as it may.
pub fn raise_descriptor_limit(needed: u64) {
    let mut limit = Limit { soft: 0, hard: 0 };
    unsafe {
        getrlimit(RLIMIT_NOFILE, &mut limit);
        limit.soft = limit.hard;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    assert!(limit.hard >= needed, "{needed} descriptors are needed, {} are allowed", limit.hard);
}

/// What the workers did.
#[derive(Default)]
pub struct Counts {
    pub reads: AtomicU64,
    pub answers: AtomicU64,
    pub releases: AtomicU64,
    pub probes: AtomicU64,
}

/// A worker's address; every other one reads.
#[derive(Clone)]
pub struct Place {
    pub address: SocketAddr,
    pub is_writer: bool,
    open: Arc<Mutex<Vec<Arc<Connection>>>>,
}

struct Connection {
    socket: TcpStream,
    is_busy: AtomicBool,
    /// The worker is gone: the connection closes once what it carries is done.
    closes: AtomicBool,
}

impl Place {
    /// The worker is gone: its connections close, those with a request after its answer.
    pub fn end(&self) {
        for connection in self.open.lock().unwrap().drain(..) {
            connection.closes.store(true, SeqCst);
            if !connection.is_busy.load(SeqCst) {
                let _ = connection.socket.shutdown(Shutdown::Both);
            }
        }
    }
}

/// Starts this many workers.
pub fn start(count: usize, counts: &Arc<Counts>) -> Vec<Place> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|number| {
            // Loopback addresses of their own, as one address has too few ports for all of them and their connections.
            let address = [127, 0, 1 + (number / 250) as u8, 1 + (number % 250) as u8];
            let listener = TcpListener::bind(SocketAddr::from((address, 0))).expect("a free port");
            listener.set_nonblocking(true).expect("set");
            listener
        })
        .collect();
    let place = |(number, listener): (usize, &TcpListener)| Place {
        address: listener.local_addr().expect("its address"),
        is_writer: number % 2 == 1,
        open: Arc::default(),
    };
    let places: Vec<Place> = listeners.iter().enumerate().map(place).collect();
    let (counts, all) = (Arc::clone(counts), places.clone());
    thread::spawn(move || accept(&listeners, &all, &counts));
    places
}

fn accept(listeners: &[TcpListener], places: &[Place], counts: &Arc<Counts>) {
    let entry = |listener: &TcpListener| PollFd { fd: listener.as_raw_fd(), events: POLLIN, revents: 0 };
    let mut entries: Vec<PollFd> = listeners.iter().map(entry).collect();
    loop {
        unsafe { poll(entries.as_mut_ptr(), entries.len() as std::ffi::c_ulong, 1000) };
        for (number, entry) in entries.iter_mut().enumerate() {
            if std::mem::take(&mut entry.revents) == 0 {
                continue;
            }
            while let Ok((socket, _)) = listeners[number].accept() {
                let _ = socket.set_nonblocking(false);
                let counts = Arc::clone(counts);
                let Ok(clone) = socket.try_clone() else { continue };
                let (is_busy, closes) = (AtomicBool::new(false), AtomicBool::new(false));
                let connection = Arc::new(Connection { socket: clone, is_busy, closes });
                let place = places[number].clone();
                place.open.lock().unwrap().push(Arc::clone(&connection));
                let serving = move || {
                    serve(socket, place.is_writer, &counts, &connection);
                    let _ = connection.socket.shutdown(Shutdown::Both);
                    place.open.lock().unwrap().retain(|other| !Arc::ptr_eq(other, &connection));
                };
                let _ = thread::Builder::new().stack_size(256 * 1024).spawn(serving);
            }
        }
    }
}

fn serve(mut socket: TcpStream, is_writer: bool, counts: &Counts, connection: &Connection) {
    let _ = socket.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut socket, &mut buffer) {
        connection.is_busy.store(true, SeqCst);
        let is_answered = match request.method.as_str() {
            "DELETE" => {
                counts.releases.fetch_add(1, Relaxed);
                respond(&mut socket, "204 No Content", "", "")
            }
            "GET" => {
                counts.probes.fetch_add(1, Relaxed);
                respond(&mut socket, "200 OK", "", "")
            }
            _ if is_writer => {
                counts.answers.fetch_add(1, Relaxed);
                write(&mut socket)
            }
            _ => {
                counts.reads.fetch_add(1, Relaxed);
                thread::sleep(Duration::from_millis(30));
                respond(&mut socket, "202 Accepted", "", "{\"cached_tokens\":0}")
            }
        };
        connection.is_busy.store(false, SeqCst);
        if !is_answered || connection.closes.load(SeqCst) {
            return;
        }
    }
}

/// Writes an answer: an event every 100 ms for 1 s.
fn write(socket: &mut TcpStream) -> bool {
    let mut out = String::from("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for number in 0..10 {
        thread::sleep(Duration::from_millis(100));
        let event = format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"word{number}\"}},\"finish_reason\":null}}]}}\n\n"
        );
        out.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
        if socket.write_all(out.as_bytes()).is_err() {
            return false;
        }
        out.clear();
    }
    out.push_str("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
    socket.write_all(out.as_bytes()).is_ok()
}
