//! A monotonic clock that starts at the system time.

use gaparch_scheduler::api::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Times further ahead than this are clamped when they are converted to an instant, which timers accept.
const MAX_TIME_AHEAD: Duration = Duration::from_secs(86_400 * 30);

/// A monotonic clock in nanoseconds since the Unix epoch.
///
/// It reads the system time once, when it is created, and advances with the monotonic clock from there.
/// Clocks on two machines agree as closely as their system times did; later changes of the system time have
/// no effect.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    nanos_at_start: Nanos,
}

impl Default for Clock {
    fn default() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::from_secs(1));
        Clock { started: Instant::now(), nanos_at_start: nanos(unix) }
    }
}

impl Clock {
    /// Returns this clock moved forward by a number of seconds, or back if the number is negative.
    #[must_use]
    pub fn with_offset(self, seconds: i32) -> Clock {
        let offset = nanos(Duration::from_secs(u64::from(seconds.unsigned_abs())));
        let nanos_at_start = if seconds < 0 {
            self.nanos_at_start.saturating_sub(offset)
        } else {
            self.nanos_at_start.saturating_add(offset)
        };
        Clock { nanos_at_start, ..self }
    }

    /// The current time, in nanoseconds since the Unix epoch.
    pub fn now(&self) -> Nanos {
        self.at(Instant::now())
    }

    /// Converts an instant to the time of this clock.
    pub fn at(&self, instant: Instant) -> Nanos {
        self.nanos_at_start.saturating_add(nanos(instant.saturating_duration_since(self.started)))
    }

    /// Converts a time of this clock to an instant, which is never before the creation of the clock, and at most
    /// 30 days ahead.
    pub fn instant(&self, at: Nanos) -> Instant {
        let latest = Instant::now() + MAX_TIME_AHEAD;
        let since_start = Duration::from_nanos(at.saturating_sub(self.nanos_at_start));
        self.started.checked_add(since_start).map_or(latest, |instant| instant.min(latest))
    }
}

fn nanos(duration: Duration) -> Nanos {
    Nanos::try_from(duration.as_nanos()).unwrap_or(Nanos::MAX)
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
