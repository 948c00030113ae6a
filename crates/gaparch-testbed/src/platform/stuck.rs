//! A worker to which connections come up late.

use rustix::net;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A listener with no place in its queue: a connection to it comes up a second after somebody has accepted.
#[derive(Debug)]
pub struct Stuck {
    pub address: SocketAddr,
    listener: TcpListener,
    _only: TcpStream,
}

impl Stuck {
    /// Starts one whose queue is full.
    pub fn start() -> Stuck {
        let socket = net::socket(net::AddressFamily::INET, net::SocketType::STREAM, None).expect("a socket");
        net::bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
        net::listen(&socket, 0).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("its address");
        let only = TcpStream::connect(address).expect("one has room");
        let next = TcpStream::connect_timeout(&address, Duration::from_millis(200));
        assert!(next.is_err(), "there is room for a second");
        Stuck { address, listener, _only: only }
    }

    /// Takes what waits, so that the next connection comes up at once.
    pub fn make_room(&self) {
        while self.listener.set_nonblocking(true).is_ok() && self.listener.accept().is_ok() {}
    }

    /// Accepts for so long, and takes the beginning of what comes on each connection.
    pub fn heard_within(&self, span: Duration) -> String {
        self.listener.set_nonblocking(true).expect("set");
        let (end, mut heard) = (Instant::now() + span, String::new());
        while Instant::now() < end {
            if let Ok((mut socket, _)) = self.listener.accept() {
                let _ = socket.set_read_timeout(Some(Duration::from_millis(300)));
                let mut piece = [0; 512];
                let n = socket.read(&mut piece).unwrap_or(0);
                heard.push_str(&String::from_utf8_lossy(&piece[..n]));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        heard
    }
}
