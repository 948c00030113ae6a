//! Signals of this process, received also while system calls fail.
//!
//! A signal's handler sets a flag in memory and does nothing else: no call that could fail, and none that a library loaded
//! into the process may have replaced by one that must not run in a handler. The flags are polled.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which the flags are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A signal that a process handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: shut down gracefully.
    Terminate,
    /// SIGINT: as by Ctrl-C in a terminal.
    Interrupt,
    /// SIGHUP: read the configuration again.
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

/// Signals that are handled instead of ending the process, from when this was installed.
#[derive(Debug)]
pub struct Signals {
    flags: Vec<(Signal, Arc<AtomicBool>)>,
}

impl Signals {
    /// Handles these signals. Where several are pending the first of `signals` is reported first.
    ///
    /// # Errors
    /// When a handler can't be installed.
    pub fn install(signals: &[Signal]) -> io::Result<Signals> {
        let mut flags = Vec::new();
        for signal in signals {
            let is_set = Arc::new(AtomicBool::new(false));
            flag::register(signal.number(), Arc::clone(&is_set))?;
            flags.push((*signal, is_set));
        }
        Ok(Signals { flags })
    }

    /// Waits for the next signal, which is reported within 25 ms. Several of a kind that come at once are reported once.
    pub async fn next(&self) -> Signal {
        loop {
            if let Some(signal) = self.take() {
                return signal;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn take(&self) -> Option<Signal> {
        let came = |(_, is_set): &&(Signal, Arc<AtomicBool>)| is_set.swap(false, Ordering::SeqCst);
        self.flags.iter().find(came).map(|(signal, _)| *signal)
    }
}

#[cfg(test)]
#[path = "signals_tests.rs"]
mod tests;
