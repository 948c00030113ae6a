//! Helpers shared by the unit tests: the state of a router whose owner is the test itself, and a worker whose
//! answers do not end.

use crate::buffered_socket::BufferMemory;
use crate::messages::OwnerMessage;
use crate::shared_state::SharedState;
use crate::worker::WorkerProcess;
use gaparch_net::Clock;
use gaparch_platform_protocol::config::RouterConfig;
use gaparch_router::memory::MemoryPool;
use gaparch_scheduler::api::ServerId;
use gaparch_testbed::platform::settings;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedReceiver};

/// Returns the shared state of a router whose owner queue holds `max_queued_requests`, and the receiving end
/// of that queue.
pub(crate) fn shared_state(
    max_queued_requests: usize,
) -> (Arc<SharedState>, UnboundedReceiver<OwnerMessage>) {
    let config =
        json!({"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings()});
    let config =
        RouterConfig::from_json(config.to_string().as_bytes(), |_| None).expect("valid configuration");
    let (owner, messages) = mpsc::unbounded_channel();
    (Arc::new(SharedState::new(config, Clock::default(), owner, max_queued_requests)), messages)
}

/// Returns memory for the buffers of a test's connections, which never lacks.
pub(crate) fn buffer_memory() -> BufferMemory {
    BufferMemory { unreserved: 4 * 1024, pool: MemoryPool::new(1 << 20) }
}

/// Starts a worker that answers each request with the given status line and a body of which one byte after
/// the other arrives. Returns it with the number of its connections so far.
pub(crate) fn worker_with_endless_bodies(status_line: &'static str) -> (WorkerProcess, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("local address");
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&connections);
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            counter.fetch_add(1, Ordering::Relaxed);
            std::thread::spawn(move || answer_without_end(socket, status_line));
        }
    });
    (WorkerProcess { server: ServerId(1), address, started_at: 0 }, connections)
}

fn answer_without_end(mut socket: TcpStream, status_line: &str) {
    let _ = socket.read(&mut [0; 1024]);
    let _ = socket.write_all(format!("{status_line}\r\nContent-Length: 1000\r\n\r\n").as_bytes());
    while socket.write_all(b"x").is_ok() {
        std::thread::sleep(Duration::from_millis(20));
    }
}
