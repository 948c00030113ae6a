//! Releases beside workers that do not answer.

use super::{release, Clock, Pool, Release};
use crate::worker::Target;
use gaparch_platform_protocol::ask::Txn;
use gaparch_scheduler::api::ServerId;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;

/// Long, so that a round that waits for the one before it is told apart from one that does not on a busy machine.
const ONE_TRY: Duration = Duration::from_secs(2);

fn worker(number: u32) -> (Target, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    (Target { server: ServerId(number), address, started: 0 }, listener)
}

fn answer(mut socket: TcpStream) {
    let _ = socket.read(&mut [0; 1024]);
    let _ = socket.write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
}

/// The three workers that were heard from last are cut off. The state has some tenths of a second in all: whoever runs is
/// told long before the first of them would have to have answered.
#[tokio::test]
async fn a_release_does_not_wait_for_workers_that_are_cut_off() {
    let (silent, listeners): (Vec<Target>, Vec<TcpListener>) = (1..=3).map(worker).unzip();
    let (runs, listener) = worker(4);
    let (told, heard) = mpsc::channel();
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let _ = told.send(Instant::now());
            std::thread::spawn(move || answer(socket));
        }
    });
    let pool = Arc::new(Pool::new(Arc::new(Semaphore::new(64)), ONE_TRY, None));
    silent.iter().for_each(|target| pool.heard(*target));
    let targets = [vec![runs], silent].concat();
    let txn = Txn::new("txn").expect("an id");
    let began = Instant::now();
    release(Release { txn, targets, within: ONE_TRY }, pool, Clock::default()).await;
    let told = heard.try_recv().expect("it was told") - began;
    assert!(told < ONE_TRY, "told after {told:?}");
    drop(listeners);
}
