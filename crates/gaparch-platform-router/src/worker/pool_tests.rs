//! Tests the reuse of idle connections, connection hedging, and waiting for descriptor permits.

use super::{ConnectionPool, LastExchange, PoolSize, ResponseHead, WorkerProcess, SETTLE_TIME};
use crate::sync::lock;
use crate::test_support::buffer_memory;
use bytes::BytesMut;
use gaparch_platform_protocol::head::decode_response;
use gaparch_scheduler::api::ServerId;
use gaparch_scheduler::policy::connect::{ConnectFailure, SendRisk};
use gaparch_testbed::platform::FullBacklog;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

fn response_head() -> ResponseHead {
    let mut bytes = BytesMut::from(&b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"[..]);
    decode_response(&mut bytes).expect("valid").expect("complete")
}

/// Returns a pool with one idle connection to a worker, and the worker's end of that connection.
async fn pool_with_idle() -> (ConnectionPool, WorkerProcess, TcpListener, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("local address");
    let process = WorkerProcess { server: ServerId(1), address, started_at: 0 };
    let pool =
        ConnectionPool::new(Arc::new(Semaphore::new(8)), buffer_memory(), Duration::from_secs(5), None);
    let connection = pool.connect(process).await.expect("connected");
    let (socket, _) = listener.accept().expect("accepted");
    pool.record_response(process);
    pool.put(connection, &response_head(), LastExchange::Attempt(SendRisk::TimeOnly));
    tokio::time::sleep(SETTLE_TIME * 2).await;
    (pool, process, listener, socket)
}

#[tokio::test]
async fn an_idle_connection_is_reused_after_its_settle_time() {
    let (pool, process, _listener, _socket) = pool_with_idle().await;
    let connection = pool.get(process).await.expect("a connection");
    assert!(connection.idle_time.is_some());
    pool.put(connection, &response_head(), LastExchange::Attempt(SendRisk::TimeOnly));
    // Stray bytes may still arrive.
    assert!(pool.take_idle(process).is_none());
    // No stray bytes follow a probe, and the prefill that it was made for follows immediately.
    let connection = pool.connect(process).await.expect("connected");
    pool.put(connection, &response_head(), LastExchange::Call);
    assert!(pool.take_idle(process).is_some());
}

/// The poller does not run between the worker's write or close and the reuse, so it has not noticed either.
#[tokio::test]
async fn an_idle_connection_with_an_unnoticed_close_or_stray_bytes_is_not_reused() {
    for close in [false, true] {
        let (pool, process, _listener, mut socket) = pool_with_idle().await;
        match close {
            true => drop(socket),
            false => socket.write_all(b"HTTP/1.1 200 OK\r\n").expect("written"),
        }
        let connection = pool.get(process).await.expect("connected");
        assert!(connection.idle_time.is_none(), "reused, close: {close}");
    }
}

/// Guards against counting a worker as unreachable because one packet was lost while connecting: a second
/// connection is tried in parallel.
#[tokio::test]
async fn a_second_connection_is_tried_while_the_first_is_not_established() {
    let stuck = FullBacklog::start();
    // The kernel retransmits the first connection request only after a second.
    let pool =
        ConnectionPool::new(Arc::new(Semaphore::new(8)), buffer_memory(), Duration::from_millis(900), None);
    let process = WorkerProcess { server: ServerId(1), address: stuck.address, started_at: 0 };
    let (connection, _) = tokio::join!(pool.connect(process), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        stuck.make_room();
    });
    assert!(connection.is_ok(), "one lost packet made the worker count as unreachable");
}

/// A lack of permits in the router's own budget is a local failure and not the worker's. If a permit becomes
/// free in time, the worker is reached.
#[tokio::test]
async fn a_missing_permit_is_waited_for_and_counts_as_a_local_failure() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("local address");
    let process = WorkerProcess { server: ServerId(1), address, started_at: 0 };
    let permits = Arc::new(Semaphore::new(1));
    let pool = ConnectionPool::new(Arc::clone(&permits), buffer_memory(), Duration::from_millis(200), None);
    let taken = permits.acquire_owned().await.expect("it is open");
    assert_eq!(pool.connect(process).await.err(), Some(ConnectFailure::Local));
    let (connection, ()) = tokio::join!(pool.connect(process), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        drop(taken);
    });
    assert!(connection.is_ok());
}

/// Guards against memory for workers that were replaced: each release leaves thousands of them behind.
#[tokio::test]
async fn a_worker_that_is_no_longer_listed_is_removed_with_its_idle_connections() {
    let (pool, process, _listener, _socket) = pool_with_idle().await;
    pool.remove_expired(|server| server == process.server);
    assert_eq!(pool.size(), PoolSize { workers: 1, idle_connections: 1 });
    pool.remove_expired(|server| server != process.server);
    assert_eq!(pool.size(), PoolSize { workers: 0, idle_connections: 0 });
}

/// Guards against memory for idle connections at each of thousands of workers, few of which have any.
#[tokio::test]
async fn a_worker_without_idle_connections_keeps_no_memory_for_them() {
    let (pool, process, _listener, _socket) = pool_with_idle().await;
    pool.close_idle(process.server);
    pool.remove_expired(|_| true);
    assert_eq!(pool.size(), PoolSize { workers: 1, idle_connections: 0 });
    assert_eq!(lock(&pool.workers)[&process.server].idle.capacity(), 0);
}
