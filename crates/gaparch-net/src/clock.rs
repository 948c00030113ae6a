//! The clock by which routers and engines measure time.

use gaparch_scheduler::api::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Nanoseconds since the Unix epoch as it was known when the clock was made, and monotonic from there: two
/// machines agree roughly, one never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    instant: Instant,
    nanos: Nanos,
}

impl Default for Clock {
    fn default() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::from_secs(1));
        Clock { instant: Instant::now(), nanos: nanos(unix) }
    }
}

impl Clock {
    /// The same clock, ahead by so many seconds; behind, if they are negative.
    #[must_use]
    pub fn with_offset(self, seconds: i32) -> Clock {
        let offset = nanos(Duration::from_secs(u64::from(seconds.unsigned_abs())));
        let nanos =
            if seconds < 0 { self.nanos.saturating_sub(offset) } else { self.nanos.saturating_add(offset) };
        Clock { nanos, ..self }
    }

    /// The time now, in nanoseconds since the Unix epoch.
    pub fn now(&self) -> Nanos {
        self.at(Instant::now())
    }

    /// The time that this clock shows at an instant.
    pub fn at(&self, instant: Instant) -> Nanos {
        self.nanos.saturating_add(nanos(instant.saturating_duration_since(self.instant)))
    }

    /// The instant at which this clock shows that time; never one before its own beginning.
    pub fn instant(&self, at: Nanos) -> Instant {
        // A day is longer than anything here waits for.
        let wait = Duration::from_nanos(at.saturating_sub(self.nanos)).min(Duration::from_secs(86_400 * 30));
        self.instant + wait
    }
}

fn nanos(span: Duration) -> Nanos {
    Nanos::try_from(span.as_nanos()).unwrap_or(Nanos::MAX)
}
