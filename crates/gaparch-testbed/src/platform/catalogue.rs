//! A catalogue whose list a test changes at will.

use super::{answer, message, Worker};
use serde_json::{json, Value};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

#[derive(Debug, Default)]
struct State {
    generation: u64,
    instances: Vec<Value>,
    /// Said in place of any answer.
    nonsense: Option<String>,
    calls: u64,
    /// Calls are taken and never answered; those that were pending then neither.
    silent: bool,
    silences: u64,
    /// So many of the next connections are taken and never answered.
    deaf_next: u32,
    /// Connections on which nothing was answered that the other side has given up.
    given_up: u64,
}

#[derive(Clone, Debug)]
pub struct Catalogue {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// An entry.
pub fn instance(worker: &Worker, kind: &str, lifecycle: &str) -> Value {
    json!({"instanceId": worker.name, "hostPort": worker.address.to_string(), "zone": "a", "machineType": kind,
        "cell": 1, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

impl Catalogue {
    pub fn start(instances: Vec<Value>) -> Catalogue {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let state = State { generation: 1, instances, ..State::default() };
        let catalogue = Catalogue { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let this = catalogue.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(socket));
            }
        });
        catalogue
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.0.lock().unwrap_or_else(PoisonError::into_inner));
        self.state.1.notify_all();
    }

    pub fn set(&self, instances: Vec<Value>) {
        self.change(|s| (s.generation, s.instances) = (s.generation + 3, instances));
    }

    /// Answers with this from now on, whatever is asked.
    pub fn nonsense(&self, text: Option<&str>) {
        self.change(|s| s.nonsense = text.map(str::to_owned));
    }

    /// Says nothing from now on, also to calls that wait; what is asked meanwhile is never answered.
    pub fn silent(&self, silent: bool) {
        self.change(|s| (s.silent, s.silences) = (silent, s.silences + u64::from(silent)));
    }

    /// Says nothing on so many of the next connections.
    pub fn silent_on_next(&self, connections: u32) {
        self.change(|s| s.deaf_next = connections);
    }

    /// Connections without an answer that the router has given up so far.
    pub fn given_up(&self) -> u64 {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner).given_up
    }

    /// Until the other side gives the connection up.
    fn hang(&self, socket: &mut TcpStream) {
        while socket.read(&mut [0; 256]).is_ok_and(|n| n > 0) {}
        self.change(|s| s.given_up += 1);
    }

    /// Whether this connection is one on which nothing is said.
    fn takes_deaf(&self) -> bool {
        let mut deaf = false;
        self.change(|s| {
            deaf = s.deaf_next > 0;
            s.deaf_next = s.deaf_next.saturating_sub(1);
        });
        deaf
    }

    /// Calls answered so far.
    pub fn calls(&self) -> u64 {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner).calls
    }

    fn serve(&self, mut socket: TcpStream) {
        if self.takes_deaf() {
            return self.hang(&mut socket);
        }
        while let Some((head, _)) = message(&mut socket) {
            let target = head.split_whitespace().nth(1).unwrap_or_default().to_owned();
            let number = |name: &str| {
                let query = target.split_once('?').map_or("", |(_, query)| query);
                query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let after = number("after");
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
            let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
            let (silences, deaf) = (state.silences, state.silent);
            let same = |s: &mut State| s.nonsense.is_none() && after == Some(s.generation) && !s.silent;
            let waited = self.state.1.wait_timeout_while(state, wait, same);
            let mut state = waited.unwrap_or_else(PoisonError::into_inner).0;
            if deaf || state.silences != silences {
                drop(state);
                return self.hang(&mut socket);
            }
            state.calls += 1;
            let text = match &state.nonsense {
                Some(text) => text.clone(),
                None => {
                    let changed = after != Some(state.generation);
                    let instances = if changed { state.instances.clone() } else { Vec::new() };
                    json!({"generation": state.generation, "reset": after.is_none(), "instances": instances})
                        .to_string()
                }
            };
            drop(state);
            if !answer(&mut socket, "200 OK", &text) {
                return;
            }
        }
    }
}
