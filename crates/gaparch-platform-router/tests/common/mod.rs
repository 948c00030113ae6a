//! A router's shell on a thread of its own, on the scripted platform. Each test file uses a part of it.
#![allow(dead_code)]

use gaparch_platform_router::{serve, Order, RouterError};
use gaparch_testbed::platform::{head_and_body, until, Platform, Step, LONG};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::ops::Deref;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::mpsc;

pub struct Site {
    platform: Platform,
    orders: mpsc::Sender<Order>,
    router: JoinHandle<Result<(), RouterError>>,
}

impl Deref for Site {
    type Target = Platform;

    fn deref(&self) -> &Platform {
        &self.platform
    }
}

impl Site {
    pub fn with(change: impl FnOnce(&mut Value)) -> Site {
        let platform = Platform::new(change);
        let (orders, taken) = mpsc::channel(4);
        let file = platform.file.clone();
        let router = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(serve(file, taken))
        });
        let site = Site { platform, orders, router };
        until("the router is ready", || site.health() == 200);
        site
    }

    pub fn order(&self, order: Order) {
        self.orders.blocking_send(order).expect("it runs");
    }

    /// It has been ordered to end, and did.
    pub fn ended(self) {
        until("the router has ended", || self.router.is_finished());
        self.router.join().expect("no panic").expect("no error");
    }
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A client whose answer has begun: all but its first byte is still to be read.
pub fn begun(site: &Site, txn: &str) -> TcpStream {
    let mut client = TcpStream::connect(site.listen).expect("it listens");
    client.write_all(&head_and_body(txn, "{}")).expect("written");
    client.set_read_timeout(Some(LONG)).expect("set");
    client.read_exact(&mut [0; 1]).expect("its answer begins");
    client
}

pub fn put(text: &str) -> Step {
    Step::Put(text.as_bytes().to_vec())
}
