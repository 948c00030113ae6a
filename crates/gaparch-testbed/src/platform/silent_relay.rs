//! A relay whose open connections can fall silent.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

/// Forwards bytes in both directions. A connection that has fallen silent stays open; bytes on it are read and dropped.
#[derive(Debug)]
pub struct SilentRelay {
    pub address: SocketAddr,
    /// Connections with a lower number forward nothing.
    silent_below: Arc<AtomicU64>,
    next: Arc<AtomicU64>,
}

impl SilentRelay {
    pub fn start(to: SocketAddr) -> SilentRelay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let relay = SilentRelay { address, silent_below: Arc::default(), next: Arc::default() };
        let (silent_below, next) = (Arc::clone(&relay.silent_below), Arc::clone(&relay.next));
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let number = next.fetch_add(1, Ordering::SeqCst);
                let Ok(server) = TcpStream::connect(to) else { continue };
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let silent_below = Arc::clone(&silent_below);
                    thread::spawn(move || pass(from, to, || silent_below.load(Ordering::SeqCst) > number));
                }
            }
        });
        relay
    }

    /// Makes all open connections fall silent for good. Later ones are not affected.
    pub fn silence_open_connections(&self) {
        self.silent_below.store(self.next.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_silent: impl Fn() -> bool) {
    let _ = to.set_nodelay(true);
    let mut piece = [0; 4096];
    while let Ok(n) = from.read(&mut piece) {
        if is_silent() {
            if n == 0 {
                return;
            }
            continue;
        }
        if n == 0 || to.write_all(&piece[..n]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
