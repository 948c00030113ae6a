//! Routers as processes of the built program.

use rustix::process::{kill_process, set_parent_process_death_signal, Pid, Signal};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// For a process that was killed to be gone.
const GONE_WITHIN: Duration = Duration::from_secs(5);

/// From now on this process is killed when the one that started it ends, however that does.
///
/// # Errors
/// When the system says so.
pub fn end_with_parent() -> io::Result<()> {
    Ok(set_parent_process_death_signal(Some(Signal::KILL))?)
}

/// What a router is run as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// `gaparch serve`, by settings of its own.
    Serve,
    /// `gaparch node`, in service on the platform.
    Node,
}

/// A router of its own process. Dropped, it is killed: the rig leaves nothing behind.
#[derive(Debug)]
pub struct Process {
    kind: Kind,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    stopped: bool,
    /// How its disk lies.
    disk: Option<String>,
    /// Seconds that its wall clock is ahead.
    ahead: i32,
}

impl Process {
    /// Writes the settings; nothing is started yet. Its lines go to `log`.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn new(program: &Path, settings: PathBuf, text: &str, log: PathBuf) -> io::Result<Process> {
        Process::of(Kind::Serve, program, settings, text, log)
    }

    /// The same of a router in service, by the platform's configuration.
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

    /// Starts it, or starts it again.
    ///
    /// # Errors
    /// When the program can't be started.
    pub fn start(&mut self) -> io::Result<()> {
        self.kill()?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        // As `gaparch serve` or `node`, but it ends with this process even where that is killed and can end nothing.
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

    /// From its next start on its disk lies like that, or is honest.
    pub fn set_disk(&mut self, lie: Option<String>) {
        self.disk = lie;
    }

    /// From its next start on its wall clock is that many seconds ahead.
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

    /// `kill -9`, and waits until it is gone: another of its folder may start then.
    ///
    /// # Errors
    /// When the system says so.
    pub fn kill(&mut self) -> io::Result<()> {
        self.stopped = false;
        let Some(mut child) = self.child.take() else { return Ok(()) };
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// SIGTERM; whether it has ended well in time.
    ///
    /// # Errors
    /// When the system says so.
    pub fn leave(&mut self) -> io::Result<bool> {
        self.signal(Signal::TERM)?;
        let Some(mut child) = self.child.take() else { return Ok(false) };
        let until = Instant::now() + GONE_WITHIN;
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
    /// When the system says so.
    pub fn stop(&mut self) -> io::Result<()> {
        self.stopped = true;
        self.signal(Signal::STOP)
    }

    /// # Errors
    /// When the system says so.
    pub fn go_on(&mut self) -> io::Result<()> {
        self.stopped = false;
        self.signal(Signal::CONT)
    }

    /// Its number with the system, while it is started.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// It was started and neither killed nor stopped.
    pub fn lives(&self) -> bool {
        self.child.is_some() && !self.stopped
    }

    /// Its last lines, for whoever wants to know why it ended.
    pub fn last_lines(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(5).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }

    /// It ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Nothing more can be done where that fails.
        let _ = self.kill();
    }
}
