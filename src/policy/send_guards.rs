//! Whether something may be sent, sent again or rejected now: the rules of the site, decided in one
//! place.
//!
//! The decisions keep these rules by how they choose. What they chose is checked here once more
//! before it is carried out: by the core as it books a send or a rejection, and by the connection
//! task just before the first byte, since a client may have disconnected, a server may have begun
//! to drain or a time may have run out in between. What is denied is counted by its reason.

use crate::api::{AttemptStatus, CellId, DeduplicationScope, Idempotency, Nanos, TrafficClass, ZoneId};
use crate::counts::write_counts;
use crate::state::MayHaveRun;

/// What is known at the moment of a send.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts<'a> {
    /// The present time.
    pub now: Nanos,
    /// When the request's client stops waiting.
    pub deadline_at: Nanos,
    /// When the last byte has to be out.
    pub send_by: Nanos,
    /// The request's final answer was given.
    pub answered: bool,
    /// The request's client has disconnected.
    pub client_disconnected: bool,
    /// Another attempt of the request is in flight, and there may not be two.
    pub attempt_in_flight: bool,
    /// As many attempts were made as may be.
    pub attempts_exhausted: bool,
    /// The server is listed, and neither draining nor removed.
    pub server_ready: bool,
    /// What a repeat of the request may do; `None` where that was checked before and can't have
    /// changed since.
    pub repeat: Option<Repeat<'a>>,
}

/// A send of a request of which an earlier attempt may have run.
#[derive(Clone, Copy, Debug)]
pub struct Repeat<'a> {
    /// The request's class.
    pub class: &'a TrafficClass,
    /// The earlier attempt.
    pub ran: MayHaveRun,
    /// The zone that this one goes to.
    pub zone: Option<ZoneId>,
    /// The cell that this one goes to.
    pub cell: Option<CellId>,
}

/// Why something may not be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Denial {
    /// The request's final answer was given (rule 1).
    Answered,
    /// Nobody waits for the request any more (rule 1).
    ClientDisconnected,
    /// The client's time is up (rule 1).
    DeadlineExceeded,
    /// Another attempt of the request is in flight (rule 2).
    AttemptInFlight,
    /// As many attempts were made as may be.
    AttemptsExhausted,
    /// An earlier attempt may have run, and this one would not be dropped as its repeat (rule 2).
    MayHaveRun,
    /// A rejection would promise that a retry is harmless (rule 2).
    RetryNotHarmless,
    /// The server is draining or removed (rule 3).
    ServerNotReady,
    /// The time of a repeat, or of the KV cache that is held for it, is over (rules 2 and 5).
    TooLate,
}

impl Denial {
    /// All of them, in the order in which they are counted and shown.
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

    /// The status of an attempt whose send was denied. Nothing of it has run.
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
/// The first rule that forbids it.
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

/// Whether a second execution is harmless: the request is idempotent, or the repeat is dropped by
/// the servers of the same scope within the window.
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

/// Whether a request may be rejected, which says that a retry is harmless. `may_run`: an attempt
/// may have run, or is in flight and may yet.
///
/// # Errors
/// When it would promise too much: the request has to fail.
pub fn may_reject(class: &TrafficClass, may_run: bool) -> Result<(), Denial> {
    let is_harmless = match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey => !may_run || class.deduplication_scope == DeduplicationScope::All,
        Idempotency::NotIdempotent => !may_run,
    };
    is_harmless.then_some(()).ok_or(Denial::RetryNotHarmless)
}

/// How often something was denied, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Denials {
    counts: [u64; Denial::ALL.len()],
}

impl Denials {
    /// Counts one.
    pub fn count(&mut self, denial: Denial) {
        self.counts[denial as usize] += 1;
    }

    /// How often that was the reason.
    pub fn count_of(&self, denial: Denial) -> u64 {
        self.counts[denial as usize]
    }
}

impl std::fmt::Display for Denials {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write_counts(f, Denial::ALL.into_iter().map(|denial| (denial.name(), self.count_of(denial))))
    }
}
