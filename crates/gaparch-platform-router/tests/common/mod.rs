//! A router on a thread of its own, on the scripted platform. Each test file uses a part of it.
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

/// A router that runs, with the platform around it.
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

    /// Waits until it has shut down, as it was ordered to.
    pub fn wait_for_shutdown(self) {
        until("the router has ended", || self.thread.is_finished());
        self.thread.join().expect("no panic").expect("no error");
    }
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A client whose response has begun: all but its first byte is still to be read.
pub fn started_stream(router: &RunningRouter, txn: &str) -> TcpStream {
    let mut client = TcpStream::connect(router.listen).expect("it listens");
    client.write_all(&head_and_body(txn, "{}")).expect("written");
    client.set_read_timeout(Some(LONG)).expect("set");
    client.read_exact(&mut [0; 1]).expect("its answer begins");
    client
}

pub fn put(text: &str) -> Step {
    Step::Put(text.as_bytes().to_vec())
}
