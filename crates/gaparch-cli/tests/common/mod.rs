//! A platform router process on a stand-in platform. Each test file uses only part of this module.
#![allow(dead_code)]

use gaparch_testbed::platform::{until, Platform, LONG};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::Read;
use std::ops::Deref;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Additional environment variables of a process.
pub type Environment = Vec<(String, String)>;

pub struct Site {
    pub platform: Platform,
    pub router: Child,
}

impl Deref for Site {
    type Target = Platform;

    fn deref(&self) -> &Platform {
        &self.platform
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = self.router.kill();
        let _ = self.router.wait();
    }
}

/// Starts a router with a configuration file.
pub fn start(file: &Path, environment: Environment) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gaparch"));
    command.args(["--log", "info", "node"]).env("ROUTER_CONFIG", file).envs(environment);
    command.stdout(Stdio::null()).stderr(Stdio::piped());
    command.spawn().expect("the program starts")
}

/// Gives a process part of a core: it runs for a third of each 30 ms. It goes on as before when this is dropped.
pub struct PartOfACore {
    stops: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl PartOfACore {
    pub fn of(process: Pid) -> PartOfACore {
        const RUNS_FOR: Duration = Duration::from_millis(10);
        const STOPS_FOR: Duration = Duration::from_millis(20);
        let stops = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&stops);
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                kill_process(process, Signal::STOP).expect("the router runs");
                std::thread::sleep(STOPS_FOR);
                kill_process(process, Signal::CONT).expect("the router runs");
                std::thread::sleep(RUNS_FOR);
            }
        });
        PartOfACore { stops, thread: Some(thread) }
    }
}

impl Drop for PartOfACore {
    fn drop(&mut self) {
        self.stops.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Site {
    pub fn new() -> Site {
        Site::with(|_| {})
    }

    pub fn with(change: impl FnOnce(&mut Value)) -> Site {
        Site::on(Platform::new(change), Environment::new())
    }

    /// Starts a router on an existing platform and waits until it is ready.
    pub fn on(platform: Platform, environment: Environment) -> Site {
        let router = start(&platform.file, environment);
        let site = Site { platform, router };
        until("the router is ready", || site.health() == 200);
        site
    }

    pub fn pid(&self) -> Pid {
        Pid::from_raw(self.router.id() as i32).expect("a process id")
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).expect("the router runs");
    }

    /// Kills the router and returns what it has logged.
    pub fn kill_and_read_log(&mut self) -> String {
        let _ = self.router.kill();
        let mut log = String::new();
        if let Some(mut stderr) = self.router.stderr.take() {
            let _ = stderr.read_to_string(&mut log);
        }
        log
    }

    /// Waits until the router exits.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let started_at = Instant::now();
        loop {
            if let Some(status) = self.router.try_wait().expect("the router was started") {
                return status;
            }
            assert!(started_at.elapsed() < LONG, "the router does not exit");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}
