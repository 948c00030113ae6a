//! Clients that send small or invalid requests at full speed and read what they are sent.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Requests that are written at once.
const REQUESTS_PER_WRITE: u64 = 200;
/// How long a client waits for the system to take or bring bytes before it checks whether it has to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a failed connect.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// What the clients of a flood send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodKind {
    /// Readiness checks.
    HealthChecks,
    /// Line ends without a request between them.
    BlankLines,
    /// Requests to a path that is not served.
    UnknownPaths,
    /// Requests that are late on arrival, each with a new id, tenant, session and prefix, one after the other.
    NewNames,
}

impl FloodKind {
    /// Returns the bytes of one request; `number` differs for each.
    fn request(self, number: u64) -> String {
        match self {
            FloodKind::HealthChecks => "GET /_health HTTP/1.1\r\nHost: r\r\n\r\n".to_owned(),
            FloodKind::BlankLines => "\r\n".to_owned(),
            FloodKind::UnknownPaths => "GET /unknown HTTP/1.1\r\nHost: r\r\n\r\n".to_owned(),
            FloodKind::NewNames => format!(
                "POST /v1/chat/completions HTTP/1.1\r\nX-Txn: flood-{number}\r\nX-Lane: chat\r\nX-Org: o{number}\r\n\
                 X-Entity: e{number}\r\nX-Remaining-Ms: 0\r\nX-Labels: prefix=p{number},prompt_len=10\r\n\
                 Content-Length: 2\r\n\r\n{{}}"
            ),
        }
    }
}

/// Running clients; they stop when this is dropped.
#[derive(Debug)]
pub struct Flood {
    state: Arc<FloodState>,
    clients: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct FloodState {
    to: SocketAddr,
    kind: FloodKind,
    stops: AtomicBool,
    next_number: AtomicU64,
    received_bytes: AtomicU64,
}

impl Flood {
    /// Starts this many clients with a connection each, which they open anew when it ends.
    pub fn start(to: SocketAddr, kind: FloodKind, clients: usize) -> Flood {
        let state = Arc::new(FloodState {
            to,
            kind,
            stops: AtomicBool::new(false),
            next_number: AtomicU64::new(0),
            received_bytes: AtomicU64::new(0),
        });
        let client = |state: Arc<FloodState>| thread::spawn(move || state.run_client());
        let clients = (0..clients).map(|_| client(Arc::clone(&state))).collect();
        Flood { state, clients }
    }

    /// Returns the number of bytes that the clients have received.
    pub fn received_bytes(&self) -> u64 {
        self.state.received_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.state.stops.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

impl FloodState {
    fn stops(&self) -> bool {
        self.stops.load(Ordering::Relaxed)
    }

    fn run_client(self: Arc<FloodState>) {
        while !self.stops() {
            let Ok(socket) = TcpStream::connect(self.to) else {
                thread::sleep(CONNECT_RETRY_DELAY);
                continue;
            };
            let _ = socket.set_read_timeout(Some(STOP_CHECK_INTERVAL));
            let _ = socket.set_write_timeout(Some(STOP_CHECK_INTERVAL));
            match self.kind {
                FloodKind::NewNames => self.send_one_by_one(&socket),
                _ => self.write_and_read(&socket),
            }
        }
    }

    /// Sends a request as soon as the one before it is answered.
    fn send_one_by_one(&self, mut socket: &TcpStream) {
        let mut piece = [0; 4096];
        while !self.stops() {
            let request = self.kind.request(self.next_number.fetch_add(1, Ordering::Relaxed));
            if socket.write_all(request.as_bytes()).is_err() {
                return;
            }
            match socket.read(&mut piece) {
                Ok(length) if length > 0 => self.count_received(length),
                Ok(_) | Err(_) => return,
            }
        }
    }

    /// Writes requests without waiting for their responses, which another thread reads.
    fn write_and_read(self: &Arc<FloodState>, socket: &TcpStream) {
        let Ok(reader) = socket.try_clone() else { return };
        let state = Arc::clone(self);
        let reading = thread::spawn(move || state.read(reader));
        self.write(socket);
        let _ = socket.shutdown(Shutdown::Both);
        let _ = reading.join();
    }

    fn count_received(&self, bytes: usize) {
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Writes requests until the connection ends.
    fn write(&self, mut socket: &TcpStream) {
        while !self.stops() {
            let first = self.next_number.fetch_add(REQUESTS_PER_WRITE, Ordering::Relaxed);
            let requests: String =
                (first..first + REQUESTS_PER_WRITE).map(|number| self.kind.request(number)).collect();
            let mut rest = requests.as_bytes();
            while !rest.is_empty() && !self.stops() {
                match socket.write(rest) {
                    Ok(length) if length > 0 => rest = &rest[length..],
                    Err(error) if is_timeout(&error) => {}
                    Ok(_) | Err(_) => return,
                }
            }
        }
    }

    /// Reads and drops responses until the connection ends, and ends it for the writer too.
    fn read(&self, mut socket: TcpStream) {
        let mut piece = [0; 16 * 1024];
        while !self.stops() {
            match socket.read(&mut piece) {
                Ok(length) if length > 0 => self.count_received(length),
                Err(error) if is_timeout(&error) => {}
                Ok(_) | Err(_) => break,
            }
        }
        let _ = socket.shutdown(Shutdown::Both);
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}
