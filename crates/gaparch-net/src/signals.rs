//! Signals of this process, heard also while system calls fail.
//!
//! A signal's handler sets a flag in memory, which no failing call can lose, and wakes whoever waits through a
//! socket of this process. That wake-up may fail or be lost, so the flags are looked at now and then as well.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::{sleep, timeout};

/// Between two looks at the flags without a wake-up.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// After a wake-up that can't be read.
const READ_AGAIN: Duration = Duration::from_millis(5);

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
    /// Readable after a signal; `None` where there was no socket to be had.
    wake_up: Option<UnixStream>,
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
            // Set before anybody is woken: handlers of a signal run in the order of their making.
            flag::register(signal.number(), Arc::clone(&is_set))?;
            flags.push((*signal, is_set));
        }
        let wake_up = Signals::wake_up(signals).ok();
        Ok(Signals { flags, wake_up })
    }

    fn wake_up(signals: &[Signal]) -> io::Result<UnixStream> {
        let (heard, said) = UnixStream::pair()?;
        let said = said.into_std()?;
        for signal in signals {
            pipe::register(signal.number(), said.try_clone()?)?;
        }
        Ok(heard)
    }

    /// The next signal. Of several of a kind that come at once one is told.
    pub async fn next(&self) -> Signal {
        loop {
            if let Some(signal) = self.take() {
                return signal;
            }
            // Nothing is lost where the time is up: the flags are looked at again.
            let _ = timeout(LOOK_EVERY, self.woken()).await;
        }
    }

    fn take(&self) -> Option<Signal> {
        let came = |(_, is_set): &&(Signal, Arc<AtomicBool>)| is_set.swap(false, Ordering::SeqCst);
        self.flags.iter().find(came).map(|(signal, _)| *signal)
    }

    async fn woken(&self) {
        let Some(wake_up) = &self.wake_up else { return std::future::pending().await };
        let ready = wake_up.readable().await;
        match ready.and_then(|()| wake_up.try_read(&mut [0; 64])) {
            Ok(n) if n > 0 => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            // It can't be read for a moment, or not any more.
            Ok(_) | Err(_) => sleep(READ_AGAIN).await,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use signal_hook::low_level::raise;

    #[tokio::test]
    async fn each_signal_is_told_once_in_the_order_of_the_list_also_without_a_wake_up() {
        for with_wake_up in [true, false] {
            let mut signals = Signals::hear(&[Signal::Terminate, Signal::Hangup]).expect("handlers");
            signals.wake_up = signals.wake_up.filter(|_| with_wake_up);
            for signal in [SIGHUP, SIGTERM, SIGHUP] {
                raise(signal).expect("raised");
            }
            assert_eq!(signals.next().await, Signal::Terminate);
            assert_eq!(signals.next().await, Signal::Hangup);
            assert!(timeout(LOOK_EVERY * 3, signals.next()).await.is_err());
        }
    }
}
