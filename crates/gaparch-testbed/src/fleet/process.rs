//! Starts, stops and kills routers as processes of the built program.

use rustix::process::{kill_process, set_parent_process_death_signal, Pid, Signal};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a process may take to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Makes the kernel kill this process when its parent ends, for whatever reason.
///
/// # Errors
/// When the system call fails.
pub fn end_with_parent() -> io::Result<()> {
    Ok(set_parent_process_death_signal(Some(Signal::KILL))?)
}

/// How a router is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// `gaparch serve`, with its own settings file.
    Serve,
    /// `gaparch node`, on the platform.
    Node,
}

/// A router in its own process. It is killed on drop, so that a run leaves no processes behind.
#[derive(Debug)]
pub struct Process {
    kind: Kind,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    stopped: bool,
    /// The fault of its disk.
    disk: Option<String>,
    /// Seconds by which its wall clock is ahead.
    ahead: i32,
}

impl Process {
    /// Writes the settings file, without starting the process. Its output will go to `log`.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn new(program: &Path, settings: PathBuf, text: &str, log: PathBuf) -> io::Result<Process> {
        Process::of(Kind::Serve, program, settings, text, log)
    }

    /// Like [`new`](Process::new), for a router on the platform with the platform's configuration.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn node(program: &Path, config: PathBuf, text: &str, log: PathBuf) -> io::Result<Process> {
        Process::of(Kind::Node, program, config, text, log)
    }

    fn of(kind: Kind, program: &Path, settings: PathBuf, text: &str, log: PathBuf) -> io::Result<Process> {
        std::fs::write(&settings, text)?;
        Ok(Process {
            kind,
            program: program.to_owned(),
            settings,
            log,
            child: None,
            stopped: false,
            disk: None,
            ahead: 0,
        })
    }

    /// Starts the process; one that is already running is killed first.
    ///
    /// # Errors
    /// When the program can't be started.
    pub fn start(&mut self) -> io::Result<()> {
        self.kill()?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        // The `lab` forms of `gaparch serve` and `gaparch node` also end when this process is killed and can't
        // stop them.
        match self.kind {
            Kind::Serve => {
                command.args(["lab", "serve", &format!("--ahead={}", self.ahead)]);
                command.args(self.disk.iter().map(|lie| format!("--disk={lie}")));
            }
            Kind::Node => drop(command.args(["lab", "node"])),
        }
        let child =
            command.arg(&self.settings).stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sets the fault of its disk from the next start on; `None`: no fault.
    pub fn set_disk(&mut self, lie: Option<String>) {
        self.disk = lie;
    }

    /// Sets how many seconds its wall clock is ahead from the next start on.
    pub fn set_clock(&mut self, ahead: i32) {
        self.ahead = ahead;
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = self.child.as_ref().and_then(|c| Pid::from_raw(i32::try_from(c.id()).ok()?));
        match pid {
            Some(pid) => Ok(kill_process(pid, signal)?),
            None => Ok(()),
        }
    }

    /// Sends SIGKILL and waits for the exit, after which another process may use its folder.
    ///
    /// # Errors
    /// When a system call fails.
    pub fn kill(&mut self) -> io::Result<()> {
        self.stopped = false;
        let Some(mut child) = self.child.take() else { return Ok(()) };
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Sends SIGTERM; returns whether the process exited successfully in time.
    ///
    /// # Errors
    /// When a system call fails.
    pub fn leave(&mut self) -> io::Result<bool> {
        self.signal(Signal::TERM)?;
        let Some(mut child) = self.child.take() else { return Ok(false) };
        let until = Instant::now() + EXIT_TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = child.try_wait()? {
                return Ok(status.success());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        child.kill()?;
        child.wait()?;
        Ok(false)
    }

    /// # Errors
    /// When a system call fails.
    pub fn stop(&mut self) -> io::Result<()> {
        self.stopped = true;
        self.signal(Signal::STOP)
    }

    /// # Errors
    /// When a system call fails.
    pub fn resume(&mut self) -> io::Result<()> {
        self.stopped = false;
        self.signal(Signal::CONT)
    }

    /// Its process id, while it is started.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether it was started and is neither killed nor stopped.
    pub fn lives(&self) -> bool {
        self.child.is_some() && !self.stopped
    }

    /// The last lines of its log, which tell why it ended.
    pub fn last_lines(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(5).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }

    /// Whether it exited without being killed.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A failure here can't be handled any further.
        let _ = self.kill();
    }
}
