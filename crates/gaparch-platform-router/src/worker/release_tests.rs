//! Tests releases when some workers do not answer, or only in part.

use super::{release, Clock, ConnectionPool, Release};
use crate::test_support::{buffer_memory, worker_with_endless_bodies};
use crate::worker::WorkerProcess;
use gaparch_platform_protocol::client_request::TransactionId;
use gaparch_scheduler::api::ServerId;
use gaparch_scheduler::policy::kv_release::MAX_SERVERS;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;

/// Long enough to tell, on a busy machine, whether a round waits for the timeout of the one before it.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

fn worker(number: u32) -> (WorkerProcess, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("local address");
    (WorkerProcess { server: ServerId(number), address, started_at: 0 }, listener)
}

fn answer(mut socket: TcpStream) {
    let _ = socket.read(&mut [0; 1024]);
    let _ = socket.write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
}

/// The three workers that responded most recently are unreachable, and the KV cache has to be released within
/// some tenths of a second. A running worker has to be called before the attempts at the unreachable ones
/// time out.
#[tokio::test]
async fn a_release_does_not_wait_for_unreachable_workers() {
    let (silent, listeners): (Vec<WorkerProcess>, Vec<TcpListener>) = (1..=3).map(worker).unzip();
    let (running, listener) = worker(4);
    let (called, calls) = mpsc::channel();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let _ = called.send(Instant::now());
            std::thread::spawn(move || answer(socket));
        }
    });
    let pool =
        Arc::new(ConnectionPool::new(Arc::new(Semaphore::new(64)), buffer_memory(), ATTEMPT_TIMEOUT, None));
    silent.iter().for_each(|process| pool.record_response(*process));
    let processes = [vec![running], silent].concat();
    let transaction = TransactionId::new("txn").expect("an id");
    let started = Instant::now();
    let request = Release::new(transaction, processes, ATTEMPT_TIMEOUT, &pool);
    release(request, pool, Clock::default()).await;
    let called = calls.try_recv().expect("the running worker was called") - started;
    assert!(called < ATTEMPT_TIMEOUT, "called after {called:?}");
    drop(listeners);
}

/// Guards against a release that counts as unanswered because the body of its answer does not end.
#[tokio::test]
async fn a_release_is_answered_by_the_head_of_its_response() {
    let (process, connections) = worker_with_endless_bodies("HTTP/1.1 200 OK");
    let pool =
        Arc::new(ConnectionPool::new(Arc::new(Semaphore::new(64)), buffer_memory(), ATTEMPT_TIMEOUT, None));
    let transaction = TransactionId::new("txn").expect("an id");
    let started = Instant::now();
    let request = Release::new(transaction, vec![process], ATTEMPT_TIMEOUT, &pool);
    release(request, pool, Clock::default()).await;
    assert!(started.elapsed() < ATTEMPT_TIMEOUT / 2, "answered after {:?}", started.elapsed());
    assert_eq!(connections.load(Ordering::Relaxed), 1, "the release was repeated");
}

/// Guards against memory that grows with the releases and the workers: each release had a list of all workers.
#[test]
fn a_release_keeps_only_the_workers_that_are_most_likely_to_run() {
    let (mut processes, listeners): (Vec<WorkerProcess>, Vec<TcpListener>) = (1..=2).map(worker).unzip();
    let [first, recent] = processes[..] else { panic!("two workers") };
    processes.splice(0..0, vec![first; 10 * MAX_SERVERS]);
    let pool = ConnectionPool::new(Arc::new(Semaphore::new(1)), buffer_memory(), ATTEMPT_TIMEOUT, None);
    pool.record_response(recent);
    let transaction = TransactionId::new("txn").expect("an id");
    let release = Release::new(transaction, processes, ATTEMPT_TIMEOUT, &pool);
    assert_eq!((release.processes[0], release.processes.len()), (recent, MAX_SERVERS));
    assert!(release.processes.capacity() < 2 * MAX_SERVERS);
    drop(listeners);
}
