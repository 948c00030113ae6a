//! Routers and workers of a run as processes of the program, with the times at which they ran.

use crate::soak::shim::{Shim, Steering};
use crate::soak::worker::monotonic_ns;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// A deployment's longest deadline counts as this where it is longer.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// Past that deadline a router that was told to end is killed no sooner.
const KILLED_PAST: Duration = Duration::from_millis(700);
/// SIGHUP never comes in a router's first second, nor before it is ready.
const HEARS_HANGUP_AFTER: Duration = Duration::from_secs(1);
/// Between two signals of a series.
const SIGNALS_APART: Duration = Duration::from_millis(60);

/// How long after SIGTERM a router of a deployment may be killed at the earliest.
pub fn killed_after(longest_deadline: Duration) -> Duration {
    longest_deadline.min(LONGEST_COUNTED) + KILLED_PAST
}

/// One life of a process, in nanoseconds of the machine's monotonic clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Life {
    pub from_ns: u64,
    /// When it was told to end, if it was.
    pub told_to_end_ns: Option<u64>,
    /// When it was gone; `None` while it runs.
    pub until_ns: Option<u64>,
    /// It was killed, or had to be.
    pub killed: bool,
    /// It ended by itself, without being told to, or with an error.
    pub crashed: bool,
    /// How it ended, as the system tells it.
    pub exit: Option<String>,
}

/// A process that can be started again.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
    pub lives: Vec<Life>,
    /// When it was stopped and went on.
    pub stops: Vec<(u64, u64)>,
}

impl Process {
    pub fn new(program: &Path, arguments: Vec<String>, log: PathBuf) -> Process {
        Process {
            program: program.to_owned(),
            arguments,
            log,
            child: None,
            lives: Vec::new(),
            stops: Vec::new(),
        }
    }

    /// # Errors
    /// When it can't be started.
    pub fn start(&mut self, environment: &[(String, String)]) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).envs(environment.iter().cloned());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.child = Some(command.spawn()?);
        self.lives.push(Life { from_ns: monotonic_ns(), ..Life::default() });
        Ok(())
    }

    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|c| Pid::from_raw(i32::try_from(c.id()).ok()?));
        // One that has ended can't be told anything; its life says so.
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// `kill -9`.
    pub fn kill(&mut self) {
        self.note_crash();
        let Some(mut child) = self.child.take() else { return };
        let _ = child.kill();
        let _ = child.wait();
        self.end(|life| life.killed = true);
    }

    /// Until SIGHUP may come, for a process that runs.
    pub fn hears_hangup_in(&self) -> Duration {
        let started_ns = self.lives.last().map_or(0, |life| life.from_ns);
        HEARS_HANGUP_AFTER.saturating_sub(Duration::from_nanos(monotonic_ns().saturating_sub(started_ns)))
    }

    /// The same signal several times, shortly after one another.
    pub async fn signal_in_series(&self, signal: Signal, times: u32) {
        for number in 0..times {
            if number > 0 {
                sleep(SIGNALS_APART).await;
            }
            self.signal(signal);
        }
    }

    /// SIGTERM, in a series with others; killed if it has not ended when the platform may do so.
    pub async fn leave(&mut self, signals: u32, killed_after: Duration) {
        self.note_crash();
        if self.child.is_none() {
            return;
        }
        self.signal(Signal::TERM);
        if let Some(life) = self.lives.last_mut() {
            life.told_to_end_ns = Some(monotonic_ns());
        }
        let until = Instant::now() + killed_after;
        let hears_hangup = self.hears_hangup_in().is_zero();
        for number in 1..signals {
            sleep(SIGNALS_APART).await;
            let hangs_up = hears_hangup && number % 2 == 1;
            self.signal(if hangs_up { Signal::HUP } else { Signal::TERM });
        }
        while Instant::now() < until {
            let ended = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = ended {
                self.child = None;
                // One that has just been started may not hear signals yet, and is ended by the system.
                let ended_by_order = status.signal() == Some(Signal::TERM.as_raw());
                return self.end(|life| {
                    life.crashed = !status.success() && !ended_by_order;
                    life.exit = Some(status.to_string());
                });
            }
            sleep(Duration::from_millis(20)).await;
        }
        self.kill();
    }

    /// Whether it has ended by itself.
    pub fn note_crash(&mut self) {
        let ended = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
        if let Some(status) = ended {
            self.child = None;
            self.end(|life| {
                // It may have ended as ordered in the moment of its kill.
                life.crashed = life.told_to_end_ns.is_none() || !status.success();
                life.exit = Some(status.to_string());
            });
        }
    }

    fn end(&mut self, change: impl FnOnce(&mut Life)) {
        if let Some(life) = self.lives.last_mut() {
            life.until_ns = Some(monotonic_ns());
            change(life);
        }
    }

    /// Holds it up for so long.
    pub async fn hold(&mut self, span: Duration) {
        let from = monotonic_ns();
        self.signal(Signal::STOP);
        sleep(span).await;
        self.signal(Signal::CONT);
        self.stops.push((from, monotonic_ns()));
    }

    /// The lines that it has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A router: its process, its file and what steers its shim.
#[derive(Debug)]
pub struct Router {
    pub process: Process,
    pub file: PathBuf,
    pub config: String,
    pub steering: Steering,
    /// When crowds of connections filled its descriptors.
    pub crowds: Vec<(u64, u64)>,
}

impl Router {
    /// Starts it with its wall clock so many seconds ahead.
    ///
    /// # Errors
    /// When it can't be started.
    pub fn start(&mut self, shim: &Shim, clock_ahead_s: i64, seed: u64) -> io::Result<()> {
        self.steering.set(false)?;
        std::fs::write(&self.file, &self.config)?;
        self.process.start(&shim.environment(&self.steering, clock_ahead_s, seed))
    }
}
