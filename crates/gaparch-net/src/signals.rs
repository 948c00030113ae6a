//! Signal handling that also works while system calls fail.
//!
//! A signal handler only sets a flag in memory, and the flags are polled. The handler makes no system call,
//! since a call could fail, and a library loaded into the process may have replaced it with a function that
//! isn't async-signal-safe.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between two polls of the flags.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A signal that a process handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: shut down gracefully.
    Terminate,
    /// SIGINT: sent by Ctrl-C in a terminal.
    Interrupt,
    /// SIGHUP: reload the configuration.
    Hangup,
}

impl Signal {
    fn number(self) -> i32 {
        match self {
            Signal::Terminate => SIGTERM,
            Signal::Interrupt => SIGINT,
            Signal::Hangup => SIGHUP,
        }
    }
}

/// Installed handlers for signals that would otherwise end the process.
#[derive(Debug)]
pub struct Signals {
    flags: Vec<(Signal, Arc<AtomicBool>)>,
}

impl Signals {
    /// Installs handlers for these signals. Pending signals are reported in the order of `signals`.
    ///
    /// # Errors
    /// When a handler can't be installed.
    pub fn install(signals: &[Signal]) -> io::Result<Signals> {
        let mut flags = Vec::new();
        for signal in signals {
            let is_pending = Arc::new(AtomicBool::new(false));
            flag::register(signal.number(), Arc::clone(&is_pending))?;
            flags.push((*signal, is_pending));
        }
        Ok(Signals { flags })
    }

    /// Waits for the next signal, which is reported within 25 ms. A signal that arrives several times between
    /// two polls is reported once.
    pub async fn next(&self) -> Signal {
        loop {
            if let Some(signal) = self.take_pending() {
                return signal;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Clears the first flag that is set and returns its signal.
    fn take_pending(&self) -> Option<Signal> {
        let was_pending =
            |(_, is_pending): &&(Signal, Arc<AtomicBool>)| is_pending.swap(false, Ordering::SeqCst);
        self.flags.iter().find(was_pending).map(|(signal, _)| *signal)
    }
}

#[cfg(test)]
#[path = "signals_tests.rs"]
mod tests;
