//! A router's shell on a thread of its own, on the scripted platform. Each test file uses a part of it.
#![allow(dead_code)]

use gaparch_lab::platform::{until, Platform, Step};
use gaparch_node::{serve, NodeError, Order};
use serde_json::Value;
use std::ops::Deref;
use std::thread::JoinHandle;
use tokio::sync::mpsc;

pub struct Site {
    platform: Platform,
    orders: mpsc::Sender<Order>,
    router: JoinHandle<Result<(), NodeError>>,
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

pub fn put(text: &str) -> Step {
    Step::Put(text.as_bytes().to_vec())
}
