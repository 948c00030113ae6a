//! A listener to which connections are established late.

use rustix::net;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A listener whose backlog is full: a connection is established only when its handshake is repeated, a second later,
/// and another connection has been accepted by then.
#[derive(Debug)]
pub struct FullBacklog {
    pub address: SocketAddr,
    listener: TcpListener,
    /// The connection that fills the backlog.
    _pending: TcpStream,
}

impl FullBacklog {
    /// Starts a listener and fills its backlog.
    pub fn start() -> FullBacklog {
        let socket = net::socket(net::AddressFamily::INET, net::SocketType::STREAM, None).expect("a socket");
        net::bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
        net::listen(&socket, 0).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("its address");
        let pending = TcpStream::connect(address).expect("there is room for one");
        let next = TcpStream::connect_timeout(&address, Duration::from_millis(200));
        assert!(next.is_err(), "there is room for a second");
        FullBacklog { address, listener, _pending: pending }
    }

    /// Accepts the pending connections, so that the next one is established immediately.
    pub fn make_room(&self) {
        while self.listener.set_nonblocking(true).is_ok() && self.listener.accept().is_ok() {}
    }

    /// Accepts connections for this long, and returns the first bytes received on each of them.
    pub fn received_within(&self, span: Duration) -> String {
        self.listener.set_nonblocking(true).expect("set");
        let (end, mut received) = (Instant::now() + span, String::new());
        while Instant::now() < end {
            if let Ok((mut socket, _)) = self.listener.accept() {
                let _ = socket.set_read_timeout(Some(Duration::from_millis(300)));
                let mut piece = [0; 512];
                let n = socket.read(&mut piece).unwrap_or(0);
                received.push_str(&String::from_utf8_lossy(&piece[..n]));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        received
    }
}
