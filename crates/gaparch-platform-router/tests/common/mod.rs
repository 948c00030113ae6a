//! Runs a router on its own thread within the scripted platform. Each test file uses a part of these helpers.
#![allow(dead_code)]

use gaparch_platform_router::{serve, Command, RouterError};
use gaparch_testbed::platform::{head_and_body, until, Platform, Step, LONG};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::ops::Deref;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::mpsc;

/// A running router and the scripted platform around it.
pub struct RunningRouter {
    platform: Platform,
    commands: mpsc::Sender<Command>,
    thread: JoinHandle<Result<(), RouterError>>,
}

impl Deref for RunningRouter {
    type Target = Platform;

    fn deref(&self) -> &Platform {
        &self.platform
    }
}

impl RunningRouter {
    /// Starts a router with a changed configuration and waits until it is ready.
    pub fn with(change: impl FnOnce(&mut Value)) -> RunningRouter {
        let platform = Platform::new(change);
        let (commands, receiver) = mpsc::channel(4);
        let file = platform.file.clone();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(serve(file, receiver))
        });
        let router = RunningRouter { platform, commands, thread };
        until("the router is ready", || router.health() == 200);
        router
    }

    pub fn send(&self, command: Command) {
        self.commands.blocking_send(command).expect("the router runs");
    }

    /// Waits until the router has shut down without an error.
    pub fn wait_for_shutdown(self) {
        until("the router has shut down", || self.thread.is_finished());
        self.thread.join().expect("no panic").expect("no error");
    }
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Connects a client, sends a request and reads the first byte of the response.
pub fn started_stream(router: &RunningRouter, txn: &str) -> TcpStream {
    let mut client = TcpStream::connect(router.listen).expect("connected");
    client.write_all(&head_and_body(txn, "{}")).expect("written");
    client.set_read_timeout(Some(LONG)).expect("set");
    client.read_exact(&mut [0; 1]).expect("the response begins");
    client
}

pub fn put(text: &str) -> Step {
    Step::Put(text.as_bytes().to_vec())
}
