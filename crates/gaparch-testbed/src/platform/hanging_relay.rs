//! A relay that imitates a worker whose process hangs: the system still accepts connections and bytes, but nothing
//! is read.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;

/// Forwards bytes between a router and a worker. While it hangs, it accepts and reads nothing; connections and bytes
/// wait in the queues of the system, as for a stopped process.
#[derive(Debug)]
pub struct HangingRelay {
    pub address: SocketAddr,
    gate: Arc<Gate>,
}

#[derive(Debug, Default)]
struct Gate {
    hangs: Mutex<bool>,
    changed: Condvar,
}

impl Gate {
    fn set(&self, hangs: bool) {
        *self.hangs.lock().unwrap_or_else(PoisonError::into_inner) = hangs;
        self.changed.notify_all();
    }

    fn pass(&self) {
        let hangs = self.hangs.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self.changed.wait_while(hangs, |hangs| *hangs);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }
}

impl HangingRelay {
    /// Starts a relay to a worker that does not hang yet.
    pub fn start(to: SocketAddr) -> HangingRelay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let relay = HangingRelay { address, gate: Arc::default() };
        let gate = Arc::clone(&relay.gate);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                gate.pass();
                let Ok(server) = TcpStream::connect(to) else { continue };
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let gate = Arc::clone(&gate);
                    thread::spawn(move || forward(from, to, &gate));
                }
            }
        });
        relay
    }

    /// Accepts and reads nothing from now on.
    pub fn hang(&self) {
        self.gate.set(true);
    }

    /// Accepts and reads again, first what has arrived meanwhile.
    pub fn resume(&self) {
        self.gate.set(false);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, gate: &Gate) {
    let _ = to.set_nodelay(true);
    let mut piece = [0; 4096];
    while let Ok(n) = from.read(&mut piece) {
        gate.pass();
        if n == 0 || to.write_all(&piece[..n]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
