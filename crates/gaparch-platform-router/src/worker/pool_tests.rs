//! Kept connections on which something comes in the moment of their use.

use super::{AnswerHead, LastExchange, Pool, Target, SETTLE};
use bytes::BytesMut;
use gaparch_platform_protocol::head::take_answer;
use gaparch_scheduler::api::ServerId;
use gaparch_scheduler::policy::connect::{ConnectFailure, SendRisk};
use gaparch_testbed::platform::Stuck;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

fn answer_head() -> AnswerHead {
    let mut bytes = BytesMut::from(&b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"[..]);
    take_answer(&mut bytes).expect("sound").expect("whole")
}

/// A pool that keeps one connection to a worker, and that worker's end of it.
async fn kept() -> (Pool, Target, TcpListener, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let target = Target { server: ServerId(1), address, started: 0 };
    let pool = Pool::new(Arc::new(Semaphore::new(8)), Duration::from_secs(5), None);
    let conn = pool.fresh(target).await.expect("it listens");
    let (socket, _) = listener.accept().expect("accepted");
    pool.heard(target);
    pool.put(conn, &answer_head(), LastExchange::Attempt(SendRisk::TimeOnly));
    tokio::time::sleep(SETTLE * 2).await;
    (pool, target, listener, socket)
}

#[tokio::test]
async fn a_kept_connection_is_used_again_once_it_has_settled() {
    let (pool, target, _listener, _socket) = kept().await;
    let conn = pool.get(target).await.expect("it is kept");
    assert!(conn.idle.is_some());
    pool.put(conn, &answer_head(), LastExchange::Attempt(SendRisk::TimeOnly));
    // Bytes that belong to nobody may still be on their way.
    assert!(pool.idle(target).is_none());
    // Behind a probe none are, and the read that was probed for follows at once.
    let conn = pool.fresh(target).await.expect("it listens");
    pool.put(conn, &answer_head(), LastExchange::Call);
    assert!(pool.idle(target).is_some());
}

/// Nothing is awaited between the worker's write or close and the use: the poller does not know of it yet.
#[tokio::test]
async fn what_comes_in_the_moment_of_its_use_takes_a_kept_connection_with_it() {
    for close in [false, true] {
        let (pool, target, _listener, mut socket) = kept().await;
        match close {
            true => drop(socket),
            false => socket.write_all(b"HTTP/1.1 200 OK\r\n").expect("written"),
        }
        let conn = pool.get(target).await.expect("it listens");
        assert!(conn.idle.is_none(), "used again, close: {close}");
    }
}

/// A connection that is lost on its way costs no attempt: a second one is tried beside it.
#[tokio::test]
async fn a_connection_that_does_not_come_up_has_a_second_one_tried_beside_it() {
    let stuck = Stuck::start();
    // The first one's next try of its own comes a second after its first.
    let pool = Pool::new(Arc::new(Semaphore::new(8)), Duration::from_millis(900), None);
    let target = Target { server: ServerId(1), address: stuck.address, started: 0 };
    let (conn, _) = tokio::join!(pool.fresh(target), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        stuck.make_room();
    });
    assert!(conn.is_ok(), "one lost packet counts as a worker that can't be reached");
}

/// Without a place in the own budget nothing is known of the worker; with one in time it is reached.
#[tokio::test]
async fn a_place_of_the_own_budget_is_waited_for_and_its_lack_blames_no_worker() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let target =
        Target { server: ServerId(1), address: listener.local_addr().expect("its address"), started: 0 };
    let places = Arc::new(Semaphore::new(1));
    let pool = Pool::new(Arc::clone(&places), Duration::from_millis(200), None);
    let taken = places.acquire_owned().await.expect("it is open");
    assert_eq!(pool.fresh(target).await.err(), Some(ConnectFailure::Local));
    let (conn, ()) = tokio::join!(pool.fresh(target), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        drop(taken);
    });
    assert!(conn.is_ok());
}
