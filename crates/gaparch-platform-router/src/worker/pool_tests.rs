//! Idle connections on which something comes in the moment of their use.

use super::{ConnectionPool, LastExchange, ResponseHead, WorkerProcess, SETTLE_TIME};
use bytes::BytesMut;
use gaparch_platform_protocol::head::decode_response;
use gaparch_scheduler::api::ServerId;
use gaparch_scheduler::policy::connect::{ConnectFailure, SendRisk};
use gaparch_testbed::platform::Stuck;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

fn response_head() -> ResponseHead {
    let mut bytes = BytesMut::from(&b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"[..]);
    decode_response(&mut bytes).expect("sound").expect("complete")
}

/// A pool with one idle connection to a worker, and that worker's end of it.
async fn pool_with_idle() -> (ConnectionPool, WorkerProcess, TcpListener, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let process = WorkerProcess { server: ServerId(1), address, started_at: 0 };
    let pool = ConnectionPool::new(Arc::new(Semaphore::new(8)), Duration::from_secs(5), None);
    let connection = pool.connect(process).await.expect("it listens");
    let (socket, _) = listener.accept().expect("accepted");
    pool.record_response(process);
    pool.put(connection, &response_head(), LastExchange::Attempt(SendRisk::TimeOnly));
    tokio::time::sleep(SETTLE_TIME * 2).await;
    (pool, process, listener, socket)
}

#[tokio::test]
async fn an_idle_connection_is_reused_once_it_has_settled() {
    let (pool, process, _listener, _socket) = pool_with_idle().await;
    let connection = pool.get(process).await.expect("it is idle");
    assert!(connection.idle_time.is_some());
    pool.put(connection, &response_head(), LastExchange::Attempt(SendRisk::TimeOnly));
    // Bytes that belong to no message may still be on their way.
    assert!(pool.take_idle(process).is_none());
    // Behind a probe there are none, and the prefill that was probed for follows at once.
    let connection = pool.connect(process).await.expect("it listens");
    pool.put(connection, &response_head(), LastExchange::Call);
    assert!(pool.take_idle(process).is_some());
}

/// Nothing is awaited between the worker's write or close and the use: the poller does not know of it yet.
#[tokio::test]
async fn what_comes_in_the_moment_of_its_use_closes_an_idle_connection() {
    for close in [false, true] {
        let (pool, process, _listener, mut socket) = pool_with_idle().await;
        match close {
            true => drop(socket),
            false => socket.write_all(b"HTTP/1.1 200 OK\r\n").expect("written"),
        }
        let connection = pool.get(process).await.expect("it listens");
        assert!(connection.idle_time.is_none(), "reused, close: {close}");
    }
}

/// A connection that is lost on its way costs no attempt: a second one is tried beside it.
#[tokio::test]
async fn a_connection_that_does_not_come_up_has_a_second_one_tried_beside_it() {
    let stuck = Stuck::start();
    // The first one's next try of its own comes a second after its first.
    let pool = ConnectionPool::new(Arc::new(Semaphore::new(8)), Duration::from_millis(900), None);
    let process = WorkerProcess { server: ServerId(1), address: stuck.address, started_at: 0 };
    let (connection, _) = tokio::join!(pool.connect(process), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        stuck.make_room();
    });
    assert!(connection.is_ok(), "one lost packet counts as a worker that can't be reached");
}

/// Without a permit of the router's own budget nothing is known of the worker; with one in time it is reached.
#[tokio::test]
async fn a_permit_of_the_own_budget_is_waited_for_and_its_lack_blames_no_worker() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let process = WorkerProcess { server: ServerId(1), address, started_at: 0 };
    let permits = Arc::new(Semaphore::new(1));
    let pool = ConnectionPool::new(Arc::clone(&permits), Duration::from_millis(200), None);
    let taken = permits.acquire_owned().await.expect("it is open");
    assert_eq!(pool.connect(process).await.err(), Some(ConnectFailure::Local));
    let (connection, ()) = tokio::join!(pool.connect(process), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        drop(taken);
    });
    assert!(connection.is_ok());
}
