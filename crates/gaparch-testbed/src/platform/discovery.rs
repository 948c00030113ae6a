//! A discovery service whose list a test changes.

use super::{answer, message, Worker};
use serde_json::{json, Value};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// By how much each change of the list raises its generation.
const GENERATION_STEP: u64 = 3;

#[derive(Debug, Default)]
struct State {
    generation: u64,
    instances: Vec<Value>,
    /// The body of every response, in place of the list.
    malformed_body: Option<String>,
    /// Number of responses so far.
    responses: u64,
    /// Whether requests are read and never answered, including those that were pending.
    is_silent: bool,
    /// How often the service has fallen silent.
    silences: u64,
    /// How late each response is.
    delay: Duration,
    /// Number of the next connections on which nothing is answered.
    silent_connections: u32,
    /// Number of unanswered connections that the router has closed.
    abandoned_connections: u64,
}

/// A stand-in discovery service. Its threads end with the process.
#[derive(Clone, Debug)]
pub struct DiscoveryService {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

/// Returns the list entry of a worker.
pub fn instance(worker: &Worker, kind: &str, lifecycle: &str) -> Value {
    json!({"instanceId": worker.name, "hostPort": worker.address.to_string(), "zone": "a", "machineType": kind,
        "cell": 1, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

/// Returns the value of a query parameter that is a number.
fn query_number(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|parameter| parameter.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

impl DiscoveryService {
    /// Starts a service with a list of these instances.
    pub fn start(instances: Vec<Value>) -> DiscoveryService {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let state = State { generation: 1, instances, ..State::default() };
        let discovery = DiscoveryService { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let this = discovery.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(socket));
            }
        });
        discovery
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.state.1.notify_all();
    }

    /// Changes the list.
    pub fn set_list(&self, instances: Vec<Value>) {
        self.change(|state| {
            state.generation += GENERATION_STEP;
            state.instances = instances;
        });
    }

    /// Sets the body of all responses from now on; `None` for the list.
    pub fn set_malformed_body(&self, text: Option<&str>) {
        self.change(|state| state.malformed_body = text.map(str::to_owned));
    }

    /// Sets whether the service is silent. Requests that it receives while it is silent, or that are pending when
    /// it falls silent, are never answered.
    pub fn set_silent(&self, is_silent: bool) {
        self.change(|state| {
            state.is_silent = is_silent;
            state.silences += u64::from(is_silent);
        });
    }

    /// Makes each response this late from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.change(|state| state.delay = delay);
    }

    /// Answers nothing on this many of the next connections.
    pub fn set_silent_connections(&self, connections: u32) {
        self.change(|state| state.silent_connections = connections);
    }

    /// Returns the number of unanswered connections that the router has closed so far.
    pub fn abandoned_connections(&self) -> u64 {
        self.lock().abandoned_connections
    }

    /// Returns the number of responses so far.
    pub fn responses(&self) -> u64 {
        self.lock().responses
    }

    /// Reads until the router closes the connection.
    fn hang(&self, socket: &mut TcpStream) {
        while socket.read(&mut [0; 256]).is_ok_and(|length| length > 0) {}
        self.change(|state| state.abandoned_connections += 1);
    }

    /// Whether a new connection is one on which nothing is answered.
    fn is_silent_connection(&self) -> bool {
        let mut state = self.lock();
        let is_silent = state.silent_connections > 0;
        state.silent_connections = state.silent_connections.saturating_sub(1);
        is_silent
    }

    fn serve(&self, mut socket: TcpStream) {
        if self.is_silent_connection() {
            return self.hang(&mut socket);
        }
        while let Some((head, _)) = message(&mut socket) {
            let target = head.split_whitespace().nth(1).unwrap_or_default().to_owned();
            let Some(body) = self.wait_for_response(&target) else { return self.hang(&mut socket) };
            let delay = self.lock().delay;
            thread::sleep(delay);
            if !answer(&mut socket, "200 OK", &body) {
                return;
            }
        }
    }

    /// Waits for a change as the request states, and returns the body of the response; `None` if the request is
    /// never answered.
    fn wait_for_response(&self, target: &str) -> Option<String> {
        let after = query_number(target, "after");
        let wait = Duration::from_millis(query_number(target, "wait_ms").unwrap_or(0));
        let state = self.lock();
        let (silences, was_silent) = (state.silences, state.is_silent);
        let has_no_news = |state: &mut State| {
            state.malformed_body.is_none() && after == Some(state.generation) && !state.is_silent
        };
        let waited = self.state.1.wait_timeout_while(state, wait, has_no_news);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner).0;
        if was_silent || state.silences != silences {
            return None;
        }
        state.responses += 1;
        Some(match &state.malformed_body {
            Some(text) => text.clone(),
            None => list_body(&state, after),
        })
    }
}

/// Returns the list, without entries if the router has this generation.
fn list_body(state: &State, after: Option<u64>) -> String {
    let has_changed = after != Some(state.generation);
    let instances = if has_changed { state.instances.clone() } else { Vec::new() };
    json!({"generation": state.generation, "reset": after.is_none(), "instances": instances}).to_string()
}
