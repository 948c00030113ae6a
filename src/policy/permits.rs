//! Whether something may be sent, sent again or refused now: the rules of the site as one place decides them.
//!
//! The decisions keep these rules by how they choose. What they chose is asked here once more before it is
//! carried out: by the core as it books a send or a refusal, and by the shell just before the first byte,
//! since a client may have left, a drain may have been told or a time may have run out in between. What is
//! denied is counted by its reason.

use crate::api::{AttemptStatus, CellId, DeduplicationScope, Idempotency, Nanos, TrafficClass, ZoneId};
use crate::counts::write_counts;
use crate::state::MayHaveRun;

/// What is known at the moment of a send.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts<'a> {
    pub now: Nanos,
    /// When its client stops waiting.
    pub give_up_at: Nanos,
    /// When its last byte has to be out.
    pub write_by: Nanos,
    /// Its final answer was given.
    pub answered: bool,
    pub client_left: bool,
    /// Another attempt of it is out, and there may not be two.
    pub another_out: bool,
    /// As many attempts were made as may be.
    pub attempts_used: bool,
    /// Its server is listed, and neither drained nor gone.
    pub server_ready: bool,
    /// What repeating it may do; `None` where that was asked before and can't have changed since.
    pub repeat: Option<Repeat<'a>>,
}

/// A send of a request of which an earlier attempt may have run.
#[derive(Clone, Copy, Debug)]
pub struct Repeat<'a> {
    pub class: &'a TrafficClass,
    pub ran: MayHaveRun,
    /// Where this one goes to.
    pub zone: Option<ZoneId>,
    pub cell: Option<CellId>,
}

/// Why something may not be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Denial {
    /// Its final answer was given (rule 1).
    Answered,
    /// Nobody waits for it any more (rule 1).
    ClientLeft,
    /// Its client's time is up (rule 1).
    Deadline,
    /// Another attempt of it is out (rule 2).
    AnotherOut,
    AttemptsUsed,
    /// An earlier attempt may have run, and this one would not be dropped as its repeat (rule 2).
    MayHaveRun,
    /// A refusal would promise that nothing was done (rule 2).
    NotHarmless,
    /// Its server is drained or gone (rule 3).
    NotReady,
    /// The time of a repeat, or of what is held for it, is over (rules 2 and 5).
    TooLate,
}

impl Denial {
    pub const ALL: [Denial; 9] = [
        Denial::Answered,
        Denial::ClientLeft,
        Denial::Deadline,
        Denial::AnotherOut,
        Denial::AttemptsUsed,
        Denial::MayHaveRun,
        Denial::NotHarmless,
        Denial::NotReady,
        Denial::TooLate,
    ];

    /// What a send that was denied has come to, for whoever decides what follows. Nothing has run.
    pub fn status(self) -> AttemptStatus {
        match self {
            Denial::NotReady => AttemptStatus::ConnectFailed,
            _ => AttemptStatus::Expired,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Denial::Answered => "answered",
            Denial::ClientLeft => "client_left",
            Denial::Deadline => "deadline",
            Denial::AnotherOut => "another_out",
            Denial::AttemptsUsed => "attempts_used",
            Denial::MayHaveRun => "may_have_run",
            Denial::NotHarmless => "not_harmless",
            Denial::NotReady => "not_ready",
            Denial::TooLate => "too_late",
        }
    }
}

/// Whether a request may be sent to a server now.
///
/// # Errors
/// The first rule that forbids it.
pub fn may_send(facts: &SendFacts<'_>) -> Result<(), Denial> {
    let denials = [
        (facts.answered, Denial::Answered),
        (facts.client_left, Denial::ClientLeft),
        (facts.now >= facts.give_up_at, Denial::Deadline),
        (facts.another_out, Denial::AnotherOut),
        (facts.attempts_used, Denial::AttemptsUsed),
        (facts.repeat.is_some_and(|repeat| !may_repeat(facts.now, &repeat)), Denial::MayHaveRun),
        (facts.now >= facts.write_by, Denial::TooLate),
        (!facts.server_ready, Denial::NotReady),
    ];
    match denials.into_iter().find(|(forbids, _)| *forbids) {
        Some((_, denial)) => Err(denial),
        None => Ok(()),
    }
}

/// Whether a second execution does no harm: it is safe, or dropped by the same group of servers within the
/// window.
pub fn may_repeat(now: Nanos, repeat: &Repeat<'_>) -> bool {
    let Repeat { class, ran, zone, cell } = repeat;
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NotIdempotent => false,
        Idempotency::WithKey => {
            let first = class.deduplication_scope.domain(ran.zone, ran.cell);
            first.is_some()
                && first == class.deduplication_scope.domain(*zone, *cell)
                && now < ran.at.saturating_add(class.deduplication_window)
        }
    }
}

/// Whether a request may be refused, which says that trying again is harmless. `may_run`: an attempt may
/// have run, or is out and may yet.
///
/// # Errors
/// When it would promise too much: the request has to fail.
pub fn may_refuse(class: &TrafficClass, may_run: bool) -> Result<(), Denial> {
    let harmless = match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey => !may_run || class.deduplication_scope == DeduplicationScope::All,
        Idempotency::NotIdempotent => !may_run,
    };
    harmless.then_some(()).ok_or(Denial::NotHarmless)
}

/// How often something was denied, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Denials {
    counts: [u64; Denial::ALL.len()],
}

impl Denials {
    pub fn count(&mut self, denial: Denial) {
        self.counts[denial as usize] += 1;
    }

    pub fn of(&self, denial: Denial) -> u64 {
        self.counts[denial as usize]
    }
}

impl std::fmt::Display for Denials {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write_counts(f, Denial::ALL.into_iter().map(|denial| (denial.name(), self.of(denial))))
    }
}
