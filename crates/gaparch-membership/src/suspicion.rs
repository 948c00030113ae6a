//! A suspicion against one member.

use crate::Nanos;

/// The number of accusers remembered; more do not shorten a suspicion.
const MAX_ACCUSERS: usize = 4;

/// The claim that no heartbeat of a member is known that is later than a given one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Suspicion {
    /// The accusers know of no later heartbeat than this one.
    pub last_heartbeat: u64,
    /// When the suspicion timeout began here.
    pub started_at: Nanos,
    /// The members that share the suspicion, in the order in which they became known.
    pub accusers: Vec<String>,
    /// When this router first pinged the suspect itself without an answer.
    pub probed_since: Option<Nanos>,
    /// How often it has done so.
    pub attempts: u32,
}

impl Suspicion {
    /// Begins a suspicion.
    pub fn new(accuser: &str, last_heartbeat: u64, now: Nanos) -> Suspicion {
        Suspicion {
            last_heartbeat,
            started_at: now,
            accusers: vec![accuser.to_owned()],
            probed_since: None,
            attempts: 0,
        }
    }

    /// Begins the timeout anew: time in which this router could receive nothing proves nothing.
    pub fn restart(&mut self, now: Nanos) {
        self.started_at = now;
        self.probed_since = None;
        self.attempts = 0;
    }

    /// Adds an accuser; returns whether it is a new one.
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
