//! A suspicion that one member has failed.

use crate::Nanos;

/// The number of accusers stored; more do not shorten a suspicion any further.
const MAX_ACCUSERS: usize = 4;

/// The claim that no heartbeat of a member later than a given one is known.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Suspicion {
    /// The accusers know of no heartbeat later than this one.
    pub last_heartbeat: u64,
    /// When the suspicion timeout started on this router.
    pub started_at: Nanos,
    /// The members that share the suspicion, in the order in which they became known.
    pub accusers: Vec<String>,
    /// When this router itself first pinged the suspect since the timeout started.
    pub probed_since: Option<Nanos>,
    /// The number of pings that it has sent to the suspect since then.
    pub attempts: u32,
}

impl Suspicion {
    /// Starts a suspicion with one accuser.
    pub fn new(accuser: &str, last_heartbeat: u64, now: Nanos) -> Suspicion {
        Suspicion {
            last_heartbeat,
            started_at: now,
            accusers: vec![accuser.to_owned()],
            probed_since: None,
            attempts: 0,
        }
    }

    /// Restarts the timeout: silence while this router could receive nothing is no evidence.
    pub fn restart(&mut self, now: Nanos) {
        self.started_at = now;
        self.probed_since = None;
        self.attempts = 0;
    }

    /// Adds an accuser; returns whether it was added as a new one.
    pub fn confirm(&mut self, accuser: &str, last_heartbeat: u64) -> bool {
        self.last_heartbeat = self.last_heartbeat.max(last_heartbeat);
        let is_known = self.accusers.iter().any(|known| known == accuser);
        if is_known || self.accusers.len() >= MAX_ACCUSERS {
            return false;
        }
        self.accusers.push(accuser.to_owned());
        true
    }

    /// The number of accusers beside the first.
    pub fn confirmations(&self) -> usize {
        self.accusers.len().saturating_sub(1)
    }

    /// Counts a ping that this router sends to the suspect.
    pub fn count_attempt(&mut self, now: Nanos) {
        self.probed_since.get_or_insert(now);
        self.attempts = self.attempts.saturating_add(1);
    }
}
