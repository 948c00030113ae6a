//! Whether a request may be sent, repeated or rejected now. All rules of the site are checked here.
//!
//! The other decision modules already choose in accordance with these rules. Their choices are checked
//! again before they are carried out: by the router core when it records a send or a rejection, and by
//! the connection task just before the first byte. In between, a client may have disconnected, a server
//! may have started to drain, or a time limit may have passed. Denials are counted by reason.

use crate::api::{AttemptStatus, CellId, DeduplicationScope, Idempotency, Nanos, TrafficClass, ZoneId};
use crate::counts::write_counts;
use crate::state::MayHaveRun;

/// The facts that decide whether a send is allowed.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts<'a> {
    /// The current time.
    pub now: Nanos,
    /// When the request's client stops waiting.
    pub deadline_at: Nanos,
    /// When the last byte has to be written.
    pub send_by: Nanos,
    /// Whether the request has its final answer.
    pub answered: bool,
    /// Whether the request's client has disconnected.
    pub client_disconnected: bool,
    /// Whether another attempt of the request is in flight and a second one is not allowed.
    pub attempt_in_flight: bool,
    /// Whether the maximum number of attempts has been made.
    pub attempts_exhausted: bool,
    /// Whether the server is listed, and neither draining nor removed.
    pub server_ready: bool,
    /// The repeat that this send would be, if an earlier attempt may have run; `None` also if the
    /// repeat was checked before and the result can't have changed.
    pub repeat: Option<Repeat<'a>>,
}

/// A send of a request, an earlier attempt of which may have run.
#[derive(Clone, Copy, Debug)]
pub struct Repeat<'a> {
    /// The request's class.
    pub class: &'a TrafficClass,
    /// The earlier attempt.
    pub ran: MayHaveRun,
    /// The zone of the server that the repeat is sent to.
    pub zone: Option<ZoneId>,
    /// The cell of the server that the repeat is sent to.
    pub cell: Option<CellId>,
}

/// Why a send or a rejection is not allowed now. The numbers are those of the site's rules: one final
/// answer in time (1), no double effects (2), nothing to draining servers (3), KV caches released in
/// time (5).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Denial {
    /// The request already has its final answer (rule 1).
    Answered,
    /// The client has disconnected (rule 1).
    ClientDisconnected,
    /// The client's deadline has passed (rule 1).
    DeadlineExceeded,
    /// Another attempt of the request is in flight (rule 2).
    AttemptInFlight,
    /// The maximum number of attempts has been made.
    AttemptsExhausted,
    /// An earlier attempt may have run, and the server would not drop this one as its repeat (rule 2).
    MayHaveRun,
    /// A rejection would state that a retry is harmless, which it may not be (rule 2).
    RetryNotHarmless,
    /// The server is draining or removed (rule 3).
    ServerNotReady,
    /// The deduplication window of a repeat, or the release time of the KV cache, has passed (rules 2
    /// and 5).
    TooLate,
}

impl Denial {
    /// All reasons, in the order in which they are counted and shown.
    pub const ALL: [Denial; 9] = [
        Denial::Answered,
        Denial::ClientDisconnected,
        Denial::DeadlineExceeded,
        Denial::AttemptInFlight,
        Denial::AttemptsExhausted,
        Denial::MayHaveRun,
        Denial::RetryNotHarmless,
        Denial::ServerNotReady,
        Denial::TooLate,
    ];

    /// The status of an attempt whose send was denied. The attempt has not run.
    pub fn status(self) -> AttemptStatus {
        match self {
            Denial::ServerNotReady => AttemptStatus::ConnectFailed,
            _ => AttemptStatus::Expired,
        }
    }

    /// The name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Denial::Answered => "answered",
            Denial::ClientDisconnected => "client_left",
            Denial::DeadlineExceeded => "deadline",
            Denial::AttemptInFlight => "another_out",
            Denial::AttemptsExhausted => "attempts_used",
            Denial::MayHaveRun => "may_have_run",
            Denial::RetryNotHarmless => "not_harmless",
            Denial::ServerNotReady => "not_ready",
            Denial::TooLate => "too_late",
        }
    }
}

/// Whether a request may be sent to a server now.
///
/// # Errors
/// Returns the first denial that applies.
pub fn may_send(facts: &SendFacts<'_>) -> Result<(), Denial> {
    let may_not_repeat = facts.repeat.is_some_and(|repeat| !may_repeat(facts.now, &repeat));
    let denials = [
        (facts.answered, Denial::Answered),
        (facts.client_disconnected, Denial::ClientDisconnected),
        (facts.now >= facts.deadline_at, Denial::DeadlineExceeded),
        (facts.attempt_in_flight, Denial::AttemptInFlight),
        (facts.attempts_exhausted, Denial::AttemptsExhausted),
        (may_not_repeat, Denial::MayHaveRun),
        (facts.now >= facts.send_by, Denial::TooLate),
        (!facts.server_ready, Denial::ServerNotReady),
    ];
    match denials.into_iter().find(|(forbids, _)| *forbids) {
        Some((_, denial)) => Err(denial),
        None => Ok(()),
    }
}

/// Whether a repeat is harmless: the request is idempotent, or the server is in the deduplication
/// domain of the first attempt and drops the repeat within the deduplication window.
pub fn may_repeat(now: Nanos, repeat: &Repeat<'_>) -> bool {
    let Repeat { class, ran, zone, cell } = repeat;
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NotIdempotent => false,
        Idempotency::WithKey => {
            let first = class.deduplication_scope.domain(ran.zone, ran.cell);
            let is_same_domain = first.is_some() && first == class.deduplication_scope.domain(*zone, *cell);
            is_same_domain && now < ran.at.saturating_add(class.deduplication_window)
        }
    }
}

/// Whether a request may be rejected, which states that a retry is harmless. `may_run`: an attempt may
/// have run, or is in flight and may still run.
///
/// # Errors
/// Returns [`Denial::RetryNotHarmless`] if a retry may be harmful: the request has to fail instead.
pub fn may_reject(class: &TrafficClass, may_run: bool) -> Result<(), Denial> {
    let is_harmless = match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey => !may_run || class.deduplication_scope == DeduplicationScope::All,
        Idempotency::NotIdempotent => !may_run,
    };
    is_harmless.then_some(()).ok_or(Denial::RetryNotHarmless)
}

/// Counts of denials by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Denials {
    counts: [u64; Denial::ALL.len()],
}

impl Denials {
    /// Counts a denial.
    pub fn count(&mut self, denial: Denial) {
        self.counts[denial as usize] += 1;
    }

    /// The count of one reason.
    pub fn count_of(&self, denial: Denial) -> u64 {
        self.counts[denial as usize]
    }
}

impl std::fmt::Display for Denials {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write_counts(f, Denial::ALL.into_iter().map(|denial| (denial.name(), self.count_of(denial))))
    }
}
