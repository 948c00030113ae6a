//! The one connection to each engine.

use gaparch_config::Attempts;
use gaparch_scheduler::api::{LoadReport, Nanos, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// One connection that was asked for; the next one to the same engine has another number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnNo(pub u64);

impl ConnNo {
    /// Stands for all exchanges with an engine where there is no one connection.
    pub const EXCHANGES: ConnNo = ConnNo(0);
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    New,
    Connecting(ConnNo),
    Up(ConnNo),
    Down,
}

#[derive(Clone, Debug, Default)]
pub(super) struct EngineLink {
    state: State,
    /// Tries that have failed one after the other.
    failures: u32,
    /// Requests with an attempt out there.
    pub attempts: BTreeSet<RequestId>,
    /// Probes out, by nonce, with when they were sent.
    pub probes: BTreeMap<u64, Nanos>,
    /// The last report that came by itself.
    pub report: Option<LoadReport>,
    pub tally: Tally,
}

/// Attempts at an engine, counted from the start of the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Tally {
    pub attempts: u64,
    pub failed: u64,
    pub called_off: u64,
}

/// What a lost connection leaves behind.
pub(super) struct Down {
    pub was_up: bool,
    pub retry_after: Nanos,
    pub probes: BTreeMap<u64, Nanos>,
}

impl EngineLink {
    /// The link to an engine that each attempt reaches by itself.
    pub fn listed() -> EngineLink {
        EngineLink { state: State::Up(ConnNo::EXCHANGES), ..EngineLink::default() }
    }

    pub fn is_new(&self) -> bool {
        self.state == State::New
    }

    pub fn is_down(&self) -> bool {
        matches!(self.state, State::New | State::Down)
    }

    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up(_))
    }

    /// It may be up soon.
    pub fn is_coming(&self) -> bool {
        matches!(self.state, State::Connecting(_)) && self.failures == 0
    }

    pub fn is_on(&self, conn: ConnNo) -> bool {
        self.state == State::Up(conn)
    }

    pub fn conn(&self) -> Option<ConnNo> {
        match self.state {
            State::Connecting(conn) | State::Up(conn) => Some(conn),
            State::New | State::Down => None,
        }
    }

    pub fn connecting(&mut self, conn: ConnNo) {
        self.state = State::Connecting(conn);
    }

    /// Whether that is the connection that is waited for.
    pub fn up(&mut self, conn: ConnNo) -> bool {
        let expected = self.state == State::Connecting(conn);
        if expected {
            self.state = State::Up(conn);
            self.failures = 0;
        }
        expected
    }

    /// `None` if it is another connection that went down.
    pub fn down(&mut self, conn: ConnNo, settings: &Attempts) -> Option<Down> {
        let was_up = self.is_on(conn);
        if self.conn() != Some(conn) {
            return None;
        }
        let doubled = settings.reconnect_after.saturating_mul(1 << self.failures.min(20));
        self.failures = self.failures.saturating_add(1);
        self.state = State::Down;
        self.attempts.clear();
        self.report = None;
        Some(Down {
            was_up,
            retry_after: doubled.min(settings.reconnect_most),
            probes: std::mem::take(&mut self.probes),
        })
    }
}
