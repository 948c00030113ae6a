//! The discovery agent on a router's machine.

use crate::http::{is_closed, read_request, respond};
use crate::site::Record;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

struct Listed {
    name: String,
    entry: String,
    /// The generation in which the entry changed last.
    changed_in: u64,
}

#[derive(Default)]
struct State {
    generation: u64,
    listed: Vec<Listed>,
    takes_no_connections: bool,
    /// Discovery is down: the agent takes connections and calls, and answers none.
    is_silent: bool,
    open: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Discovery {
    name: String,
    pub address: SocketAddr,
    record: Record,
    /// Whether each call and each changed entry is recorded.
    pub is_recorded: bool,
    state: Arc<(Mutex<State>, Condvar)>,
}

fn query(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

impl Discovery {
    /// Starts an agent with these entries, by the names of their workers.
    pub fn start(record: &Record, name: &str, entries: Vec<(String, String)>) -> Discovery {
        Discovery::start_recorded(record, name, entries, true)
    }

    pub fn start_recorded(
        record: &Record,
        name: &str,
        entries: Vec<(String, String)>,
        is_recorded: bool,
    ) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let listed = entries.into_iter().map(|(name, entry)| Listed { name, entry, changed_in: 41 });
        let state = State { generation: 41, listed: listed.collect(), ..State::default() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let discovery = Discovery { name: name.to_owned(), address, record: record.clone(), is_recorded, state };
        let this = discovery.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let this = this.clone();
                let mut state = this.state.0.lock().unwrap();
                if state.takes_no_connections {
                    continue;
                }
                state.open.extend(socket.try_clone());
                drop(state);
                thread::spawn(move || this.serve(socket));
            }
        });
        discovery
    }

    /// Changes or adds entries, as one new generation.
    pub fn change(&self, entries: Vec<(String, String)>) {
        let mut state = self.state.0.lock().unwrap();
        state.generation += 1;
        let changed_in = state.generation;
        for (name, entry) in entries {
            if self.is_recorded {
                self.record.line(&format!("{} has in generation {changed_in}: {entry}", self.name));
            }
            state.listed.retain(|listed| listed.name != name);
            state.listed.push(Listed { name, entry, changed_in });
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// While discovery is down, the agent is silent.
    pub fn set_silent(&self, is_silent: bool) {
        self.record.line(&format!("{} is {}", self.name, if is_silent { "down: its agent is silent" } else { "back" }));
        self.state.0.lock().unwrap().is_silent = is_silent;
        self.state.1.notify_all();
    }

    /// The address has moved elsewhere: no new connection is taken, and the open ones are closed after 1.5 s.
    pub fn retire(&self) {
        self.state.0.lock().unwrap().takes_no_connections = true;
        let this = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(1500));
            for socket in this.state.0.lock().unwrap().open.drain(..) {
                let _ = socket.shutdown(std::net::Shutdown::Both);
            }
            this.record.line(&format!("{} has closed its connections", this.name));
        });
    }

    fn serve(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut socket, &mut buffer) {
            let after = query(&request.target, "after");
            let wait = Duration::from_millis(query(&request.target, "wait_ms").unwrap_or(0).min(60_000));
            if self.is_recorded {
                self.record.line_at(request.last_byte, &format!("{} is asked {}", self.name, request.target));
            }
            self.wait_for_change(after, wait);
            // A call that the silence has met is never answered.
            if self.state.0.lock().unwrap().is_silent {
                while !is_closed(&socket) {
                    thread::sleep(Duration::from_millis(10));
                }
                return;
            }
            let (generation, body) = self.list(after);
            if is_closed(&socket) {
                self.record.line(&format!("{} has an answer; the router has closed the connection", self.name));
                return;
            }
            if !respond(&mut socket, "200 OK", "Content-Type: application/json\r\n", &body) {
                return;
            }
            if self.is_recorded {
                self.record.line(&format!("{} has answered with generation {generation}", self.name));
            }
        }
    }

    fn wait_for_change(&self, after: Option<u64>, wait: Duration) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        while after == Some(state.generation) && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// The whole list, or what changed after a generation.
    fn list(&self, after: Option<u64>) -> (u64, String) {
        let state = self.state.0.lock().unwrap();
        let changed = state.listed.iter().filter(|listed| after.is_none_or(|after| listed.changed_in > after));
        let entries: Vec<&str> = changed.map(|listed| listed.entry.as_str()).collect();
        let (generation, reset) = (state.generation, after.is_none());
        (generation, format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}", entries.join(",")))
    }

    /// The whole list in discovery's form.
    pub fn whole_list(&self) -> String {
        self.list(None).1
    }
}
