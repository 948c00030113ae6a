//! Signals of this process, heard also while system calls fail.
//!
//! A signal's handler sets a flag in memory and does nothing else: no call that could fail, and none that a library loaded
//! into the process may have replaced by one that must not run in a handler. The flags are looked at by the clock.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Between two looks at the flags.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// A signal that a process may be told by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    Terminate,
    Interrupt,
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

/// Signals that are heard instead of ending the process, from when this was made.
#[derive(Debug)]
pub struct Signals {
    flags: Vec<(Signal, Arc<AtomicBool>)>,
}

impl Signals {
    /// Hears these signals. Where several have come the first of this list is told first.
    ///
    /// # Errors
    /// When a handler can't be installed.
    pub fn hear(signals: &[Signal]) -> io::Result<Signals> {
        let mut flags = Vec::new();
        for signal in signals {
            let is_set = Arc::new(AtomicBool::new(false));
            flag::register(signal.number(), Arc::clone(&is_set))?;
            flags.push((*signal, is_set));
        }
        Ok(Signals { flags })
    }

    /// The next signal, some 25 ms after it has come at the latest. Of several of a kind that come at once one is told.
    pub async fn next(&self) -> Signal {
        loop {
            if let Some(signal) = self.take() {
                return signal;
            }
            sleep(LOOK_EVERY).await;
        }
    }

    fn take(&self) -> Option<Signal> {
        let came = |(_, is_set): &&(Signal, Arc<AtomicBool>)| is_set.swap(false, Ordering::SeqCst);
        self.flags.iter().find(came).map(|(signal, _)| *signal)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use signal_hook::low_level::raise;
    use tokio::time::timeout;

    #[tokio::test]
    async fn each_signal_is_told_once_in_the_order_of_the_list() {
        let signals = Signals::hear(&[Signal::Terminate, Signal::Hangup]).expect("handlers");
        for signal in [SIGHUP, SIGTERM, SIGHUP] {
            raise(signal).expect("raised");
        }
        assert_eq!(signals.next().await, Signal::Terminate);
        assert_eq!(signals.next().await, Signal::Hangup);
        assert!(timeout(LOOK_EVERY * 8, signals.next()).await.is_err());
    }
}
